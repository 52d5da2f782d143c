//! Pseudo-random numbers, the same on every run.

/// A linear congruential generator.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        // The low bits have short periods.
        self.0.rotate_left(32)
    }

    /// Returns the next number as a fraction, 0 to 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.next() as f64 / u64::MAX as f64
    }
}
