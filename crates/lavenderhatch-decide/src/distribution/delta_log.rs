//! The log of recent changes that a daemon serves to others.

use std::collections::VecDeque;

use lavenderhatch_core::mesh::MeshChanges;
use lavenderhatch_core::{ConfigSnapshot, Digest, Version};

use crate::message::{Delta, Update, UpdateRequest, Whole};

/// Most versions that the log goes back.
pub const DELTA_LOG_CAPACITY: usize = 64;

/// Recent meshes, so that changes between any two of them can be worked out.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    /// Invariant: versions increase; at most [`DELTA_LOG_CAPACITY`]; the last one is in force.
    snapshots: VecDeque<ConfigSnapshot>,
}

impl DeltaLog {
    /// Adds a snapshot that was put in force.
    pub fn push(&mut self, snapshot: &ConfigSnapshot) {
        if self.snapshots.len() >= DELTA_LOG_CAPACITY {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(snapshot.clone());
    }

    /// Answers an update request.
    pub fn answer(&self, req: &UpdateRequest) -> Update {
        let Some(newest) = self.snapshots.back() else {
            return Update::None;
        };
        if newest.version <= req.held {
            return Update::None;
        }
        match self.snapshots.iter().find(|old| old.version == req.held) {
            Some(base) => Update::Delta(Delta {
                base_version: base.version,
                base_digest: base.digest(),
                version: newest.version,
                digest: newest.digest(),
                changes: MeshChanges::between(&base.mesh, &newest.mesh),
            }),
            None => Update::Whole(Whole {
                version: newest.version,
                digest: newest.digest(),
                mesh: newest.mesh.parts().to_canonical(),
            }),
        }
    }

    /// Version and digest of the newest snapshot.
    pub fn newest(&self) -> Option<(Version, Digest)> {
        self.snapshots
            .back()
            .map(|snapshot| (snapshot.version, snapshot.digest()))
    }
}
