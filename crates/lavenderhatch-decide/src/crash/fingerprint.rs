//! Identity of requests that ask for the same.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::Xxh3;

/// Identifies requests with the same method, path, query, calling service and body.
///
/// Attempts and repetitions of a request have it in common, whoever sends them and however they are
/// routed. It is the same on every daemon and in every release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request. `target` is its path and query.
    pub fn of(method: &str, target: &str, caller_service: &[u8], body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), target.as_bytes(), caller_service, body] {
            // The length keeps the end of a part from counting as the start of the next one.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
