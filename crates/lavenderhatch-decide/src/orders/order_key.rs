//! Digests of keys and requests.

use lavenderhatch_core::Digest;

/// Who made a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyForm {
    /// This incarnation of this daemon, with this number.
    Issued(u64),
    /// The caller.
    Chosen,
}

/// Digest under which a key is claimed.
pub fn key_hash(key: &str) -> Digest {
    Digest::of(key.as_bytes())
}

/// Digest of what a request asks for. Lengths keep two requests apart whose parts join to the same
/// bytes.
pub fn request_digest(method: &str, target: &str, body: &[u8]) -> Digest {
    let mut buf = Vec::with_capacity(method.len() + target.len() + body.len() + 16);
    for part in [method.as_bytes(), target.as_bytes()] {
        buf.extend_from_slice(&(part.len() as u64).to_le_bytes());
        buf.extend_from_slice(part);
    }
    buf.extend_from_slice(body);
    Digest::of(&buf)
}
