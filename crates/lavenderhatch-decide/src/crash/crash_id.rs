//! Identity of a crash.

use xxhash_rust::xxh3::Xxh3;

/// Identifies the crash of one incarnation of a backend server, which crashes once at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the identity of the crash of an incarnation.
    pub fn of(backend_id: &str, incarnation: u64) -> Self {
        // As a seed, the incarnation would cancel out the difference of some short identities.
        let mut hasher = Xxh3::new();
        hasher.update(&incarnation.to_le_bytes());
        hasher.update(backend_id.as_bytes());
        Self(hasher.digest())
    }
}
