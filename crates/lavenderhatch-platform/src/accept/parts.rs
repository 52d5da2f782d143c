//! Parts of a set that is too large for the root object.

use std::collections::BTreeMap;

use lavenderhatch_core::{Digest, Error, ErrorKind, Mesh, Timestamp};
use lavenderhatch_decide::acceptance::{
    PART_PREFIX, RootContent, RootObject, check_part, plan_cleanup, split_parts,
};

use crate::error::PlatformError;
use crate::object::Precondition;
use crate::traits::Platform;

/// Most writes of one part. A part that is removed or touched meanwhile is written again.
const MAX_WRITE_ATTEMPTS: usize = 4;
/// Most parts that a root object may refer to.
const MAX_PARTS: usize = 64;

/// Parts in the platform, with the versions of their objects.
pub(super) type PartVersions = BTreeMap<Digest, u64>;

fn part_name(digest: Digest) -> String {
    format!("{PART_PREFIX}{digest}")
}

/// Reads the canonical encoding that a root object holds or refers to. Each part must have the
/// digest that names it.
pub fn read_content<P: Platform>(
    platform: &P,
    content: &RootContent,
) -> Result<Vec<u8>, PlatformError> {
    let digests = match content {
        RootContent::Inline(parts) => return Ok(parts.to_canonical()),
        RootContent::Parts(digests) => digests,
    };
    if digests.len() > MAX_PARTS {
        let message = format!("the root object names {} parts", digests.len());
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

/// Lists the parts in the platform. Objects whose names are no digests are passed over.
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
/// A part that is present is written again: its new object version keeps another operator, who
/// decided earlier that the part has no reference, from removing it.
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
            "the set has {} parts, at most {MAX_PARTS} are kept",
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
            // Someone has removed the part since it was listed.
            Err(PlatformError::Conflict { current: 0 }) => version = 0,
            // Someone, or an earlier write of this loop, has written the part since it was listed.
            // The content is the same. An operator who would remove it has listed it later than this
            // one has read the root object, so that one of the two root objects is not accepted.
            Err(PlatformError::Conflict { .. }) => return Ok(()),
            Err(err) if err.may_have_taken_effect() => {}
            Err(err) => return Err(err.into()),
        }
    }
    let message = format!("{name} could not be written; nothing was accepted");
    Err(Error::new(ErrorKind::PlatformUnavailable, message))
}

/// Enters the parts without a reference into `root`, and returns those to be removed.
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

/// Removes parts. One that another operator has touched since it was listed stays, as does one
/// whose removal fails; the next apply lists it again.
pub(super) fn remove_parts<P: Platform>(platform: &P, removable: &PartVersions) {
    for (digest, version) in removable {
        let _ = platform.delete(&part_name(*digest), *version);
    }
}
