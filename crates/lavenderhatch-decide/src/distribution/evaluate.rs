//! Decides whether an update is put in force.

use std::sync::Arc;

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{ConfigSnapshot, Digest, Mesh, Timestamp, Version};

use crate::message::{Delta, Update, Whole};

/// What to do after an update has arrived.
#[derive(Clone, Debug)]
pub enum UpdateAction {
    /// Put this snapshot in force.
    Apply(ConfigSnapshot),
    /// Keep the snapshot in force, because the update holds nothing newer.
    Keep,
    /// Ask for the whole mesh, because this daemon does not hold the base of the changes.
    RequestWhole,
    /// Ask again after this time, because the sender is busy.
    RetryLater(std::time::Duration),
}

/// Why an update is refused.
///
/// The snapshot in force stays, and the sender is not asked again for a while.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateRefusal {
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
        /// The decoding error.
        reason: String,
    },
    /// The mesh fails validation.
    #[error("version {version} has {faults} faults")]
    BadMesh {
        /// Version that the update names.
        version: Version,
        /// Number of faults.
        faults: usize,
    },
}

/// Decides whether an update is applied.
///
/// `held` is the snapshot in force. `floor` is the highest version that this daemon is known to
/// have held, in this or an earlier incarnation. A snapshot is applied only if its version is
/// greater than the one in force and not less than the floor.
pub fn evaluate_update(
    held: Option<&ConfigSnapshot>,
    floor: Version,
    update: &Update,
    now: Timestamp,
) -> Result<UpdateAction, UpdateRefusal> {
    match update {
        Update::None => Ok(UpdateAction::Keep),
        Update::Busy(wait) => Ok(UpdateAction::RetryLater(*wait)),
        Update::Delta(delta) => evaluate_delta(held, floor, delta, now),
        Update::Whole(whole) => evaluate_whole(held, floor, whole, now),
    }
}

fn is_applicable(held: Option<&ConfigSnapshot>, floor: Version, version: Version) -> bool {
    let held = held.map_or(Version::NONE, |snapshot| snapshot.version);
    version > held && version >= floor
}

fn evaluate_delta(
    held: Option<&ConfigSnapshot>,
    floor: Version,
    delta: &Delta,
    now: Timestamp,
) -> Result<UpdateAction, UpdateRefusal> {
    if !is_applicable(held, floor, delta.version) {
        return Ok(UpdateAction::Keep);
    }
    let is_base = |base: &&ConfigSnapshot| {
        base.version == delta.base_version && base.digest() == delta.base_digest
    };
    let Some(base) = held.filter(is_base) else {
        return Ok(UpdateAction::RequestWhole);
    };
    let parts = delta.changes.apply_to(&base.mesh);
    check_parts(parts, delta.version, delta.digest, now)
}

fn evaluate_whole(
    held: Option<&ConfigSnapshot>,
    floor: Version,
    whole: &Whole,
    now: Timestamp,
) -> Result<UpdateAction, UpdateRefusal> {
    if !is_applicable(held, floor, whole.version) {
        return Ok(UpdateAction::Keep);
    }
    let parts = MeshSpec::from_canonical(&whole.mesh).map_err(|err| UpdateRefusal::Unreadable {
        version: whole.version,
        reason: err.to_string(),
    })?;
    check_parts(parts, whole.version, whole.digest, now)
}

fn check_parts(
    parts: MeshSpec,
    version: Version,
    digest: Digest,
    now: Timestamp,
) -> Result<UpdateAction, UpdateRefusal> {
    let mesh = Mesh::validate(parts).map_err(|faults| UpdateRefusal::BadMesh {
        version,
        faults: faults.len(),
    })?;
    if mesh.digest() != digest {
        return Err(UpdateRefusal::DigestMismatch { version });
    }
    Ok(UpdateAction::Apply(ConfigSnapshot::new(
        version,
        Arc::new(mesh),
        now,
    )))
}
