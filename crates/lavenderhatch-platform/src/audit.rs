//! The audit trail in the platform.

use lavenderhatch_core::audit::{AuditEvent, AuditLog};
use lavenderhatch_core::{Error, ErrorKind};
use lavenderhatch_decide::audit::{AUDIT_PREFIX, merge};

use crate::error::PlatformError;
use crate::object::Precondition;
use crate::traits::Platform;

/// Most writes of one trail. A writer that loses a race reads the trail again.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Adds events to the trail in object `name`, each once. Nothing is written if it holds them all.
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
        // A trail that cannot be read is replaced; otherwise it would block all later events.
        let trail = trail.and_then(Result::ok).unwrap_or_default();
        let Some(merged) = merge(&trail, events, capacity) else {
            return Ok(());
        };
        let value = serde_json::to_vec(&merged)
            .map_err(|err| Error::new(ErrorKind::Internal, err.to_string()))?;
        let precondition = object.map_or(Precondition::Absent, |object| {
            Precondition::Version(object.version)
        });
        match platform.put(name, &value, precondition) {
            Ok(_) => return Ok(()),
            // The next read shows whether a write whose answer was lost took effect.
            Err(err) if err.may_have_taken_effect() => last = err,
            Err(err @ PlatformError::Conflict { .. }) => last = err,
            Err(err) => return Err(err.into()),
        }
    }
    Err(last.into())
}

/// Reads all trails, with the names of their objects.
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
        let message = format!("the audit trail cannot be read: {err}");
        Error::new(ErrorKind::Internal, message)
    })
}
