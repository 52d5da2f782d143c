//! A backend server as other daemons see it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::Candidate;

use super::endpoint_stats::EndpointStats;

/// A backend server that takes requests.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Identity of the backend server.
    pub id: String,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The daemon beside it.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is beside this daemon.
    pub is_local: bool,
    /// What this daemon has seen of it. Shared by the snapshots that hold the endpoint.
    pub stats: Arc<EndpointStats>,
}

impl Endpoint {
    /// What the choice of a backend server needs for a request of this rank.
    /// `service` is the mean service time of its kind.
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
            relative_service_time: self.stats.slowness(),
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
