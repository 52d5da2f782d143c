//! Requests of the local backend server that rollouts limit and count.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::rollout::{AdmissionRule, RouteCounts, VersionLease};

use crate::boot_clock::BootClock;

/// Time after the first counted request of an incarnation in which times do not count. Backend
/// servers are slow for up to three seconds after a start.
const WARM_UP: Duration = Duration::from_secs(3);
/// Maximum number of classes that are counted. Later ones are left out.
const MAX_CLASSES: usize = 256;

#[derive(Debug, Default)]
struct Counts {
    /// Number of the order that the requests are counted for.
    order: u64,
    /// Incarnation whose requests are counted, and the time of the first of them.
    incarnation: Option<(u64, Timestamp)>,
    routes: HashMap<u64, RouteCounts>,
}

/// Requests of the local backend server that rollouts limit and count.
///
/// Nothing is counted while the service has no rollout.
#[derive(Debug)]
pub struct LocalVersion {
    /// Identifies this process to the leaders of rollouts.
    epoch: u64,
    lease: ArcSwapOption<VersionLease>,
    /// Requests that needed a lease.
    admitted: AtomicU64,
    is_counting: AtomicBool,
    counts: Mutex<Counts>,
}

impl Default for LocalVersion {
    fn default() -> Self {
        Self {
            epoch: rand::random(),
            lease: ArcSwapOption::empty(),
            admitted: AtomicU64::new(0),
            is_counting: AtomicBool::new(false),
            counts: Mutex::default(),
        }
    }
}

impl LocalVersion {
    /// Returns the identity of this process.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of requests that needed a lease.
    pub fn admitted(&self) -> u64 {
        self.admitted.load(SeqCst)
    }

    /// Returns the lease that the leader of a rollout has granted last.
    pub fn lease(&self) -> Option<VersionLease> {
        self.lease.load().as_deref().copied()
    }

    /// Replaces the lease. One of an earlier process does not count.
    pub fn set_lease(&self, lease: Option<VersionLease>) {
        let lease = lease.filter(|lease| lease.epoch == self.epoch);
        self.lease.store(lease.map(std::sync::Arc::new));
    }

    /// Returns the time on the clock of the leases. It counts suspensions, so that no lease outlives
    /// one.
    pub fn lease_time(&self) -> Timestamp {
        BootClock.now()
    }

    /// Whether the rule admits another request.
    pub fn would_admit(&self, rule: AdmissionRule) -> bool {
        match rule {
            AdmissionRule::Limited(_) => rule.admits(self.admitted(), self.lease_time()),
            _ => rule.admits(0, Timestamp::default()),
        }
    }

    /// Takes a request from what the rule admits. Returns whether it may run.
    pub fn admit(&self, rule: AdmissionRule) -> bool {
        if !matches!(rule, AdmissionRule::Limited(_)) {
            return self.would_admit(rule);
        }
        let now = self.lease_time();
        let take = |admitted| rule.admits(admitted, now).then_some(admitted + 1);
        self.admitted.fetch_update(SeqCst, SeqCst, take).is_ok()
    }

    /// Counts requests for an order, from zero if it is another one than before.
    pub fn start_counting(&self, order: u64) {
        let mut counts = self.lock();
        if counts.order != order {
            *counts = Counts {
                order,
                ..Counts::default()
            };
        }
        drop(counts);
        self.is_counting.store(true, Relaxed);
    }

    /// Stops counting requests.
    pub fn stop_counting(&self) {
        self.is_counting.store(false, Relaxed);
    }

    /// Whether requests are counted.
    pub fn is_counting(&self) -> bool {
        self.is_counting.load(Relaxed)
    }

    /// Counts a request that has ended at an incarnation of the backend server.
    pub fn record(
        &self,
        incarnation: u64,
        class: u64,
        is_failure: bool,
        took: Duration,
        now: Timestamp,
    ) {
        let mut counts = self.lock();
        let since = match counts.incarnation {
            Some((known, since)) if known == incarnation => since,
            _ => {
                counts.incarnation = Some((incarnation, now));
                now
            }
        };
        let is_warm = now.since(since) >= WARM_UP;
        if counts.routes.len() < MAX_CLASSES || counts.routes.contains_key(&class) {
            let route = counts.routes.entry(class).or_default();
            route.record(is_failure, is_warm.then_some(took));
        }
    }

    /// Returns the requests since counting began, by class.
    pub fn routes(&self) -> Vec<(u64, RouteCounts)> {
        let counts = self.lock();
        counts.routes.iter().map(|(c, n)| (*c, *n)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
