//! Routes of a host.

use std::time::Duration;

/// A service that gets a portion of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the other services of the route.
    pub weight: u32,
}

/// A route of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRoute {
    /// Name of the route.
    pub name: String,
    /// Path prefix. Invariant: begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Maximum time that a request waits for its response.
    pub timeout: Duration,
    /// Latency up to which a response has its full worth.
    pub latency_target: Duration,
    /// Rank of the requests. Zero is the most urgent rank.
    pub priority: u8,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no API key, even if the configuration has client accounts.
    pub allows_anonymous: bool,
    /// Services that get the requests. Invariant: not empty, and the sum of the weights is above
    /// zero.
    pub services: Vec<WeightedService>,
}

impl HostRoute {
    /// Picks the service for a request by weight. `random` is a uniformly distributed number.
    pub fn pick_service(&self, random: u64) -> &str {
        let total: u64 = self
            .services
            .iter()
            .map(|entry| u64::from(entry.weight))
            .sum();
        let mut at = random % total.max(1);
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if at < weight {
                return &entry.service;
            }
            at -= weight;
        }
        &self.services[0].service
    }
}
