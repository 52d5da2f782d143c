//! Rates of admissions and refusals.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// Running totals at one point in time.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    admitted: u64,
    refused: u64,
}

/// Counts admissions and refusals over a sliding window of one second.
#[derive(Debug, Default)]
pub(super) struct Meter {
    /// Totals inside the window and the last ones before it. Invariant: ascending in time.
    history: VecDeque<(Timestamp, Totals)>,
}

impl Meter {
    /// Records the totals at `now`.
    pub(super) fn record(&mut self, admitted: u64, refused: u64, now: Timestamp) {
        self.history.push_back((now, Totals { admitted, refused }));
        while self.history.len() > 2 && now.since(self.history[1].0) >= WINDOW {
            self.history.pop_front();
        }
    }

    /// Returns the number of requests admitted in the last second.
    pub(super) fn admitted(&self) -> u32 {
        self.difference(|totals| totals.admitted)
    }

    /// Returns the number of requests refused in the last second.
    pub(super) fn refused(&self) -> u32 {
        self.difference(|totals| totals.refused)
    }

    fn difference(&self, read: impl Fn(&Totals) -> u64) -> u32 {
        let (Some((_, first)), Some((_, last))) = (self.history.front(), self.history.back())
        else {
            return 0;
        };
        read(last).saturating_sub(read(first)) as u32
    }
}
