//! Duration of the ejections of a backend server.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(300);
/// Length of a period without an ejection. For each such period, one of the earlier ejections no
/// longer counts.
const EJECTION_DECAY: Duration = Duration::from_secs(60);

/// Ejection state of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ejection {
    /// Number of earlier ejections that still count.
    recent_count: u32,
    /// End of the last ejection.
    until: Timestamp,
}

impl Ejection {
    /// Whether the backend server is ejected at `now`.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Ejects the backend server and returns the duration, which doubles with each ejection that
    /// still counts.
    pub fn eject(&mut self, now: Timestamp) -> Duration {
        let expired = now.since(self.until).as_secs() / EJECTION_DECAY.as_secs();
        self.recent_count = self
            .recent_count
            .saturating_sub(expired.min(u64::from(u32::MAX)) as u32);
        let duration = FIRST_EJECTION
            .saturating_mul(1 << self.recent_count.min(16))
            .min(MAX_EJECTION);
        self.recent_count += 1;
        self.until = now + duration;
        duration
    }

    /// Returns the end of the last ejection.
    pub fn until(&self) -> Timestamp {
        self.until
    }
}
