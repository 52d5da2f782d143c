//! The root object, which holds the accepted configuration in the platform.

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Digest, Timestamp, Version};
use serde::{Deserialize, Serialize};

use super::parts::RetiredPart;

/// Object name of the root object.
pub const ROOT_NAME: &str = "mesh/root";
/// Prefix of the object names of the parts of a mesh that is too large for the root object.
pub const PART_PREFIX: &str = "mesh/part/";

/// The mesh of a root object, or a reference to its parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RootContent {
    /// The mesh itself.
    Inline(Box<MeshSpec>),
    /// Digests that name the objects with the parts of the canonical encoding, in the order in
    /// which they are concatenated.
    Parts(Vec<Digest>),
}

/// The accepted configuration as stored in the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RootObject {
    /// The accepted version.
    pub version: Version,
    /// Digest of the canonical encoding of the mesh.
    pub digest: Digest,
    /// Who applied the set of files.
    pub author: String,
    /// Distinguishes this write from all other writes of the same author.
    pub nonce: String,
    /// When the set was applied.
    pub at: Timestamp,
    /// Why the set was applied, in the author's words.
    pub reason: String,
    /// The mesh, inline or in parts.
    pub content: RootContent,
    /// Unreferenced parts, which a later apply removes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retired: Vec<RetiredPart>,
    /// Acceptances of earlier versions, oldest first, so that a reader that misses a version can
    /// still add it to the audit trail. Invariant: at most [`MAX_RECENT`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent: Vec<Acceptance>,
}

/// Maximum number of earlier acceptances that a root object lists. At 0.91 changes a second they
/// cover more than the 10 s between two writes of the audit trail.
pub const MAX_RECENT: usize = 32;

/// Maximum length of a reason in the list of earlier acceptances, in bytes. Longer ones are cut.
pub(super) const MAX_RECENT_REASON_BYTES: usize = 200;

/// Records who applied a version, when and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acceptance {
    /// The accepted version.
    pub version: Version,
    /// Who applied the set of files.
    pub author: String,
    /// When the set was applied.
    pub at: Timestamp,
    /// Why the set was applied, in the author's words.
    pub reason: String,
}

impl RootObject {
    /// Digests of the parts that the root object refers to.
    pub fn part_digests(&self) -> &[Digest] {
        match &self.content {
            RootContent::Inline(_) => &[],
            RootContent::Parts(digests) => digests,
        }
    }

    /// The acceptance of this version and the earlier ones that the root object lists, oldest
    /// first.
    pub fn acceptances(&self) -> Vec<Acceptance> {
        let mut all = self.recent.clone();
        all.push(self.acceptance(usize::MAX));
        all
    }

    /// The acceptance of this version, with its reason cut to `max_reason` bytes.
    pub(super) fn acceptance(&self, max_reason: usize) -> Acceptance {
        Acceptance {
            version: self.version,
            author: self.author.clone(),
            at: self.at,
            reason: truncated(&self.reason, max_reason).to_owned(),
        }
    }
}

/// The longest prefix of `text` that has at most `max` bytes and ends at a character boundary.
fn truncated(text: &str, max: usize) -> &str {
    let mut end = text.len().min(max);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
