//! The log of recent changes from which a daemon answers update requests.

use std::collections::VecDeque;

use lavenderhatch_core::mesh::MeshChanges;
use lavenderhatch_core::{ConfigSnapshot, Digest, Version};

use crate::message::{Delta, Update, UpdateRequest, Whole};

/// Maximum number of steps in the log.
pub const DELTA_LOG_CAPACITY: usize = 64;

/// The change from one version to the next one that was put in force on this daemon.
#[derive(Clone, Debug)]
struct LogStep {
    base_version: Version,
    base_digest: Digest,
    changes: MeshChanges,
}

/// The snapshot in force and the changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    newest: Option<ConfigSnapshot>,
    /// Oldest first. Invariant: each step leads to the base of the next and the last one to
    /// `newest`; at most [`DELTA_LOG_CAPACITY`] steps.
    steps: VecDeque<LogStep>,
}

impl DeltaLog {
    /// Appends a snapshot that was put in force.
    pub fn push(&mut self, snapshot: &ConfigSnapshot) {
        if let Some(base) = &self.newest {
            self.steps.push_back(LogStep {
                base_version: base.version,
                base_digest: base.digest(),
                changes: MeshChanges::between(&base.mesh, &snapshot.mesh),
            });
        }
        if self.steps.len() > DELTA_LOG_CAPACITY {
            self.steps.pop_front();
        }
        self.newest = Some(snapshot.clone());
    }

    /// Answers an update request with the changes since the requested version, or with the whole
    /// mesh if the log does not go back that far.
    pub fn answer(&self, req: &UpdateRequest) -> Update {
        let Some(newest) = &self.newest else {
            return Update::None;
        };
        if newest.version <= req.held {
            return Update::None;
        }
        match self.delta_from(req.held, newest) {
            Some(delta) => Update::Delta(delta),
            None => Update::Whole(Whole {
                version: newest.version,
                digest: newest.digest(),
                mesh: newest.mesh.spec().to_canonical(),
            }),
        }
    }

    fn delta_from(&self, held: Version, newest: &ConfigSnapshot) -> Option<Delta> {
        let at = self
            .steps
            .iter()
            .position(|step| step.base_version == held)?;
        let base = &self.steps[at];
        let mut changes = base.changes.clone();
        for step in self.steps.iter().skip(at + 1) {
            changes.merge_later(&step.changes);
        }
        Some(Delta {
            base_version: base.base_version,
            base_digest: base.base_digest,
            version: newest.version,
            digest: newest.digest(),
            changes,
        })
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> Option<&ConfigSnapshot> {
        self.newest.as_ref()
    }

    /// Version and digest of the newest snapshot.
    pub fn newest(&self) -> Option<(Version, Digest)> {
        self.newest
            .as_ref()
            .map(|snapshot| (snapshot.version, snapshot.digest()))
    }
}
