//! Parts of a set that is too large for the root object.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::{Digest, Timestamp};
use serde::{Deserialize, Serialize};

/// Largest canonical encoding that the root object holds inline, in bytes. The platform takes values
/// of 1,000,000 bytes; the rest is for the other fields of the root object.
pub const MAX_INLINE_BYTES: usize = 900_000;

/// Time for which a part stays after it was first seen without a reference. A daemon that has read
/// an older root object has this long to read its parts.
pub const PART_RETENTION: Duration = Duration::from_secs(3600);

/// Most unreferenced parts that a root object lists. Others wait for a later apply.
const MAX_RETIRED: usize = 256;

/// A part of a canonical encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part<'a> {
    /// Digest of `bytes`, which names the part's object.
    pub digest: Digest,
    /// Content. Invariant: at most [`MAX_INLINE_BYTES`].
    pub bytes: &'a [u8],
}

/// A part without a reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetiredPart {
    /// The part.
    pub digest: Digest,
    /// When an apply first saw it without a reference.
    pub since: Timestamp,
}

/// What an apply does about parts without a reference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cleanup {
    /// Listed in the new root object.
    pub retired: Vec<RetiredPart>,
    /// To be removed once the new root object is written.
    pub removable: Vec<Digest>,
}

/// Content of a part that does not have the digest that names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("part {expected} has the digest {found}")]
pub struct PartMismatch {
    /// Digest in the root object.
    pub expected: Digest,
    /// Digest of the content.
    pub found: Digest,
}

/// Splits a canonical encoding. Empty if it fits into the root object.
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

/// Decides which parts are removed and which stay listed as unreferenced.
///
/// `before` is the list of the root object that is replaced, `present` are the parts in the
/// platform, and `referenced` those of the new root object.
pub fn plan_cleanup(
    before: &[RetiredPart],
    present: &[Digest],
    referenced: &[Digest],
    now: Timestamp,
) -> Cleanup {
    let since: BTreeMap<Digest, Timestamp> = before
        .iter()
        .map(|part| (part.digest, part.since))
        .collect();
    let mut cleanup = Cleanup::default();
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
