//! A hash that is the same on every daemon and in every release.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of a name under a salt.
///
/// FNV-1a followed by the finalizer of SplitMix64: FNV alone leaves names that differ in their last
/// character close to each other, which would put neighbours of one ring side by side on all rings.
pub fn stable_hash(salt: u64, name: &str) -> u64 {
    let salted = salt.to_le_bytes().into_iter().chain(name.bytes());
    let hash = salted.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
