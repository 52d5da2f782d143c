//! Simulates callers that arrive all at once and retry, to compare ways of choosing the delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lavenderhatch_decide::ranks::{Backoff, advise_delay_ms};
use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{SERVICE_US, SLOTS};

/// Requests that a backend server accepts, running or waiting. More are refused.
const CAPACITY: usize = 3 * SLOTS as usize;
/// First delay of the callers' backoff, in milliseconds.
const BASE_MS: u64 = 50;
/// Maximum delay of the callers' backoff, in milliseconds.
const CAP_MS: u64 = 2000;
/// Length of the windows in which retries are counted for the peak, in microseconds.
const PEAK_WINDOW_US: u64 = 100_000;
const SECOND_US: u64 = 1_000_000;
/// Maximum length of a run, in microseconds.
const MAX_RUN_US: u64 = 600 * SECOND_US;

/// Where the retry delay of a refused caller comes from.
#[derive(Clone, Copy)]
pub(crate) enum DelaySource {
    /// Each caller computes its own backoff.
    Caller(Backoff),
    /// The daemon advises a delay from its refusals of the last second and its service rate.
    Daemon,
}

impl DelaySource {
    pub(crate) fn all() -> impl Iterator<Item = DelaySource> {
        let callers = Backoff::ALL.into_iter().map(DelaySource::Caller);
        callers.chain([DelaySource::Daemon])
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            DelaySource::Caller(Backoff::Plain) => "plain exponential",
            DelaySource::Caller(Backoff::Capped) => "capped exponential",
            DelaySource::Caller(Backoff::FullJitter) => "full jitter",
            DelaySource::Caller(Backoff::EqualJitter) => "capped, half + random",
            DelaySource::Daemon => "advice of the daemon",
        }
    }
}

/// Results of a crowd.
pub(crate) struct CrowdOutcome {
    /// Time until half of the callers were served, in seconds.
    pub(crate) half_s: f64,
    /// Time until 99% of the callers were served, in seconds.
    pub(crate) most_s: f64,
    /// Time until all callers were served, in seconds. It is at most the length of a run.
    pub(crate) all_s: f64,
    /// Mean number of retries per caller.
    pub(crate) retries: f64,
    /// Maximum number of retries in a window of 100 ms, not counting the first arrival.
    pub(crate) peak: usize,
}

/// Lets all callers arrive at one backend server at the same time.
pub(crate) fn run(source: DelaySource, callers: usize, mut rng: Pcg64Mcg) -> CrowdOutcome {
    let mut attempts: BinaryHeap<Reverse<(u64, usize)>> =
        (0..callers).map(|caller| Reverse((0, caller))).collect();
    let mut refusals = vec![0; callers];
    let mut slots = Slots::default();
    let (mut served, mut refused, mut retries) = (Vec::new(), Vec::new(), Vec::new());
    while let Some(Reverse((now, caller))) = attempts.pop() {
        if now > MAX_RUN_US {
            break;
        }
        if now > 0 {
            retries.push(now);
        }
        match slots.admit(now, &mut rng) {
            Some(done) => served.push(done),
            None => {
                refused.push(now);
                refusals[caller] += 1;
                let delay = delay_ms(source, refusals[caller], &refused, &mut rng, now);
                attempts.push(Reverse((now + delay.max(1) * 1000, caller)));
            }
        }
    }
    served.sort_unstable();
    let at = |part: f64| {
        let index = (callers as f64 * part).ceil() as usize - 1;
        served.get(index).copied().unwrap_or(MAX_RUN_US) as f64 / SECOND_US as f64
    };
    CrowdOutcome {
        half_s: at(0.5),
        most_s: at(0.99),
        all_s: at(1.0),
        retries: retries.len() as f64 / callers as f64,
        peak: peak(&retries),
    }
}

fn delay_ms(
    source: DelaySource,
    refusals: u32,
    refused: &[u64],
    rng: &mut Pcg64Mcg,
    now: u64,
) -> u64 {
    let random = rng.next_u64();
    match source {
        DelaySource::Caller(backoff) => backoff.delay_ms(refusals, BASE_MS, CAP_MS, random),
        DelaySource::Daemon => {
            let since = now.saturating_sub(SECOND_US);
            let refused = refused.len() - refused.partition_point(|at| *at < since);
            let served = f64::from(SLOTS) * 1e6 / SERVICE_US;
            advise_delay_ms(refused as u32, served as u32, random)
        }
    }
}

/// Slots and queue of the backend server, kept as the end times of admitted requests.
#[derive(Default)]
struct Slots {
    /// End times of admitted requests, in microseconds. Invariant: at most `CAPACITY`.
    ends: Vec<u64>,
}

impl Slots {
    /// Admits a request at `now`. Returns when it is answered, or `None` if the queue is full.
    fn admit(&mut self, now: u64, rng: &mut Pcg64Mcg) -> Option<u64> {
        self.ends.retain(|end| *end > now);
        if self.ends.len() >= CAPACITY {
            return None;
        }
        self.ends.sort_unstable();
        let slots = SLOTS as usize;
        let free_at = match self.ends.len() >= slots {
            true => self.ends[self.ends.len() - slots],
            false => now,
        };
        let uniform: f64 = rng.random();
        let end = free_at + (-(1.0 - uniform).ln() * SERVICE_US) as u64;
        self.ends.push(end);
        Some(end)
    }
}

fn peak(retries: &[u64]) -> usize {
    let windows = retries.chunk_by(|a, b| a / PEAK_WINDOW_US == b / PEAK_WINDOW_US);
    windows.map(<[u64]>::len).max().unwrap_or(0)
}
