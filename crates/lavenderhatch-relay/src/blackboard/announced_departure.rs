//! Departure of the local backend server that its answers announce.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use lavenderhatch_decide::relay::BackendReport;
use lavenderhatch_decide::stable_hash::stable_hash;

/// Departure of the local backend server that its answers announce.
///
/// Its report may be late or lost, so an answer counts as well. Written by the request path, which
/// sends no more requests from then on, and read by the controller of the backend server.
#[derive(Debug, Default)]
pub struct AnnouncedDeparture {
    /// Hash of the identity and incarnation that leaves; zero if none does.
    departing: AtomicU64,
}

impl AnnouncedDeparture {
    /// Records that a backend server leaves. Returns whether this was not known.
    pub fn announce(&self, backend: &BackendReport) -> bool {
        let key = key_of(backend);
        self.departing.swap(key, Relaxed) != key
    }

    /// Whether a backend server has announced that it leaves.
    pub fn is_announced(&self, backend: &BackendReport) -> bool {
        self.departing.load(Relaxed) == key_of(backend)
    }
}

fn key_of(backend: &BackendReport) -> u64 {
    stable_hash(backend.incarnation, &backend.id).max(1)
}
