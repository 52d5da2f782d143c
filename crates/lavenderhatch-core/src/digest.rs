//! Content digests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// BLAKE3 digest of a byte string.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

/// Error for text or bytes that are not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest is 32 bytes, written as 64 hexadecimal digits")]
pub struct DigestError;

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Creates a digest from exactly 32 bytes that hold it.
    pub fn from_slice(bytes: &[u8]) -> Result<Self, DigestError> {
        bytes.try_into().map(Self).map_err(|_| DigestError)
    }

    /// The 32 bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| DigestError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
