//! Audit trails in the platform.

use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::{Timestamp, Version};
use lavenderhatch_platform::audit::{append, read_all};
use lavenderhatch_platform::{Faults, MemoryPlatform};
use rstest::rstest;

const NAME: &str = "audit/zone-a";

fn event(at: u64) -> AuditEvent {
    AuditEvent {
        at: Timestamp(at),
        actor: "ada".to_owned(),
        action: AuditAction::Accepted,
        object: "mesh".to_owned(),
        from: Some(Version(at - 1)),
        to: Some(Version(at)),
        reason: "because".to_owned(),
    }
}

/// Guards against events that are lost or recorded twice when the response to a write is lost.
#[rstest]
#[case::no_fault(0)]
#[case::lost_answer(1)]
#[case::two_lost_answers(2)]
fn events_are_recorded_once(#[case] lost_answers: u32) {
    let platform = MemoryPlatform::default();
    append(&platform, NAME, &[event(1)], 10).unwrap();
    let faults = Faults {
        lost_answers,
        ..Faults::default()
    };
    platform.set_faults(faults);
    append(&platform, NAME, &[event(1), event(2)], 10).unwrap();
    let (_, trail) = read_all(&platform).unwrap().remove(0);
    assert_eq!(trail.events, [event(1), event(2)]);
}

/// Guards against a full trail that exceeds the platform's size limit. Long texts and the escape
/// sequences of JSON add to its size.
#[test]
fn full_trail_fits_into_an_object() {
    use lavenderhatch_decide::audit::MAX_ZONE_EVENTS;
    let platform = MemoryPlatform::default();
    let long = |at| AuditEvent {
        reason: "\u{1}\"".repeat(1000),
        actor: "é\\".repeat(1000),
        object: "\"".repeat(1000),
        ..event(at)
    };
    let events: Vec<AuditEvent> = (1..=MAX_ZONE_EVENTS as u64 + 1).map(long).collect();
    append(&platform, NAME, &events, MAX_ZONE_EVENTS).unwrap();
    let (_, trail) = read_all(&platform).unwrap().remove(0);
    assert_eq!((trail.events.len(), trail.dropped), (MAX_ZONE_EVENTS, 1));
}
