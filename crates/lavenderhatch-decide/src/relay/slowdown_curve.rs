//! How much slower a backend server gets with the number of requests in progress.

/// A curve without slowdown up to a knee, with exponential growth of the service time from there,
/// and with a constant one from `end` on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SlowdownCurve {
    /// Share of the slots in use from which on requests slow each other down.
    knee: f64,
    /// Share of the slots in use from which on the slowdown is largest.
    end: f64,
    /// Logarithm of the largest factor on the service time.
    largest: f64,
}

/// Number of candidate curves.
pub(super) const CURVES: usize = 18;

impl SlowdownCurve {
    /// No slowdown.
    const FLAT: Self = Self::new(0.0, 1.0, 0.0);

    /// Candidates, the flat one first. The measured backend servers take 1.6 to 2.2 times as long
    /// with all slots in use, and slow down from 0.6 of them on.
    pub(super) const CANDIDATES: [Self; CURVES] = [
        Self::FLAT,
        Self::new(0.3, 1.0, 0.4),
        Self::new(0.3, 1.0, 0.8),
        Self::new(0.3, 1.0, 1.4),
        Self::new(0.45, 1.0, 0.4),
        Self::new(0.45, 1.0, 0.8),
        Self::new(0.45, 1.0, 1.4),
        Self::new(0.6, 1.0, 0.35),
        Self::new(0.6, 1.0, 0.7),
        Self::new(0.6, 1.0, 1.2),
        Self::new(0.75, 1.0, 0.3),
        Self::new(0.75, 1.0, 0.6),
        Self::new(0.75, 1.0, 1.0),
        Self::new(0.45, 0.7, 0.5),
        Self::new(0.45, 0.7, 0.9),
        Self::new(0.58, 0.8, 0.4),
        Self::new(0.58, 0.8, 0.7),
        Self::new(0.58, 0.8, 1.1),
    ];

    const fn new(knee: f64, end: f64, largest: f64) -> Self {
        Self { knee, end, largest }
    }

    /// Returns the logarithm of the factor on the service time with this share of the slots in use.
    pub(super) fn log_slowdown(&self, share: f64) -> f64 {
        let above = (share.min(self.end) - self.knee).max(0.0);
        self.largest * above / (self.end - self.knee)
    }
}
