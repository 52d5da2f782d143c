//! Acceptance of a mesh configuration by one conditional write of the root object.

mod parts;

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Error, ErrorKind, Mesh, Timestamp, Version};
use lavenderhatch_decide::acceptance::{
    ROOT_NAME, RootObject, WriteOutcome, next_root, resolve_lost_answer,
};
pub use parts::read_content;

use crate::error::PlatformError;
use crate::object::Precondition;
use crate::traits::Platform;

/// Maximum number of writes for one proposal. A write is repeated only once the previous one is
/// known to have had no effect.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// A mesh configuration that an operator proposes for acceptance.
#[derive(Clone, Copy, Debug)]
pub struct Proposal<'a> {
    /// The validated configuration.
    pub mesh: &'a Mesh,
    /// Name of the operator, for the audit trail.
    pub author: &'a str,
    /// Reason that the operator gives for the change.
    pub reason: &'a str,
    /// Unique value that distinguishes this proposal from all others.
    pub nonce: &'a str,
}

/// Reads the root object and its version in the platform; `None` if nothing was accepted yet.
pub fn read_root<P: Platform>(platform: &P) -> Result<Option<(RootObject, u64)>, Error> {
    let Some(object) = platform.get(ROOT_NAME)? else {
        return Ok(None);
    };
    let root = serde_json::from_slice(&object.value).map_err(|err| {
        Error::new(
            ErrorKind::Internal,
            format!("the root object cannot be read: {err}"),
        )
    })?;
    Ok(Some((root, object.version)))
}

/// Reads the accepted mesh and its root object; `None` if nothing was accepted yet.
pub fn read_accepted<P: Platform>(platform: &P) -> Result<Option<(RootObject, Mesh)>, Error> {
    let Some((root, _)) = read_root(platform)? else {
        return Ok(None);
    };
    let unreadable = |message: String| Error::new(ErrorKind::Internal, message);
    let canonical = read_content(platform, &root.content)?;
    let spec = MeshSpec::from_canonical(&canonical)
        .map_err(|err| unreadable(format!("version {} cannot be read: {err}", root.version)))?;
    let mesh = Mesh::validate(spec).map_err(|errors| {
        unreadable(format!(
            "version {} has {} faults",
            root.version,
            errors.len()
        ))
    })?;
    Ok(Some((root, mesh)))
}

/// Publishes a proposal as the next accepted version and returns that version.
///
/// # Errors
///
/// `Conflict` names the version that was accepted instead. `PlatformUnavailable` means that calls
/// to the platform failed; if the outcome could not be read back, the proposal may have been
/// accepted.
pub fn accept<P: Platform>(
    platform: &P,
    proposal: &Proposal<'_>,
    now: Timestamp,
) -> Result<Version, Error> {
    let current = read_root(platform)?;
    let base = current.as_ref().map(|(root, _)| root);
    let mut root = next_root(
        base,
        proposal.mesh,
        proposal.author,
        proposal.nonce,
        proposal.reason,
        now,
    )?;
    let base_version = base.map_or(Version::NONE, |root| root.version);
    let present = parts::list_parts(platform)?;
    parts::write_parts(platform, proposal.mesh, root.part_digests(), &present)?;
    let removable = parts::retire_unreferenced(base, &mut root, &present, now);
    let precondition = current
        .as_ref()
        .map_or(Precondition::Absent, |(_, version)| {
            Precondition::Version(*version)
        });
    let value = serde_json::to_vec(&root)
        .map_err(|err| Error::new(ErrorKind::Internal, err.to_string()))?;
    write_root(platform, &root, &value, precondition, base_version)?;
    parts::remove_parts(platform, &removable);
    Ok(root.version)
}

/// Writes the root object and returns the accepted version. After a failure that leaves the outcome
/// open, reads the object back to find out which version was accepted.
fn write_root<P: Platform>(
    platform: &P,
    root: &RootObject,
    value: &[u8],
    precondition: Precondition,
    base: Version,
) -> Result<Version, Error> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match platform.put(ROOT_NAME, value, precondition) {
            Ok(_) => return Ok(root.version),
            Err(err) if is_definite_failure(&err) => return Err(err.into()),
            Err(_) => {}
        }
        let read_back = read_root(platform)?;
        let read_back = read_back.as_ref().map(|(root, _)| root);
        match resolve_lost_answer(root, base, read_back) {
            WriteOutcome::Accepted(version) => return Ok(version),
            WriteOutcome::Conflict(version) => {
                let message = format!("version {version} was accepted first");
                return Err(Error::new(ErrorKind::Conflict, message));
            }
            WriteOutcome::NotWritten => {}
        }
    }
    let message = "the root object could not be written in several attempts; nothing was accepted";
    Err(Error::new(ErrorKind::PlatformUnavailable, message))
}

/// Whether a failed write certainly had no effect and would fail again at once, so that the root
/// object need not be read back.
fn is_definite_failure(err: &PlatformError) -> bool {
    matches!(
        err,
        PlatformError::TooLarge { .. } | PlatformError::RateLimited
    )
}
