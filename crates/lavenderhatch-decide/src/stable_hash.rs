//! Hashes that are the same on every daemon and in every release.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a name under a salt.
pub fn stable_hash(salt: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), salt)
}

/// Hash of a number under a salt, for rankings that hash each name once.
pub(crate) fn stable_hash_u64(salt: u64, value: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), salt)
}
