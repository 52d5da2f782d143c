//! Statistics that a daemon collects about an endpoint.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_relay::EndpointStats;

const NOW: Timestamp = Timestamp(10_000);

/// Guards against a slow daemon that keeps getting its share of the requests, and against one that
/// is avoided forever after it has recovered.
#[test]
fn a_delay_is_learnt_from_few_attempts_and_fades() {
    let stats = EndpointStats::default();
    (0..3).for_each(|_| stats.record_delay(Duration::from_millis(300), NOW));
    let learnt = stats.delay(NOW);
    assert!(learnt > Duration::from_millis(150), "{learnt:?}");
    assert!(stats.delay(NOW + Duration::from_secs(10)) < learnt / 20);
}

/// Guards against learning the service time of a backend server only after many requests to it.
/// Each answer reports a mean over many requests, so a few answers are enough.
#[test]
fn a_service_time_is_learnt_from_few_answers() {
    let stats = EndpointStats::default();
    let overall = Duration::from_millis(100);
    (0..4).for_each(|_| stats.record_service_time(Duration::from_millis(400), overall));
    assert!(
        stats.relative_service_time() > 3.0,
        "{}",
        stats.relative_service_time()
    );
}

/// Guards against a full backend server that looks as if it had a free slot. The answer that tells
/// its load is of a request that no longer counts there.
#[test]
fn a_reported_load_counts_in_full() {
    let stats = EndpointStats::default();
    // Two requests of this daemon and two of others run there; a third one of this daemon is
    // refused.
    (0..3).for_each(|_| stats.begin_request());
    stats.record_load(4, NOW);
    stats.end_request();
    assert_eq!(stats.load(NOW), 4);
}
