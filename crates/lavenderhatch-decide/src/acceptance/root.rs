//! The root object of the configuration in the platform.

use lavenderhatch_core::mesh::MeshParts;
use lavenderhatch_core::{Digest, Timestamp, Version};
use serde::{Deserialize, Serialize};

/// Name of the root object.
pub const ROOT_NAME: &str = "mesh/root";
/// Prefix of the names of the parts of a mesh that is too large for the root object.
pub const PART_PREFIX: &str = "mesh/part/";

/// Where the mesh of a root object is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RootContent {
    /// In the root object itself.
    Inline(Box<MeshParts>),
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
}
