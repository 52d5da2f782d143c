//! One route of a host.

use std::time::Duration;

/// A service to which a part of the requests of a route goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other parts of the route.
    pub weight: u32,
}

/// A route of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRoute {
    /// Name of the route.
    pub name: String,
    /// Invariant: begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time that a request is kept waiting for its answer.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub latency_target: Duration,
    /// Rank of the requests. Zero is the most urgent.
    pub priority: u8,
    /// Most backend servers that may be sent one request.
    pub max_attempts: u32,
    /// Invariant: at least one, and the sum of the weights is above zero.
    pub services: Vec<WeightedService>,
}

impl HostRoute {
    /// The service for a request, by weight. `random` is a uniformly distributed number.
    pub fn pick_service(&self, random: u64) -> &str {
        let total: u64 = self
            .services
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut at = random % total.max(1);
        for part in &self.services {
            let weight = u64::from(part.weight);
            if at < weight {
                return &part.service;
            }
            at -= weight;
        }
        &self.services[0].service
    }
}
