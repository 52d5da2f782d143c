//! Tokens, each of which allows one request.

use lavenderhatch_core::Timestamp;

use super::account_id::AccountId;

/// A grant of a coordinator, as far as its tokens depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Grant {
    /// Process of the coordinator.
    pub(super) epoch: u32,
    /// Time of the grant, by the coordinator's clock.
    pub(super) granted_at: Timestamp,
    /// Time from which its tokens are no longer valid, by the daemon's clock.
    pub(super) expires_at: Timestamp,
}

/// Where a token comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenSource {
    /// The daemon's own share.
    Local,
    /// A coordinator.
    Coordinator(Grant),
}

/// A token that a request has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub(super) account: AccountId,
    pub(super) source: TokenSource,
}

/// Tokens of one grant that are not used yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBatch {
    pub(super) grant: Grant,
    pub(super) count: u32,
}
