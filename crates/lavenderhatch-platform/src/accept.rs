//! Has a set of files accepted: one conditional write of the root object.

mod parts;

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Error, ErrorKind, Mesh, Timestamp, Version};
use lavenderhatch_decide::acceptance::{
    AfterWrite, ROOT_NAME, RootObject, next_root, resolve_lost_answer,
};
pub use parts::read_content;

use crate::error::PlatformError;
use crate::object::Precondition;
use crate::traits::Platform;

/// Most writes of one proposal. A write is sent again only once it is known to have had no effect.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// A set of files that an operator wants to be accepted.
#[derive(Clone, Copy, Debug)]
pub struct Proposal<'a> {
    /// The checked set.
    pub mesh: &'a Mesh,
    /// Who proposes it.
    pub author: &'a str,
    /// Why.
    pub reason: &'a str,
    /// Distinguishes this proposal from all others.
    pub nonce: &'a str,
}

/// Reads the root object.
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

/// Reads the accepted mesh with its root object.
pub fn read_accepted<P: Platform>(platform: &P) -> Result<Option<(RootObject, Mesh)>, Error> {
    let Some((root, _)) = read_root(platform)? else {
        return Ok(None);
    };
    let unreadable = |what: String| Error::new(ErrorKind::Internal, what);
    let canonical = read_content(platform, &root.content)?;
    let parts = MeshSpec::from_canonical(&canonical)
        .map_err(|err| unreadable(format!("version {} cannot be read: {err}", root.version)))?;
    let mesh = Mesh::validate(parts).map_err(|faults| {
        unreadable(format!(
            "version {} has {} faults",
            root.version,
            faults.len()
        ))
    })?;
    Ok(Some((root, mesh)))
}

/// Has a proposal accepted and returns its version.
///
/// # Errors
///
/// `Conflict` names the version that was accepted instead. `PlatformUnavailable` means that the
/// outcome could not be read back.
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

/// Writes the root object, and reads it back where the answer does not say what became of it.
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
            AfterWrite::Accepted(version) => return Ok(version),
            AfterWrite::Lost(version) => {
                let message = format!("version {version} was accepted first");
                return Err(Error::new(ErrorKind::Conflict, message));
            }
            AfterWrite::NotWritten => {}
        }
    }
    let message = "the platform lost the write several times; nothing was accepted";
    Err(Error::new(ErrorKind::PlatformUnavailable, message))
}

/// Whether reading back adds nothing: the write had no effect for a reason that stays.
fn is_definite_failure(err: &PlatformError) -> bool {
    matches!(
        err,
        PlatformError::TooLarge { .. } | PlatformError::RateLimited
    )
}
