//! The backend servers that the daemon chooses from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::Candidate;

use super::endpoint_stats::EndpointStats;

/// A backend server that requests can be sent to.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Identity of the backend server.
    pub id: String,
    /// Start time of the backend server, in milliseconds since the Unix epoch. Tells a restarted
    /// backend server from its predecessor.
    pub incarnation: u64,
    /// Peer address of its daemon.
    pub addr: SocketAddr,
    /// Availability zone of the backend server.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether its daemon reads packed headers. Daemons of earlier releases do not.
    pub accepts_packed_headers: bool,
    /// Version of the service that it runs; empty if it is not known.
    pub version: String,
    /// Whether this is the local backend server of this daemon.
    pub is_local: bool,
    /// Statistics that this daemon has collected about the endpoint, shared by all snapshots that
    /// contain it.
    pub stats: Arc<EndpointStats>,
}

impl Endpoint {
    /// Whether it may run requests for a version. An unknown version is equal to the others.
    pub fn runs(&self, version: &str) -> bool {
        self.version.is_empty() || self.version == version
    }

    /// Returns the input to the choice of an endpoint for a request of rank `priority` from `zone`.
    ///
    /// `mean_service_time` is the mean over all backend servers for requests of the same class.
    pub fn candidate(
        &self,
        zone: &str,
        priority: u8,
        mean_service_time: Duration,
        now: Timestamp,
    ) -> Candidate {
        Candidate {
            load: self.stats.load(now),
            slots: self.slots,
            relative_service_time: self.stats.relative_service_time(),
            relative_delay: match mean_service_time.is_zero() {
                true => 0.0,
                false => self.stats.delay(now).as_secs_f64() / mean_service_time.as_secs_f64(),
            },
            failure_rate: self.stats.failure_rate(now),
            is_in_local_zone: self.zone == zone,
            is_available: self.stats.is_available(priority, now),
        }
    }
}
