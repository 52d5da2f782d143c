//! Adaptive concurrency limit of a simulated back end with a known number of slots.

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::ranks::{AdaptiveLimit, LatencySample};
use rstest::rstest;

const SLOTS: u32 = 12;
const STEP_MS: u64 = 100;
const SERVICE_MS: f64 = 10.0;

/// Runs a back end with `real_slots` slots at the full limit. Returns the limit at the end.
fn run_at_limit(
    adaptive: &mut AdaptiveLimit,
    real_slots: u32,
    fails: bool,
    from_ms: u64,
    to_ms: u64,
) -> u32 {
    for ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
        let limit = adaptive.limit();
        let latency_ms = SERVICE_MS * (f64::from(limit) / f64::from(real_slots)).max(1.0);
        let finished = (f64::from(limit) * STEP_MS as f64 / latency_ms) as u64;
        let sample = LatencySample {
            finished,
            failed: if fails { finished } else { 0 },
            latency_sum_us: (finished as f64 * latency_ms * 1000.0) as u64,
        };
        adaptive.observe(&[sample], limit, Timestamp(ms + STEP_MS));
    }
    adaptive.limit()
}

/// Guards against a limit that stays at a wrongly configured number of slots, and against one that
/// falls without a cause.
#[rstest]
#[case::as_configured(12, 10, 16)]
#[case::fewer_than_configured(6, 4, 11)]
fn limit_approaches_the_real_slots(#[case] real_slots: u32, #[case] least: u32, #[case] most: u32) {
    let mut adaptive = AdaptiveLimit::new(SLOTS, 1, Timestamp(0));
    let limit = run_at_limit(&mut adaptive, real_slots, false, 0, 15_000);
    assert!((least..=most).contains(&limit), "{limit}");
}

/// Guards against a limit that never recovers from errors: they reduce it to 1, and it must return
/// to the slots within ten seconds after the errors end.
#[test]
fn limit_that_collapsed_recovers() {
    let mut adaptive = AdaptiveLimit::new(SLOTS, 1, Timestamp(0));
    run_at_limit(&mut adaptive, SLOTS, false, 0, 5000);
    assert_eq!(run_at_limit(&mut adaptive, SLOTS, true, 5000, 15_000), 1);
    let limit = run_at_limit(&mut adaptive, SLOTS, false, 15_000, 25_000);
    assert!(limit >= SLOTS, "{limit}");
}

/// Guards against a limit that grows without bound on a back end that never slows down.
#[test]
fn limit_stays_within_twice_the_slots() {
    let mut adaptive = AdaptiveLimit::new(SLOTS, 1, Timestamp(0));
    for ms in (0..60_000).step_by(1000) {
        let limit = run_at_limit(&mut adaptive, 1000, false, ms, ms + 1000);
        assert!((1..=2 * SLOTS).contains(&limit));
    }
}
