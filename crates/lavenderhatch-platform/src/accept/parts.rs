//! Parts of a configuration that is too large for the root object.

use std::collections::BTreeMap;

use lavenderhatch_core::{Digest, Error, ErrorKind, Mesh, Timestamp};
use lavenderhatch_decide::acceptance::{
    PART_PREFIX, RootContent, RootObject, check_part, plan_cleanup, split_parts,
};

use crate::error::PlatformError;
use crate::object::Precondition;
use crate::traits::Platform;

/// Maximum number of writes of one part. A write is repeated if another operator has removed the
/// part or if the response was lost.
const MAX_WRITE_ATTEMPTS: usize = 4;
/// Maximum number of parts that a root object may refer to.
const MAX_PARTS: usize = 64;

/// Digests of the parts in the platform, with the versions of their objects.
pub(super) type PartVersions = BTreeMap<Digest, u64>;

fn part_name(digest: Digest) -> String {
    format!("{PART_PREFIX}{digest}")
}

/// Reads the canonical encoding of the configuration that a root object holds or refers to.
///
/// The content of each part must match the digest in its name.
pub fn read_content<P: Platform>(
    platform: &P,
    content: &RootContent,
) -> Result<Vec<u8>, PlatformError> {
    let digests = match content {
        RootContent::Inline(spec) => return Ok(spec.to_canonical()),
        RootContent::Parts(digests) => digests,
    };
    if digests.len() > MAX_PARTS {
        let message = format!(
            "the root object refers to {} parts, more than {MAX_PARTS}",
            digests.len()
        );
        return Err(PlatformError::InvalidResponse(message));
    }
    let mut canonical = Vec::new();
    for digest in digests {
        let part = platform.get(&part_name(*digest))?;
        let part = part
            .ok_or_else(|| PlatformError::InvalidResponse(format!("part {digest} is missing")))?;
        check_part(*digest, &part.value)
            .map_err(|err| PlatformError::InvalidResponse(err.to_string()))?;
        canonical.extend_from_slice(&part.value);
    }
    Ok(canonical)
}

/// Lists the parts in the platform. Objects whose names are not digests are skipped.
pub(super) fn list_parts<P: Platform>(platform: &P) -> Result<PartVersions, Error> {
    let list = platform.list(PART_PREFIX)?;
    let parts = list.into_iter().filter_map(|meta| {
        let name = meta.name.strip_prefix(PART_PREFIX)?.to_owned();
        Some((Digest::try_from(name).ok()?, meta.version))
    });
    Ok(parts.collect())
}

/// Writes the parts of a mesh that does not fit into the root object.
///
/// A part that already exists is written again. Its new object version prevents another operator,
/// who found the part unreferenced earlier, from removing it.
pub(super) fn write_parts<P: Platform>(
    platform: &P,
    mesh: &Mesh,
    digests: &[Digest],
    present: &PartVersions,
) -> Result<(), Error> {
    if digests.is_empty() {
        return Ok(());
    }
    if digests.len() > MAX_PARTS {
        let message = format!(
            "the configuration has {} parts, more than the limit of {MAX_PARTS}",
            digests.len()
        );
        return Err(Error::new(ErrorKind::TooLarge, message));
    }
    let canonical = mesh.spec().to_canonical();
    for part in split_parts(&canonical) {
        let version = present.get(&part.digest).copied().unwrap_or(0);
        write_part(platform, &part_name(part.digest), part.bytes, version)?;
    }
    Ok(())
}

fn write_part<P: Platform>(
    platform: &P,
    name: &str,
    bytes: &[u8],
    mut version: u64,
) -> Result<(), Error> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let precondition = match version {
            0 => Precondition::Absent,
            version => Precondition::Version(version),
        };
        match platform.put(name, bytes, precondition) {
            Ok(_) => return Ok(()),
            // Another operator has removed the part since it was listed.
            Err(PlatformError::Conflict { current: 0 }) => version = 0,
            // Another operator, or an earlier attempt of this loop, has written the part since it
            // was listed, with the same content. An operator that would remove this version has
            // listed it after this one read the root object, so at most one of their two root
            // objects is accepted.
            Err(PlatformError::Conflict { .. }) => return Ok(()),
            Err(err) if err.may_have_taken_effect() => {}
            Err(err) => return Err(err.into()),
        }
    }
    let message = format!("{name} could not be written; nothing was accepted");
    Err(Error::new(ErrorKind::PlatformUnavailable, message))
}

/// Records the unreferenced parts in `root` as retired, and returns those that have been retired
/// for long enough to be removed.
pub(super) fn retire_unreferenced(
    base: Option<&RootObject>,
    root: &mut RootObject,
    present: &PartVersions,
    now: Timestamp,
) -> PartVersions {
    let before = base.map_or(&[][..], |root| root.retired.as_slice());
    let digests: Vec<Digest> = present.keys().copied().collect();
    let cleanup = plan_cleanup(before, &digests, root.part_digests(), now);
    root.retired = cleanup.retired;
    let versions = cleanup
        .removable
        .iter()
        .filter_map(|digest| Some((*digest, *present.get(digest)?)));
    versions.collect()
}

/// Removes parts.
///
/// A part stays if another operator has written it since it was listed, or if its removal fails;
/// the next acceptance lists it again.
pub(super) fn remove_parts<P: Platform>(platform: &P, removable: &PartVersions) {
    for (digest, version) in removable {
        let _ = platform.delete(&part_name(*digest), *version);
    }
}
