//! Hashes that are the same on every daemon and in every release.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes a name with `salt` as the seed.
pub fn stable_hash(salt: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), salt)
}

/// Hashes a number with `salt` as the seed, for rankings that hash each name only once.
pub(crate) fn stable_hash_u64(salt: u64, value: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), salt)
}
