//! Admissions and refusals of the last second.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Span over which is counted.
const SPAN: Duration = Duration::from_secs(1);

/// Totals at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    admitted: u64,
    refused: u64,
}

/// Differences of totals over the last second.
#[derive(Debug, Default)]
pub(super) struct Meter {
    /// Invariant: ascending in time.
    history: VecDeque<(Timestamp, Totals)>,
}

impl Meter {
    /// Takes in the totals since the start.
    pub(super) fn record(&mut self, admitted: u64, refused: u64, now: Timestamp) {
        self.history.push_back((now, Totals { admitted, refused }));
        while self.history.len() > 2 && now.since(self.history[1].0) >= SPAN {
            self.history.pop_front();
        }
    }

    /// Requests admitted in the last second.
    pub(super) fn admitted(&self) -> u32 {
        self.difference(|totals| totals.admitted)
    }

    /// Requests refused in the last second.
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
