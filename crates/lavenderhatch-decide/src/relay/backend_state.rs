//! What a backend server says of itself.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use serde::{Deserialize, Serialize};

/// Whether a backend server takes work, in the order in which it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendPhase {
    /// It takes work.
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It has left.
    Gone,
}

/// One report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Identity. Kept over a restart at times.
    pub id: String,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Position of the report among those of this incarnation.
    pub sequence: u64,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: BackendPhase,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The state has changed and must be made known.
    Changed,
    /// The report confirms what was known.
    Confirmed,
    /// The report is older than what is known, and changes nothing.
    OutOfDate,
}

/// What is known of the backend server beside this daemon.
#[derive(Clone, Debug, Default)]
pub struct BackendState {
    last: Option<BackendReport>,
    last_report_at: Timestamp,
}

impl BackendState {
    /// Takes in a report.
    ///
    /// An older incarnation never replaces a newer one, and an incarnation that has begun to leave
    /// never becomes ready again: its acknowledged departure binds, also for late reports.
    pub fn apply_report(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        let Some(last) = &self.last else {
            return self.replace(report, now);
        };
        if report.born < last.born {
            return ReportEffect::OutOfDate;
        }
        let is_same = report.id == last.id && report.born == last.born;
        if !is_same {
            return self.replace(report, now);
        }
        let is_departure = report.phase > last.phase;
        if report.phase < last.phase || (report.sequence <= last.sequence && !is_departure) {
            return ReportEffect::OutOfDate;
        }
        let is_changed = is_departure || report.slots != last.slots;
        self.replace(report, now);
        match is_changed {
            true => ReportEffect::Changed,
            false => ReportEffect::Confirmed,
        }
    }

    /// The report that a departure amounts to; `None` if it does not tell which incarnation leaves.
    ///
    /// A daemon that was started anew may not know whom it lets go. It keeps the departure all the
    /// same: it acknowledges it, and a report that was sent before may still be on its way.
    pub fn departure(&self, id: &str, born: Option<u64>) -> Option<BackendReport> {
        let last = self.last.as_ref();
        let known = last.filter(|last| last.id == id && born.is_none_or(|born| born == last.born));
        let (sequence, slots) = known.map_or((0, 0), |known| (known.sequence, known.slots));
        Some(BackendReport {
            id: id.to_owned(),
            born: born.or(known.map(|known| known.born))?,
            sequence,
            slots,
            phase: BackendPhase::Gone,
        })
    }

    /// Takes over what an earlier process of this daemon has recorded. Does not count as a sign of
    /// life: the backend server is used once it reports again.
    pub fn restore(&mut self, recorded: &BackendReport) {
        let replaces_last = self.last.as_ref().is_none_or(|last| {
            let is_same = last.id == recorded.id && last.born == recorded.born;
            recorded.born > last.born || (is_same && recorded.phase > last.phase)
        });
        if replaces_last {
            self.last = Some(recorded.clone());
        }
    }

    /// The last report.
    pub fn last(&self) -> Option<&BackendReport> {
        self.last.as_ref()
    }

    /// The backend server if it takes work: it is ready and was heard of within `max_age`.
    pub fn serving(&self, max_age: Duration, now: Timestamp) -> Option<&BackendReport> {
        let last = self.last.as_ref()?;
        let is_fresh = self.last_report_at.0 > 0 && now.since(self.last_report_at) <= max_age;
        (last.phase == BackendPhase::Ready && is_fresh).then_some(last)
    }

    /// Forgets the sign of life, after the backend server has refused a connection.
    pub fn mark_unreachable(&mut self) {
        self.last_report_at = Timestamp::default();
    }

    fn replace(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        self.last = Some(report.clone());
        self.last_report_at = now;
        ReportEffect::Changed
    }
}
