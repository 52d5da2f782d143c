//! Statistics that this daemon collects about an endpoint.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Time after which a load report is ignored, in milliseconds. The weight of a report falls
/// linearly until then.
const LOAD_REPORT_LIFETIME_MS: f64 = 1000.0;
/// Weight of one request in the moving failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Half-life of the failure rate while no request is sent, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 4000.0;
/// Weight of one report in the moving relative service time. Each report is already a mean over
/// about ten requests.
const RELATIVE_SERVICE_TIME_WEIGHT: f64 = 0.3;
/// Bounds the relative service time to within this factor of the mean, so that a few long requests
/// do not exclude a backend server.
const MAX_RELATIVE_SERVICE_TIME: f64 = 8.0;
/// Weight of one attempt in the moving delay.
const DELAY_WEIGHT: f64 = 0.3;
/// Half-life of the delay while no request is sent, in milliseconds.
const DELAY_HALF_LIFE_MS: f64 = 2000.0;
/// Number of ranks with a suspension time of their own.
const RANK_COUNT: usize = 8;
/// Backoff after the first failed connection to a daemon, in milliseconds. Doubles with each
/// further failure.
const MIN_UNREACHABLE_BACKOFF_MS: u64 = 300;
/// Longest backoff after failed connections to a daemon, in milliseconds.
const MAX_UNREACHABLE_BACKOFF_MS: u64 = 1200;

/// Counters and moving averages, shared by the threads of the request path.
///
/// Each value is read and written independently. A concurrent update may lose a sample of an
/// average, which barely affects the choice of an endpoint.
#[derive(Debug)]
pub struct EndpointStats {
    /// Requests of this daemon that run or wait at the endpoint.
    outstanding: AtomicU32,
    /// Requests of other daemons that run or wait at the endpoint, as last reported.
    load_from_others: AtomicU32,
    /// Time of the last load report; zero before the first one.
    load_reported_at: AtomicU64,
    /// Bits of an `f64`: service time relative to the mean over all backend servers.
    relative_service_time: AtomicU64,
    /// Bits of an `f64` between 0 and 1, as of `failure_rate_at`.
    failure_rate: AtomicU64,
    failure_rate_at: AtomicU64,
    /// Bits of an `f64`, in milliseconds, as of `delay_at`.
    delay: AtomicU64,
    delay_at: AtomicU64,
    /// End of the suspension of each rank. Ranks beyond the last entry share it.
    suspended_until: [AtomicU64; RANK_COUNT],
    /// Number of consecutive failed connection attempts.
    connect_failures: AtomicU32,
    /// Whether the backend server has said in an answer that it leaves. Never taken back, because
    /// each incarnation has statistics of its own.
    is_leaving: AtomicBool,
}

impl Default for EndpointStats {
    fn default() -> Self {
        Self {
            outstanding: AtomicU32::new(0),
            load_from_others: AtomicU32::new(0),
            load_reported_at: AtomicU64::new(0),
            relative_service_time: AtomicU64::new(1f64.to_bits()),
            failure_rate: AtomicU64::new(0f64.to_bits()),
            failure_rate_at: AtomicU64::new(0),
            delay: AtomicU64::new(0f64.to_bits()),
            delay_at: AtomicU64::new(0),
            suspended_until: Default::default(),
            connect_failures: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
        }
    }
}

impl EndpointStats {
    /// Counts a request that is sent to the endpoint.
    pub fn begin_request(&self) {
        self.outstanding.fetch_add(1, Relaxed);
    }

    /// Stops counting a request that has ended.
    pub fn end_request(&self) {
        self.outstanding.fetch_sub(1, Relaxed);
    }

    /// Estimates the number of requests that run or wait at the endpoint.
    ///
    /// Requests of other daemons count less the older the report about them is.
    pub fn load(&self, now: Timestamp) -> u32 {
        let age = now.since(Timestamp(self.load_reported_at.load(Relaxed)));
        let weight = (1.0 - age.as_millis() as f64 / LOAD_REPORT_LIFETIME_MS).max(0.0);
        let others = f64::from(self.load_from_others.load(Relaxed)) * weight;
        self.outstanding.load(Relaxed) + others as u32
    }

    /// Records the number of requests at the backend server, including those of this daemon, as an
    /// answer has told it. The request of that answer has ended there, but is still outstanding
    /// here.
    pub fn record_load(&self, total: u32, now: Timestamp) {
        let outstanding = self.outstanding.load(Relaxed).saturating_sub(1);
        let others = total.saturating_sub(outstanding);
        self.load_from_others.store(others, Relaxed);
        self.load_reported_at.store(now.0, Relaxed);
    }

    /// Records whether a request failed at the endpoint.
    pub fn record_result(&self, is_failure: bool, now: Timestamp) {
        self.connect_failures.store(0, Relaxed);
        let before = self.failure_rate(now);
        let sample = f64::from(u8::from(is_failure));
        let after = before + (sample - before) * FAILURE_WEIGHT;
        self.failure_rate.store(after.to_bits(), Relaxed);
        self.failure_rate_at.store(now.0, Relaxed);
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        let age = now.since(Timestamp(self.failure_rate_at.load(Relaxed)));
        let half_lives = age.as_millis() as f64 / FAILURE_HALF_LIFE_MS;
        f64::from_bits(self.failure_rate.load(Relaxed)) * 0.5f64.powf(half_lives)
    }

    /// Records the mean service time of a request class at this backend server and over all backend
    /// servers.
    pub fn record_service_time(&self, at_endpoint: Duration, overall: Duration) {
        if overall.is_zero() {
            return;
        }
        let ratio = at_endpoint.as_secs_f64() / overall.as_secs_f64();
        let ratio = ratio.clamp(1.0 / MAX_RELATIVE_SERVICE_TIME, MAX_RELATIVE_SERVICE_TIME);
        let before = self.relative_service_time();
        let after = before + (ratio - before) * RELATIVE_SERVICE_TIME_WEIGHT;
        self.relative_service_time.store(after.to_bits(), Relaxed);
    }

    /// Returns the endpoint's service time relative to the mean over all backend servers.
    pub fn relative_service_time(&self) -> f64 {
        f64::from_bits(self.relative_service_time.load(Relaxed))
    }

    /// Records the part of an attempt's duration that was not spent at the remote daemon.
    ///
    /// A congested link and a daemon that is slow to read show up here and not in the service time.
    pub fn record_delay(&self, delay: Duration, now: Timestamp) {
        let before = self.delay(now).as_secs_f64() * 1000.0;
        let after = before + (delay.as_secs_f64() * 1000.0 - before) * DELAY_WEIGHT;
        self.delay.store(after.to_bits(), Relaxed);
        self.delay_at.store(now.0, Relaxed);
    }

    /// Returns the recent average of the time recorded by [`Self::record_delay`].
    pub fn delay(&self, now: Timestamp) -> Duration {
        let age = now.since(Timestamp(self.delay_at.load(Relaxed)));
        let half_lives = age.as_millis() as f64 / DELAY_HALF_LIFE_MS;
        let ms = f64::from_bits(self.delay.load(Relaxed)) * 0.5f64.powf(half_lives);
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Suspends the endpoint for all ranks until `until`.
    pub fn suspend(&self, until: Timestamp) {
        self.suspend_for_rank(0, until);
    }

    /// Suspends the endpoint for this rank and all less urgent ones until `until`.
    pub fn suspend_for_rank(&self, priority: u8, until: Timestamp) {
        for suspended_until in &self.suspended_until[rank_index(priority)..] {
            suspended_until.fetch_max(until.0, Relaxed);
        }
    }

    /// Suspends the endpoint after a failed connection, with exponential backoff.
    pub fn suspend_unreachable(&self, now: Timestamp) {
        let failures = self.connect_failures.fetch_add(1, Relaxed).min(8);
        let backoff = (MIN_UNREACHABLE_BACKOFF_MS << failures).min(MAX_UNREACHABLE_BACKOFF_MS);
        self.suspend(now + Duration::from_millis(backoff));
    }

    /// Records that the backend server has said in an answer that it leaves.
    pub fn mark_leaving(&self) {
        self.is_leaving.store(true, Relaxed);
    }

    /// Whether the endpoint may be chosen for a request of this rank.
    pub fn is_available(&self, priority: u8, now: Timestamp) -> bool {
        let is_leaving = self.is_leaving.load(Relaxed);
        !is_leaving && self.suspended_until[rank_index(priority)].load(Relaxed) <= now.0
    }
}

fn rank_index(priority: u8) -> usize {
    usize::from(priority).min(RANK_COUNT - 1)
}
