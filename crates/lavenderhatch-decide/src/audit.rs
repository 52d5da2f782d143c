//! The audit trail of a zone, as stored in the platform.

use lavenderhatch_core::audit::{AuditAction, AuditEvent, AuditLog};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Digest, MemberRecord, NodeId, Version};

use crate::acceptance::Acceptance;

/// Prefix of the object names of audit trails. There is one object for each zone.
pub const AUDIT_PREFIX: &str = "audit/";
/// Name of the object with the rejections that operators' tools report. It cannot clash with a
/// zone, because names of zones have no underscore.
pub const OPERATOR_AUDIT_NAME: &str = "audit/_operators";

/// Maximum number of events in one object. With [`MAX_EVENT_TEXT_BYTES`] and escapes the object
/// stays below 700 KB.
pub const MAX_ZONE_EVENTS: usize = 500;
/// Maximum length of each text of a stored event, in bytes. Longer texts are cut.
pub const MAX_EVENT_TEXT_BYTES: usize = 200;

/// Whether this daemon writes the audit trail of its zone.
///
/// The writer is the live member of the zone with the smallest rendezvous hash. While daemons have
/// different views of the membership there may be two writers; conditional writes keep the trail
/// correct.
pub fn is_zone_writer(members: &Members, own: &MemberRecord) -> bool {
    let rank = |id: &NodeId| Digest::of(format!("audit {} {id}", own.zone).as_bytes());
    let own_rank = rank(&own.id);
    let mut others = members
        .live()
        .filter(|record| record.zone == own.zone && record.id != own.id);
    others.all(|record| own_rank < rank(&record.id))
}

/// The audit event of an acceptance that was read from the root object.
pub fn acceptance_event(acceptance: &Acceptance) -> AuditEvent {
    AuditEvent {
        at: acceptance.at,
        actor: acceptance.author.clone(),
        action: AuditAction::Accepted,
        object: "mesh".to_owned(),
        from: Some(Version(acceptance.version.0.saturating_sub(1))),
        to: Some(acceptance.version),
        reason: acceptance.reason.clone(),
    }
}

/// Adds events to a trail in the order of their times, each once.
///
/// The oldest events beyond `capacity` are dropped and counted. Returns `None` if the trail already
/// holds all events.
pub fn merge_events(trail: &AuditLog, events: &[AuditEvent], capacity: usize) -> Option<AuditLog> {
    let mut merged = trail.clone();
    for event in events {
        let event = with_bounded_texts(event);
        if !merged
            .events
            .iter()
            .any(|known| is_same_event(known, &event))
            && !predates_trail(trail, &event)
        {
            let total = merged.totals.entry(event.action).or_default();
            *total = total.saturating_add(1);
            merged.events.push(event);
        }
    }
    if merged.events.len() == trail.events.len() {
        return None;
    }
    merged.events.sort_by_key(|event| event.at);
    let surplus = merged.events.len().saturating_sub(capacity);
    merged.events.drain(..surplus);
    merged.dropped = merged.dropped.saturating_add(surplus as u64);
    Some(merged)
}

/// Whether an event is older than all events of a trail that has dropped some, and may therefore be
/// one of the dropped ones.
fn predates_trail(trail: &AuditLog, event: &AuditEvent) -> bool {
    let oldest = trail.events.first();
    trail.dropped > 0 && oldest.is_some_and(|oldest| event.at < oldest.at)
}

/// Whether two events are the same. Acceptances of the same version are, even if their reasons were
/// cut to different lengths.
fn is_same_event(a: &AuditEvent, b: &AuditEvent) -> bool {
    let is_accepted = |event: &AuditEvent| event.action == AuditAction::Accepted;
    a == b || (is_accepted(a) && is_accepted(b) && a.to == b.to)
}

/// Cuts the texts of an event to [`MAX_EVENT_TEXT_BYTES`] and replaces control characters.
fn with_bounded_texts(event: &AuditEvent) -> AuditEvent {
    let mut event = event.clone();
    for text in [&mut event.actor, &mut event.object, &mut event.reason] {
        let mut end = text.len().min(MAX_EVENT_TEXT_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        text.truncate(end);
        // A control character takes six bytes in JSON.
        *text = text.replace(char::is_control, " ");
    }
    event
}
