//! Digests of idempotency keys and requests.

use lavenderhatch_core::Digest;

/// Who made an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOrigin {
    /// This incarnation of this daemon issued the key under this number.
    Issued(u64),
    /// The caller chose the key.
    CallerChosen,
}

/// Digest under which a key is claimed.
pub fn key_hash(key: &str) -> Digest {
    Digest::of(key.as_bytes())
}

/// Digest of the method, target and body of a request.
///
/// Method and target are prefixed with their lengths, so that different requests whose parts
/// concatenate to the same bytes have different digests.
pub fn request_digest(method: &str, target: &str, body: &[u8]) -> Digest {
    let mut buf = Vec::with_capacity(method.len() + target.len() + body.len() + 16);
    for part in [method.as_bytes(), target.as_bytes()] {
        buf.extend_from_slice(&(part.len() as u64).to_le_bytes());
        buf.extend_from_slice(part);
    }
    buf.extend_from_slice(body);
    Digest::of(&buf)
}
