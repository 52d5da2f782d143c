//! Messages between borrowers and coordinators.

use lavenderhatch_core::Timestamp;
use serde::{Deserialize, Serialize};

use super::account_id::{AccountId, GroupSet};

/// A share that a daemon delegates to a coordinator until [`super::LEASE`] after `sent_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Process of the coordinator that the lease is for.
    pub epoch: u32,
    /// Lower bound of the coordinator's time at which the message was sent.
    pub sent_at: Timestamp,
    /// Groups of accounts whose share is delegated. Replaces the groups of earlier messages.
    pub groups: GroupSet,
    /// The share is one part of this number.
    pub divisor: u32,
}

/// Unused tokens that go back to the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedTokens {
    /// Time of their grant, by the coordinator's clock.
    pub granted_at: Timestamp,
    /// Number of tokens.
    pub count: u32,
}

/// What a daemon needs of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountAsk {
    /// The account.
    pub account: AccountId,
    /// Tokens for requests that are waiting.
    pub needed: u32,
    /// Further tokens for requests that are expected.
    pub wanted: u32,
    /// Unused tokens.
    pub returned: Vec<ReturnedTokens>,
}

/// A message of a daemon to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Identity of the daemon.
    pub from: u64,
    /// Process of the daemon.
    pub incarnation: u32,
    /// Number of the message, ascending over all messages of the process.
    pub sequence: u64,
    /// Number of daemons with a record, as the daemon knows it.
    pub daemons: u32,
    /// Delegated share; `None` while the coordinator's time is not known.
    pub lease: Option<Lease>,
    /// Accounts with requests.
    pub asks: Vec<AccountAsk>,
}

/// Tokens for an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountGrant {
    /// The account.
    pub account: AccountId,
    /// Number of tokens.
    pub count: u32,
    /// Time after which a further token is expected, in milliseconds. Zero unless tokens that are
    /// needed are missing.
    pub retry_after_ms: u32,
}

/// The answer of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// Process of the coordinator.
    pub epoch: u32,
    /// Time of the coordinator.
    pub now: Timestamp,
    /// Largest number of daemons with a record that the coordinator has recently heard of.
    pub daemons: u32,
    /// Whether the coordinator is about to end. It has given up all leases.
    pub is_leaving: bool,
    /// Tokens for the accounts of the request, in its order.
    pub grants: Vec<AccountGrant>,
}
