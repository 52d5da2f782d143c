//! Seeded random numbers.

/// The SplitMix64 generator.
pub(super) struct Random(u64);

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// A random number below `bound`.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns true with a probability of `percent` percent.
    pub(super) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
