//! What is known of a request that ran while backend servers crashed.

use std::collections::BTreeSet;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::crash_id::CrashId;
use super::fingerprint::Fingerprint;
use crate::stable_hash::stable_hash_u64;

/// Crashes of different incarnations after which a request is quarantined. Many requests run while
/// a backend server crashes, and hardly any but the cause runs in three crashes without an answer.
pub const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// Time after its last crash for which a request is remembered. A cause that is fixed or a wrong
/// suspicion ends with it.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// What is known of a request that ran while backend servers crashed.
///
/// Daemons merge their records in any order and end up with the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request and its repetitions.
    pub fingerprint: Fingerprint,
    /// Crashes under it, the lowest [`CRASHES_UNTIL_QUARANTINE`] of them.
    pub crashes: BTreeSet<CrashId>,
    /// Whether a backend server has answered it since its first crash, so that others caused them.
    pub is_cleared: bool,
    /// When it is forgotten, on the clock of the daemon that holds the record.
    pub expires_at: Timestamp,
}

impl CrashRecord {
    /// Creates the record of a first crash.
    pub fn new(fingerprint: Fingerprint, crash: CrashId, now: Timestamp) -> Self {
        Self {
            fingerprint,
            crashes: BTreeSet::from([crash]),
            is_cleared: false,
            expires_at: now + CRASH_RETENTION,
        }
    }

    /// Whether the request must not run any more.
    pub fn is_quarantined(&self) -> bool {
        !self.is_cleared && self.crashes.len() >= CRASHES_UNTIL_QUARANTINE
    }

    /// Whether the time of the record is over.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.expires_at
    }

    /// Adds what another record of the same request holds.
    pub(super) fn merge(&mut self, other: &CrashRecord) {
        self.crashes.extend(&other.crashes);
        while self.crashes.len() > CRASHES_UNTIL_QUARANTINE {
            self.crashes.pop_last();
        }
        self.is_cleared |= other.is_cleared;
        self.expires_at = self.expires_at.max(other.expires_at);
    }

    /// Returns a hash of the content that daemons agree on.
    pub(super) fn digest(&self) -> u64 {
        let salt = stable_hash_u64(u64::from(self.is_cleared), self.fingerprint.0);
        let crashes = self.crashes.iter();
        crashes.fold(salt, |salt, crash| stable_hash_u64(salt, crash.0))
    }
}
