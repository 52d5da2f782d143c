//! Counts of calls by outcome.

use std::collections::BTreeMap;
use std::fmt;

/// Numbers of calls by the outcome that their responses name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CallCounts {
    /// Calls that a back end ran.
    pub(super) ran: u64,
    /// Calls that were refused and did not run.
    pub(super) not_run: u64,
    /// Calls whose response says that they may or may not have run.
    pub(super) unknown: u64,
    /// Calls without a response, or whose response names no outcome.
    pub(super) unanswered: u64,
    /// Repeats of calls whose idempotency key was still in flight.
    pub(super) repeated: u64,
    /// Responses with an error, by error kind.
    pub(super) errors: BTreeMap<String, u64>,
}

impl CallCounts {
    /// Counts a call by the outcome and error headers of its response.
    ///
    /// `outcome` is `None` if there was no response or it has no outcome header.
    pub(super) fn count(&mut self, outcome: Option<&str>, error: Option<&str>) {
        match outcome {
            Some("ran") => self.ran += 1,
            Some("not-run") => self.not_run += 1,
            Some(_) => self.unknown += 1,
            None => self.unanswered += 1,
        }
        if let Some(kind) = error {
            *self.errors.entry(kind.to_owned()).or_default() += 1;
        }
    }

    /// Adds the counts of `other`.
    pub(super) fn add(&mut self, other: &CallCounts) {
        self.ran += other.ran;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unanswered += other.unanswered;
        self.repeated += other.repeated;
        for (kind, count) in &other.errors {
            *self.errors.entry(kind.clone()).or_default() += count;
        }
    }

    /// Returns the number of calls that were unanswered or have an unknown outcome.
    pub(super) fn lost_or_unknown(&self) -> u64 {
        self.unknown + self.unanswered
    }
}

impl fmt::Display for CallCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ran,
            not_run,
            unknown,
            unanswered,
            repeated,
            ..
        } = self;
        write!(
            f,
            "{ran} ran, {not_run} refused, {unknown} unknown, {unanswered} unanswered"
        )?;
        if *repeated > 0 {
            write!(f, ", {repeated} repeated with the same key")?;
        }
        for (kind, count) in &self.errors {
            write!(f, ", {kind} {count}")?;
        }
        Ok(())
    }
}
