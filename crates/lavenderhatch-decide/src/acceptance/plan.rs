//! Decisions of the operator's tool that applies a set of files.

use lavenderhatch_core::{Error, ErrorKind, Mesh, Timestamp, Version};

use super::parts::split_parts;
use super::root::{Acceptance, MAX_RECENT, MAX_RECENT_REASON_BYTES, RootContent, RootObject};

/// Maximum length of an author's name, in bytes.
const MAX_AUTHOR_BYTES: usize = 200;
/// Maximum length of a reason, in bytes.
const MAX_REASON_BYTES: usize = 4096;

/// Whether a write of the root object took effect, after its answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and this version was accepted.
    Accepted(Version),
    /// The write had no effect so far and may be sent again.
    NotWritten,
    /// The root object has this later version, so the write is taken to have lost the race.
    Conflict(Version),
}

/// Builds the root object that accepts `mesh` as the successor of `current`.
pub fn next_root(
    current: Option<&RootObject>,
    mesh: &Mesh,
    author: &str,
    nonce: &str,
    reason: &str,
    now: Timestamp,
) -> Result<RootObject, Error> {
    let version = current.map_or(Version::NONE, |root| root.version).next();
    if current.is_some_and(|root| root.digest == mesh.digest()) {
        let message = format!("version {} already holds the same files", version.0 - 1);
        return Err(Error::new(ErrorKind::Conflict, message));
    }
    check_length("author", author, MAX_AUTHOR_BYTES)?;
    check_length("reason", reason, MAX_REASON_BYTES)?;
    Ok(RootObject {
        version,
        digest: mesh.digest(),
        author: author.to_owned(),
        nonce: nonce.to_owned(),
        at: now,
        reason: reason.to_owned(),
        content: content_of(mesh),
        retired: Vec::new(),
        recent: current.map_or_else(Vec::new, recent_acceptances),
    })
}

fn check_length(what: &str, text: &str, max: usize) -> Result<(), Error> {
    if text.len() <= max {
        return Ok(());
    }
    let message = format!(
        "the {what} has {} bytes, at most {max} are allowed",
        text.len()
    );
    Err(Error::new(ErrorKind::TooLarge, message))
}

fn content_of(mesh: &Mesh) -> RootContent {
    let canonical = mesh.spec().to_canonical();
    let parts = split_parts(&canonical);
    match parts.is_empty() {
        true => RootContent::Inline(Box::new(mesh.spec().clone())),
        false => RootContent::Parts(parts.iter().map(|part| part.digest).collect()),
    }
}

/// The earlier acceptances to list in the successor of `current`.
fn recent_acceptances(current: &RootObject) -> Vec<Acceptance> {
    let mut recent = current.recent.clone();
    recent.push(current.acceptance(MAX_RECENT_REASON_BYTES));
    let surplus = recent.len().saturating_sub(MAX_RECENT);
    recent.split_off(surplus)
}

/// Determines from the root object that was read back whether the write of `sent` took effect.
///
/// `base` is the version on which `sent` was built. A write that took effect and was then replaced
/// by a later version cannot be distinguished from one that lost the race. Both are reported as a
/// conflict, so that the caller writes a second time only if the root object still has the base
/// version.
pub fn resolve_lost_answer(
    sent: &RootObject,
    base: Version,
    read_back: Option<&RootObject>,
) -> WriteOutcome {
    let Some(root) = read_back else {
        return WriteOutcome::NotWritten;
    };
    if root.nonce == sent.nonce && root.digest == sent.digest {
        return WriteOutcome::Accepted(root.version);
    }
    match root.version == base {
        true => WriteOutcome::NotWritten,
        false => WriteOutcome::Conflict(root.version),
    }
}
