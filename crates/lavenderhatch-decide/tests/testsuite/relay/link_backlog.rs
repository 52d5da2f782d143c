//! Bodies that are on their way over the link of a machine.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::LinkBacklog;
use rstest::rstest;

const NOW: Timestamp = Timestamp(10_000);
/// Time within which a configuration must be in force.
const APPLY_DEADLINE: Duration = Duration::from_millis(2000);

/// Returns the time for which the link is busy with bodies of `bytes` that are offered each
/// millisecond, after `ms`, if it carries `link` bytes a second and nothing else.
fn busy_time(backlog: &mut LinkBacklog, link: f64, bytes: u64, ms: u64) -> Duration {
    let mut busy = Duration::ZERO;
    let mut longest = busy;
    for at in 0..ms {
        busy = busy.saturating_sub(Duration::from_millis(1));
        if backlog
            .admit(bytes, NOW + Duration::from_millis(at))
            .is_ok()
        {
            busy += Duration::from_secs_f64(bytes as f64 / link);
        }
        longest = longest.max(busy);
    }
    longest
}

/// Guards against uploads that fill the link of a machine for longer than a configuration may take.
#[rstest]
#[case::small_link(1.25e6, 60_000)]
#[case::small_link_and_large_bodies(1.25e6, 360_000)]
#[case::large_link(25e6, 60_000)]
fn offered_bodies_leave_time_for_the_configuration(#[case] link: f64, #[case] bytes: u64) {
    let mut backlog = LinkBacklog::new(link, NOW);
    let longest = busy_time(&mut backlog, link, bytes, 10_000);
    assert!(longest < APPLY_DEADLINE / 2, "{longest:?}");
}

/// Guards against a size or a rate that ends the daemon.
#[rstest]
#[case::size(1e6, u64::MAX)]
#[case::rate(1e-300, 1)]
fn an_impossible_transfer_is_only_refused(#[case] link: f64, #[case] bytes: u64) {
    let mut backlog = LinkBacklog::new(link, NOW);
    assert_eq!(backlog.admit(bytes, NOW), Ok(()));
    assert!(backlog.admit(bytes, NOW).is_err());
}

/// Guards against a body that is never admitted because the link needs long for it, and against a
/// sender that is told to come back too early.
#[test]
fn a_body_of_any_size_is_admitted_once_the_link_is_idle() {
    let mut backlog = LinkBacklog::new(1e6, NOW);
    assert_eq!(backlog.admit(10_000_000, NOW), Ok(()));
    let wait = backlog.admit(1, NOW).unwrap_err();
    assert!(wait > Duration::from_secs(10));
    assert!(backlog.admit(1, NOW + wait / 2).is_err());
    let later = NOW + wait + Duration::from_millis(1);
    assert_eq!(backlog.admit(1, later), Ok(()));
}
