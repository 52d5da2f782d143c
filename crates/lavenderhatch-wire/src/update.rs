//! Responses to requests for a configuration update.

use std::time::Duration;

use lavenderhatch_decide::message::{Delta, Update, Whole};

use crate::peer_capnp::{delta, update, whole};
use crate::scalar::{WireError, invalid_field, read_digest, read_version};

/// Encodes an update.
pub fn write_update(update: &Update, mut out: update::Builder<'_>) {
    match update {
        Update::None => out.set_none(()),
        Update::Busy(wait) => out.set_busy_ms(wait.as_millis() as u32),
        Update::Delta(delta) => write_delta(delta, out.init_delta()),
        Update::Whole(whole) => write_whole(whole, out.init_whole()),
    }
}

/// Validates and decodes an update.
pub fn read_update(msg: update::Reader<'_>) -> Result<Update, WireError> {
    match msg.which()? {
        update::Which::None(()) => Ok(Update::None),
        update::Which::BusyMs(millis) => Ok(Update::Busy(Duration::from_millis(millis.into()))),
        update::Which::Delta(msg) => read_delta(msg?).map(Update::Delta),
        update::Which::Whole(msg) => read_whole(msg?).map(Update::Whole),
    }
}

fn write_delta(delta: &Delta, mut out: delta::Builder<'_>) {
    out.set_base_version(delta.base_version.0);
    out.set_base_digest(delta.base_digest.as_bytes());
    out.set_version(delta.version.0);
    out.set_digest(delta.digest.as_bytes());
    // These types always serialize. If that ever changed, the receiver would reject the empty data.
    out.set_changes(&serde_json::to_vec(&delta.changes).unwrap_or_default());
}

fn read_delta(msg: delta::Reader<'_>) -> Result<Delta, WireError> {
    let changes = serde_json::from_slice(msg.get_changes()?)
        .map_err(|err| invalid_field("changes", err.to_string()))?;
    Ok(Delta {
        base_version: read_version(msg.get_base_version()),
        base_digest: read_digest("baseDigest", msg.get_base_digest()?)?,
        version: read_version(msg.get_version()),
        digest: read_digest("digest", msg.get_digest()?)?,
        changes,
    })
}

fn write_whole(whole: &Whole, mut out: whole::Builder<'_>) {
    out.set_version(whole.version.0);
    out.set_digest(whole.digest.as_bytes());
    out.set_mesh(&whole.mesh);
}

fn read_whole(msg: whole::Reader<'_>) -> Result<Whole, WireError> {
    Ok(Whole {
        version: read_version(msg.get_version()),
        digest: read_digest("digest", msg.get_digest()?)?,
        mesh: msg.get_mesh()?.to_vec(),
    })
}
