//! Chooses the endpoint of an attempt, and learns from its result.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::relay::{Candidate, ExchangeSizes, Need, ServiceTimes, choose_backend};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::attempt::{AttemptResult, found_no_free_slot};
use super::call::Call;
use super::local_backend::LocalBackend;
use super::version_choice::{self, VersionChoice};
use crate::admission_gate::AdmissionGate;
use crate::blackboard::{Blackboard, Endpoint, EndpointSnapshot};
use crate::monotonic_clock::MonotonicClock;

/// Shortest backoff from a backend server that had no free slot.
const MIN_OVERLOAD_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff from a backend server that had no free slot.
const MAX_OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);
/// Backoff from a backend server in another zone that had no free slot. Each request that is sent
/// there and refused has crossed zones for nothing.
const REMOTE_FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Backoff from a backend server that accepts no requests.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(100);
/// Bytes of the heads of a request and its answer between two daemons, as they are counted for the
/// cost of crossing zones.
const HEAD_BYTES: usize = 900;

/// What a daemon knows of request classes and uses to place requests.
#[derive(Debug)]
pub(super) struct Placement {
    blackboard: Blackboard,
    clock: MonotonicClock,
    /// Gate of the local backend server, whose load is known exactly.
    gate: Arc<AdmissionGate>,
    /// Availability zone of this daemon.
    zone: String,
    /// Mean service times by request class, over all backend servers.
    service_times: RefCell<ServiceTimes>,
    exchange_sizes: RefCell<ExchangeSizes>,
    random: RefCell<Pcg64Mcg>,
}

impl Placement {
    pub(super) fn new(backend: &LocalBackend, zone: &str) -> Self {
        Self {
            blackboard: backend.blackboard.clone(),
            clock: backend.clock,
            gate: Arc::clone(&backend.gate),
            zone: zone.to_owned(),
            service_times: RefCell::default(),
            exchange_sizes: RefCell::default(),
            random: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
        }
    }

    /// Updates the statistics of an endpoint with the result of an attempt.
    pub(super) fn record_outcome(&self, call: &Call, endpoint: &Endpoint, result: &AttemptResult) {
        let now = self.clock.now();
        match result {
            Ok(answer) => {
                let stats = &endpoint.stats;
                let is_failure = answer.status.is_server_error();
                let bytes = HEAD_BYTES + call.body.len() + answer.body.len();
                let mut sizes = self.exchange_sizes.borrow_mut();
                sizes.record(call.demand.class, bytes);
                stats.record_result(is_failure, now);
                if is_failure {
                    // Failures are often quick and would make the backend server look fast.
                    return;
                }
                let mut service_times = self.service_times.borrow_mut();
                service_times.record(call.demand.class, answer.service_time);
                stats.record_service_time(
                    answer.mean_service_time,
                    service_times.of(call.demand.class),
                );
            }
            Err(failure) if failure.has_arrived => endpoint.stats.record_result(true, now),
            Err(_) if found_no_free_slot(call, result) => {
                if endpoint.zone != self.zone && self.need_of(call, now).is_dear() {
                    let priority = call.demand.priority;
                    let until = now + REMOTE_FULL_BACKOFF;
                    endpoint.stats.suspend_for_rank(priority, until);
                }
            }
            Err(failure) if failure.kind == ErrorKind::Overloaded => {
                let backoff =
                    (failure.retry_after / 2).clamp(MIN_OVERLOAD_BACKOFF, MAX_OVERLOAD_BACKOFF);
                let priority = call.demand.priority;
                endpoint.stats.suspend_for_rank(priority, now + backoff);
            }
            // Other requests are taken.
            Err(failure)
                if matches!(failure.kind, ErrorKind::LinkFull | ErrorKind::Quarantined) => {}
            Err(_) => endpoint.stats.suspend(now + UNAVAILABLE_BACKOFF),
        }
    }

    /// Chooses an endpoint among those of the version that the attempt may be sent to.
    pub(super) fn choose<'a>(
        &self,
        call: &mut Call,
        attempt: version_choice::Attempt,
        tried: impl Iterator<Item = &'a Arc<Endpoint>> + Clone,
    ) -> Option<Arc<Endpoint>> {
        let snapshot = self.blackboard.endpoints.load();
        let draw = || self.random_fraction();
        let version = VersionChoice::make(
            call,
            attempt,
            &self.blackboard,
            &snapshot,
            self.clock.now(),
            draw,
        );
        let chosen = self.choose_of_version(call, &snapshot, version.as_ref(), tried.clone());
        let fallback = version.and_then(|version| version.fallback());
        chosen.or_else(|| {
            let version = fallback.as_ref()?;
            self.choose_of_version(call, &snapshot, Some(version), tried)
        })
    }

    fn choose_of_version<'a>(
        &self,
        call: &Call,
        snapshot: &EndpointSnapshot,
        version: Option<&VersionChoice>,
        tried: impl Iterator<Item = &'a Arc<Endpoint>> + Clone,
    ) -> Option<Arc<Endpoint>> {
        let now = self.clock.now();
        let endpoints = snapshot.of_service(&call.service);
        let mean_service_time = self.service_times.borrow().of(call.demand.class);
        let candidate = |endpoint: &Arc<Endpoint>| {
            let is_tried = tried.clone().any(|tried| Arc::ptr_eq(tried, endpoint));
            let candidate =
                endpoint.candidate(&self.zone, call.demand.priority, mean_service_time, now);
            let load = match endpoint.is_local {
                true => self.gate.load(),
                false => candidate.load,
            };
            let is_allowed = version.is_none_or(|version| version.allows(endpoint));
            Candidate {
                is_available: candidate.is_available && !is_tried && is_allowed,
                load,
                ..candidate
            }
        };
        let candidates: Vec<Candidate> = endpoints.iter().map(candidate).collect();
        let need = self.need_of(call, now);
        let index = choose_backend(&candidates, &need, || self.random())?;
        Some(Arc::clone(&endpoints[index]))
    }

    fn need_of(&self, call: &Call, now: Timestamp) -> Need {
        let service_time = self.service_times.borrow().of(call.demand.class);
        let time_to_target = call.demand.target_at.since(now);
        Need {
            service_share: service_time.as_secs_f64() / time_to_target.as_secs_f64(),
            bytes: self.exchange_sizes.borrow().of(call.demand.class),
        }
    }

    pub(super) fn random(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    pub(super) fn random_fraction(&self) -> f64 {
        self.random() as f64 / u64::MAX as f64
    }
}
