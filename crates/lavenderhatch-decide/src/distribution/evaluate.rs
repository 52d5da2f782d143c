//! Whether an update is put in force.

use std::sync::Arc;

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{ConfigSnapshot, Digest, Mesh, Timestamp, Version};

use crate::message::{Delta, Update, Whole};

/// What to do with an update.
#[derive(Clone, Debug)]
pub enum Step {
    /// Put this snapshot in force.
    Apply(ConfigSnapshot),
    /// Nothing newer came; keep what is in force.
    Keep,
    /// The base of the changes is missing; ask for the whole mesh.
    AskWhole,
    /// Ask again after this time.
    AskLater(std::time::Duration),
}

/// Why an update is refused. Nothing changes, and the sender is not asked again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The content does not have the digest that the update names.
    #[error("digest of version {version} does not match its content")]
    DigestMismatch {
        /// Version that the update names.
        version: Version,
    },
    /// The content cannot be read.
    #[error("version {version} cannot be read: {reason}")]
    Unreadable {
        /// Version that the update names.
        version: Version,
        /// What is wrong.
        reason: String,
    },
    /// The mesh has faults.
    #[error("version {version} has {faults} faults")]
    BadMesh {
        /// Version that the update names.
        version: Version,
        /// Number of faults.
        faults: usize,
    },
}

/// Decides on an update.
///
/// `held` is the snapshot in force. `floor` is the highest version that this daemon is known to
/// have held, in this or an earlier incarnation. A snapshot is applied only if its version is
/// greater than the one in force and not below the floor.
pub fn evaluate_update(
    held: Option<&ConfigSnapshot>,
    floor: Version,
    update: &Update,
    now: Timestamp,
) -> Result<Step, Refusal> {
    match update {
        Update::None => Ok(Step::Keep),
        Update::Busy(wait) => Ok(Step::AskLater(*wait)),
        Update::Delta(delta) => evaluate_delta(held, floor, delta, now),
        Update::Whole(whole) => evaluate_whole(held, floor, whole, now),
    }
}

fn is_news(held: Option<&ConfigSnapshot>, floor: Version, version: Version) -> bool {
    let held = held.map_or(Version::NONE, |snapshot| snapshot.version);
    version > held && version >= floor
}

fn evaluate_delta(
    held: Option<&ConfigSnapshot>,
    floor: Version,
    delta: &Delta,
    now: Timestamp,
) -> Result<Step, Refusal> {
    if !is_news(held, floor, delta.version) {
        return Ok(Step::Keep);
    }
    let is_base = |base: &&ConfigSnapshot| {
        base.version == delta.base_version && base.digest() == delta.base_digest
    };
    let Some(base) = held.filter(is_base) else {
        return Ok(Step::AskWhole);
    };
    let parts = delta.changes.apply_to(&base.mesh);
    check(parts, delta.version, delta.digest, now)
}

fn evaluate_whole(
    held: Option<&ConfigSnapshot>,
    floor: Version,
    whole: &Whole,
    now: Timestamp,
) -> Result<Step, Refusal> {
    if !is_news(held, floor, whole.version) {
        return Ok(Step::Keep);
    }
    let parts = MeshSpec::from_canonical(&whole.mesh).map_err(|err| Refusal::Unreadable {
        version: whole.version,
        reason: err.to_string(),
    })?;
    check(parts, whole.version, whole.digest, now)
}

fn check(
    parts: MeshSpec,
    version: Version,
    digest: Digest,
    now: Timestamp,
) -> Result<Step, Refusal> {
    let mesh = Mesh::validate(parts).map_err(|faults| Refusal::BadMesh {
        version,
        faults: faults.len(),
    })?;
    if mesh.digest() != digest {
        return Err(Refusal::DigestMismatch { version });
    }
    Ok(Step::Apply(ConfigSnapshot::new(
        version,
        Arc::new(mesh),
        now,
    )))
}
