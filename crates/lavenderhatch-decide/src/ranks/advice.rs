//! Retry delays for refused callers.

/// Minimum mean delay, in milliseconds.
const MIN_DELAY_MS: u64 = 50;
/// Time over which retries are spread, in percent of the time needed to serve them.
const SPREAD_PERCENT: u64 = 120;
/// Maximum delay, in milliseconds.
const MAX_DELAY_MS: u64 = 10_000;

/// Returns the retry delay to advise to one refused caller, in milliseconds.
///
/// Delays are spread over slightly more than the time needed to serve all requests refused in the
/// last second at the current service rate, so that few of them are refused again. `random` is a
/// uniformly distributed number.
pub fn advise_delay_ms(refused_per_s: u32, served_per_s: u32, random: u64) -> u64 {
    let drain_ms = u64::from(refused_per_s) * 1000 / u64::from(served_per_s.max(1));
    let max_delay_ms = (drain_ms * SPREAD_PERCENT / 100).clamp(2 * MIN_DELAY_MS, MAX_DELAY_MS);
    1 + random % max_delay_ms
}

/// Backoff strategies for a caller that gets no advice, by the number of its refusals.
///
/// Source of full and equal jitter: Brooker, "Exponential Backoff And Jitter", AWS, 2015.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// Exponential: the base doubles with each refusal.
    Plain,
    /// Exponential up to a cap.
    Capped,
    /// Uniformly random between zero and the capped value.
    FullJitter,
    /// Half of the capped value, plus a uniformly random part of the other half.
    EqualJitter,
}

impl Backoff {
    /// All strategies.
    pub const ALL: [Backoff; 4] = [
        Backoff::Plain,
        Backoff::Capped,
        Backoff::FullJitter,
        Backoff::EqualJitter,
    ];

    /// Returns the delay in milliseconds after `refusals` refusals, which must be at least 1.
    pub fn delay_ms(self, refusals: u32, base_ms: u64, cap_ms: u64, random: u64) -> u64 {
        let doubled = base_ms.saturating_mul(1 << refusals.saturating_sub(1).min(30));
        let capped = doubled.min(cap_ms);
        match self {
            Backoff::Plain => doubled,
            Backoff::Capped => capped,
            Backoff::FullJitter => random % (capped + 1),
            Backoff::EqualJitter => capped / 2 + random % (capped / 2 + 1),
        }
    }
}
