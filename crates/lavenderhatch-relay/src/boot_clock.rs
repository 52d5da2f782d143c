//! The clock that counts suspensions of the machine.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use nix::time::{ClockId, clock_gettime};

/// Reads the time since the machine has started, suspensions included.
///
/// The monotonic clock of a process stands still while the machine is suspended, and so would an age
/// that is measured by it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine has started.
    pub fn now(self) -> Timestamp {
        // The call fails only for a clock that the kernel does not have.
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::MAX, Duration::from);
        Timestamp(now.as_millis() as u64)
    }
}
