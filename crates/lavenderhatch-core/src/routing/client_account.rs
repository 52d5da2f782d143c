//! Client accounts and their API keys.

use std::collections::HashMap;
use std::sync::Arc;

use crate::Digest;

/// Limit on the requests of a client account, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimit {
    /// Requests per second. Invariant: above zero.
    pub rate: f64,
    /// Requests that the account may send beyond the rate at one time.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: String,
    /// Rank of its requests, which takes precedence over the rank of their route. Zero is the most
    /// urgent rank.
    pub priority: Option<u8>,
    /// Limit on its requests; `None` if there is none.
    pub limit: Option<AccountLimit>,
}

/// The client accounts of a configuration version, by API key.
///
/// Holds digests of the keys. A lookup takes the same time for any number of keys, and its duration
/// does not tell how far a wrong key agrees with a valid one.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<Digest, Arc<ClientAccount>>,
    /// Accounts that have a limit.
    limited: Vec<Arc<ClientAccount>>,
}

/// Two accounts have the same API key. The key itself is not named.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the accounts {first} and {second} have an API key in common")]
pub struct SharedKey {
    /// Account that comes first.
    pub first: String,
    /// Account that comes second.
    pub second: String,
}

impl AccountTable {
    /// Builds a table from accounts with their API keys.
    pub fn new<'a, K>(
        accounts: impl IntoIterator<Item = (ClientAccount, K)>,
    ) -> Result<Self, SharedKey>
    where
        K: IntoIterator<Item = &'a str>,
    {
        let mut by_key: HashMap<Digest, Arc<ClientAccount>> = HashMap::new();
        let mut limited = Vec::new();
        for (account, keys) in accounts {
            let account = Arc::new(account);
            if account.limit.is_some() {
                limited.push(Arc::clone(&account));
            }
            for key in keys {
                let before = by_key.insert(Digest::of(key.as_bytes()), Arc::clone(&account));
                if let Some(before) = before.filter(|before| before.name != account.name) {
                    return Err(SharedKey {
                        first: before.name.clone(),
                        second: account.name.clone(),
                    });
                }
            }
        }
        Ok(Self { by_key, limited })
    }

    /// Finds the account that holds an API key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(&Digest::of(key))
    }

    /// Returns the accounts that have a limit.
    pub fn limited(&self) -> &[Arc<ClientAccount>] {
        &self.limited
    }

    /// Number of API keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}
