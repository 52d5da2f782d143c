//! Messages that transfer configuration updates.

use std::time::Duration;

use lavenderhatch_core::mesh::MeshChanges;
use lavenderhatch_core::{Digest, Version};

/// Asks for the changes from one version to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateRequest {
    /// Version that the requester holds. Zero asks for a whole mesh.
    pub held: Version,
    /// Version that the requester knows to exist.
    pub want: Version,
}

/// Answer to an update request.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The sender holds nothing newer.
    None,
    /// Changes to the version that the requester holds.
    Delta(Delta),
    /// A whole mesh.
    Whole(Whole),
    /// The sender is serving too many updates. Ask again after this time.
    Busy(Duration),
}

/// Changes from one version to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// Version to which the changes apply.
    pub base_version: Version,
    /// Digest of the mesh to which the changes apply.
    pub base_digest: Digest,
    /// Version after the changes.
    pub version: Version,
    /// Digest of the mesh after the changes.
    pub digest: Digest,
    /// The changes.
    pub changes: MeshChanges,
}

/// A whole mesh in its canonical encoding.
#[derive(Clone, Debug, PartialEq)]
pub struct Whole {
    /// Version of the mesh.
    pub version: Version,
    /// Digest of `mesh`.
    pub digest: Digest,
    /// Canonical encoding of the parts of the mesh.
    pub mesh: Vec<u8>,
}
