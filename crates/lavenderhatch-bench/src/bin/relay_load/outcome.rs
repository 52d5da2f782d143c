//! Results of one simulation.

use serde::{Deserialize, Serialize};

use crate::pattern::{CALL_KIND, KINDS};

/// Counts of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Counts {
    /// Requests that callers sent, not counting retries.
    pub(crate) asked: u64,
    /// Requests answered within their target.
    pub(crate) on_time: u64,
    /// Requests answered after their target.
    pub(crate) late: u64,
}

/// Counts of the requests of a simulation, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Outcome {
    pub(crate) kinds: [Counts; CALL_KIND],
}

impl Outcome {
    /// Returns the worth of the answers relative to that of answering all requests within their
    /// targets.
    pub(crate) fn worth(&self) -> f64 {
        let (mut earned, mut owed) = (0.0, 0.0);
        for (kind, counts) in KINDS.iter().zip(&self.kinds) {
            earned += kind.worth * counts.on_time as f64 + kind.late_worth * counts.late as f64;
            owed += kind.worth * counts.asked as f64;
        }
        earned / owed
    }

    /// Returns the share of the requests that were answered.
    pub(crate) fn served(&self) -> f64 {
        let answered: u64 = self.kinds.iter().map(|kind| kind.on_time + kind.late).sum();
        let asked: u64 = self.kinds.iter().map(|kind| kind.asked).sum();
        answered as f64 / asked as f64
    }
}

impl Counts {
    /// Returns the share of the requests that were answered within their target.
    pub(crate) fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.asked as f64
    }
}
