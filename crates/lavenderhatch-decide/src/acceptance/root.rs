//! The root object of the configuration in the platform.

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Digest, Timestamp, Version};
use serde::{Deserialize, Serialize};

use super::parts::RetiredPart;

/// Name of the root object.
pub const ROOT_NAME: &str = "mesh/root";
/// Prefix of the names of the parts of a mesh that is too large for the root object.
pub const PART_PREFIX: &str = "mesh/part/";

/// Where the mesh of a root object is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RootContent {
    /// In the root object itself.
    Inline(Box<MeshSpec>),
    /// In objects named by the digests of their content, to be joined in this order.
    Parts(Vec<Digest>),
}

/// The accepted configuration as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RootObject {
    /// Version.
    pub version: Version,
    /// Digest of the canonical encoding of the mesh.
    pub digest: Digest,
    /// Who applied the set.
    pub author: String,
    /// Distinguishes this write from all others of the same author.
    pub nonce: String,
    /// When the set was applied.
    pub at: Timestamp,
    /// Why, in the author's words.
    pub reason: String,
    /// The mesh.
    pub content: RootContent,
    /// Parts without a reference, which a later apply removes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retired: Vec<RetiredPart>,
    /// Acceptances before this one, oldest first, so that a reader that misses a version can still
    /// enter it into the audit trail. Invariant: at most [`MAX_RECENT`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent: Vec<Acceptance>,
}

/// Most earlier acceptances that a root object lists. At 0.91 changes a second they cover more than
/// the 10 s between two writes of the audit trail.
pub const MAX_RECENT: usize = 32;

/// Most bytes of a reason that are kept in the list of earlier acceptances.
pub(super) const MAX_RECENT_REASON_BYTES: usize = 200;

/// Who had a version accepted, when and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acceptance {
    /// Version.
    pub version: Version,
    /// Who applied the set.
    pub author: String,
    /// When the set was applied.
    pub at: Timestamp,
    /// Why.
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

    /// This acceptance and the earlier ones that the root object lists, oldest first.
    pub fn acceptances(&self) -> Vec<Acceptance> {
        let mut all = self.recent.clone();
        all.push(self.acceptance(usize::MAX));
        all
    }

    /// This acceptance, its reason cut to `max_reason` bytes.
    pub(super) fn acceptance(&self, max_reason: usize) -> Acceptance {
        Acceptance {
            version: self.version,
            author: self.author.clone(),
            at: self.at,
            reason: cut(&self.reason, max_reason).to_owned(),
        }
    }
}

/// The longest prefix of whole characters within `max` bytes.
fn cut(text: &str, max: usize) -> &str {
    let mut end = text.len().min(max);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
