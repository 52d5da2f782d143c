//! Splits a mesh that is too large for the root object into parts, and removes unused parts.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::{Digest, Timestamp};
use serde::{Deserialize, Serialize};

/// Largest canonical encoding that the root object holds inline, in bytes. The platform takes
/// values of up to 1,000,000 bytes; the rest is reserved for the other fields of the root object.
pub const MAX_INLINE_BYTES: usize = 900_000;

/// How long a part is kept after it was first seen unreferenced, so that a daemon that has read an
/// older root object can still read its parts.
pub const PART_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of unreferenced parts that a root object lists. Any others are handled by a later
/// apply.
const MAX_RETIRED: usize = 256;

/// A part of the canonical encoding of a mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part<'a> {
    /// Digest of `bytes`, which names the part's object.
    pub digest: Digest,
    /// Content of the part. Invariant: at most [`MAX_INLINE_BYTES`] bytes.
    pub bytes: &'a [u8],
}

/// A part that the root object no longer refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetiredPart {
    /// Digest of the part.
    pub digest: Digest,
    /// When an apply first found the part unreferenced.
    pub since: Timestamp,
}

/// What an apply does with unreferenced parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CleanupPlan {
    /// Parts to list as unreferenced in the new root object.
    pub retired: Vec<RetiredPart>,
    /// Parts to remove after the new root object is written.
    pub removable: Vec<Digest>,
}

/// The content of a part does not match the digest that names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the content of part {expected} has the digest {found}")]
pub struct PartMismatch {
    /// Digest that the root object names.
    pub expected: Digest,
    /// Digest of the content that was read.
    pub found: Digest,
}

/// Splits a canonical encoding into parts. Returns none if it fits into the root object.
pub fn split_parts(canonical: &[u8]) -> Vec<Part<'_>> {
    if canonical.len() <= MAX_INLINE_BYTES {
        return Vec::new();
    }
    let part = |bytes| Part {
        digest: Digest::of(bytes),
        bytes,
    };
    canonical.chunks(MAX_INLINE_BYTES).map(part).collect()
}

/// Checks the content of a part against the digest that names it.
pub fn check_part(expected: Digest, bytes: &[u8]) -> Result<(), PartMismatch> {
    let found = Digest::of(bytes);
    match found == expected {
        true => Ok(()),
        false => Err(PartMismatch { expected, found }),
    }
}

/// Decides which unreferenced parts are removed and which are only listed.
///
/// `before` is the list in the root object that is replaced, `present` are the parts that exist in
/// the platform, and `referenced` those that the new root object refers to.
pub fn plan_cleanup(
    before: &[RetiredPart],
    present: &[Digest],
    referenced: &[Digest],
    now: Timestamp,
) -> CleanupPlan {
    let since: BTreeMap<Digest, Timestamp> = before
        .iter()
        .map(|part| (part.digest, part.since))
        .collect();
    let mut cleanup = CleanupPlan::default();
    for digest in present.iter().filter(|digest| !referenced.contains(digest)) {
        let since = since.get(digest).copied().unwrap_or(now);
        if now.since(since) >= PART_RETENTION {
            cleanup.removable.push(*digest);
        } else if cleanup.retired.len() < MAX_RETIRED {
            cleanup.retired.push(RetiredPart {
                digest: *digest,
                since,
            });
        }
    }
    cleanup
}
