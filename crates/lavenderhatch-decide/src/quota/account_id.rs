//! The identity of an account in messages.

use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;

/// Salt for hashing names of accounts.
const ACCOUNT_SALT: u64 = 0x71_75_6f_74_61;

/// Number of groups of accounts. Shares are delegated by group, so that a lease is a few bytes for
/// any number of accounts.
pub const GROUPS: usize = 16;

/// A set of groups of accounts, one bit each.
pub type GroupSet = u16;

/// Identity of an account: a hash of its name, which is shorter than most names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountId(pub u64);

impl AccountId {
    /// Returns the identity of the account with this name.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(ACCOUNT_SALT, name))
    }

    /// Returns the group of the account.
    pub fn group(self) -> usize {
        (self.0 % GROUPS as u64) as usize
    }
}
