//! State of a backend server, from its own reports.

use std::time::Duration;

use lavenderhatch_core::Timestamp;
use serde::{Deserialize, Serialize};

/// Lifecycle phase of a backend server, in order. An incarnation only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendPhase {
    /// The backend server accepts requests.
    Ready,
    /// The backend server finishes its requests and accepts no more.
    Draining,
    /// The backend server has left.
    Gone,
}

/// A status report that a backend server sends to its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Identity of the backend server. It may stay the same across a restart.
    pub id: String,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Sequence number of the report within this incarnation.
    pub sequence: u64,
    /// Number of requests that the backend server runs at the same time.
    pub slots: u32,
    /// Lifecycle phase at the time of the report.
    pub phase: BackendPhase,
}

/// Effect of a report on the known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The state has changed and must be published.
    Changed,
    /// The report confirms the known state.
    Confirmed,
    /// The report is older than the known state, which stays unchanged.
    OutOfDate,
}

/// Known state of the backend server that runs beside this daemon.
#[derive(Clone, Debug, Default)]
pub struct BackendState {
    last: Option<BackendReport>,
    last_report_at: Timestamp,
    /// Whether it is still unknown what an earlier process of this daemon has recorded. No backend
    /// server accepts requests until then.
    awaits_recovery: bool,
}

impl BackendState {
    /// Creates the state of a daemon that has just started.
    ///
    /// An earlier process may have acknowledged a departure, so a report alone does not make the
    /// backend server ready before [`Self::recover`].
    pub fn awaiting_recovery() -> Self {
        Self {
            awaits_recovery: true,
            ..Self::default()
        }
    }

    /// Whether the state still waits for [`Self::recover`].
    pub fn awaits_recovery(&self) -> bool {
        self.awaits_recovery
    }

    /// Applies a report and returns its effect.
    ///
    /// An older incarnation never replaces a newer one. An incarnation that has begun to leave
    /// never becomes ready again, because its departure was acknowledged and late reports must not
    /// undo it.
    pub fn apply_report(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        let Some(last) = &self.last else {
            return self.replace(report, now);
        };
        if report.incarnation < last.incarnation {
            return ReportEffect::OutOfDate;
        }
        let is_same = report.id == last.id && report.incarnation == last.incarnation;
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

    /// Converts a departure notice to a report. Returns `None` if the incarnation that leaves is
    /// neither given nor known.
    ///
    /// A restarted daemon may not know the backend server. It records the departure nevertheless,
    /// because it acknowledges it and an earlier report may still be in transit.
    pub fn departure(&self, id: &str, incarnation: Option<u64>) -> Option<BackendReport> {
        let last = self.last.as_ref();
        let known = last.filter(|last| {
            last.id == id && incarnation.is_none_or(|incarnation| incarnation == last.incarnation)
        });
        let (sequence, slots) = known.map_or((0, 0), |known| (known.sequence, known.slots));
        Some(BackendReport {
            id: id.to_owned(),
            incarnation: incarnation.or(known.map(|known| known.incarnation))?,
            sequence,
            slots,
            phase: BackendPhase::Gone,
        })
    }

    /// Restores the state that an earlier process of this daemon has recorded, if there is one.
    ///
    /// A record is no proof that the backend server still runs, so requests are sent to it only
    /// after its next report.
    pub fn recover(&mut self, recorded: Option<&BackendReport>) {
        self.awaits_recovery = false;
        let Some(recorded) = recorded else { return };
        let replaces_last = self.last.as_ref().is_none_or(|last| {
            let is_same = last.id == recorded.id && last.incarnation == recorded.incarnation;
            recorded.incarnation > last.incarnation || (is_same && recorded.phase > last.phase)
        });
        if replaces_last {
            self.last = Some(recorded.clone());
        }
    }

    /// Returns the last report, including a restored one.
    pub fn last(&self) -> Option<&BackendReport> {
        self.last.as_ref()
    }

    /// Returns the last report if the backend server accepts requests: it is ready, has reported
    /// within `max_age`, and no record of an earlier process is awaited.
    pub fn serving(&self, max_age: Duration, now: Timestamp) -> Option<&BackendReport> {
        let last = self.last.as_ref()?;
        let is_fresh = self.last_report_at.0 > 0 && now.since(self.last_report_at) <= max_age;
        let is_ready = last.phase == BackendPhase::Ready && !self.awaits_recovery;
        (is_ready && is_fresh).then_some(last)
    }

    /// Stops using the backend server until its next report, after it has refused a connection.
    pub fn mark_unreachable(&mut self) {
        self.last_report_at = Timestamp::default();
    }

    fn replace(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        self.last = Some(report.clone());
        self.last_report_at = now;
        ReportEffect::Changed
    }
}
