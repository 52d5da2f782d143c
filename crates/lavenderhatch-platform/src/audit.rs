//! Audit trails, stored as objects in the platform.

use lavenderhatch_core::audit::{AuditEvent, AuditLog};
use lavenderhatch_core::{Error, ErrorKind};
use lavenderhatch_decide::audit::{AUDIT_PREFIX, merge_events};

use crate::error::PlatformError;
use crate::object::Precondition;
use crate::traits::Platform;

/// Maximum number of writes of one trail. A writer that loses a race reads the trail again before
/// the next attempt.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Adds events to the trail in the object `name`.
///
/// Each event is added once, also if the response to a write is lost. Nothing is written if the
/// trail already holds all of them.
///
/// `capacity` is the maximum number of events in the trail.
pub fn append<P: Platform>(
    platform: &P,
    name: &str,
    events: &[AuditEvent],
    capacity: usize,
) -> Result<(), Error> {
    let mut last = PlatformError::Conflict { current: 0 };
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let object = platform.get(name)?;
        let trail = object.as_ref().map(|object| read_trail(&object.value));
        // A trail that cannot be decoded is replaced; otherwise it would block all later events.
        let trail = trail.and_then(Result::ok).unwrap_or_default();
        let Some(merged) = merge_events(&trail, events, capacity) else {
            return Ok(());
        };
        let value = serde_json::to_vec(&merged)
            .map_err(|err| Error::new(ErrorKind::Internal, err.to_string()))?;
        let precondition = object.map_or(Precondition::Absent, |object| {
            Precondition::Version(object.version)
        });
        match platform.put(name, &value, precondition) {
            Ok(_) => return Ok(()),
            // The next read shows whether a write whose response was lost took effect.
            Err(err) if err.may_have_taken_effect() => last = err,
            Err(err @ PlatformError::Conflict { .. }) => last = err,
            Err(err) => return Err(err.into()),
        }
    }
    Err(last.into())
}

/// Reads all trails, each with the name of its object.
pub fn read_all<P: Platform>(platform: &P) -> Result<Vec<(String, AuditLog)>, Error> {
    let mut trails = Vec::new();
    for meta in platform.list(AUDIT_PREFIX)? {
        if let Some(object) = platform.get(&meta.name)? {
            trails.push((meta.name, read_trail(&object.value)?));
        }
    }
    Ok(trails)
}

fn read_trail(value: &[u8]) -> Result<AuditLog, Error> {
    serde_json::from_slice(value).map_err(|err| {
        let message = format!("the audit trail cannot be decoded: {err}");
        Error::new(ErrorKind::Internal, message)
    })
}
