//! State of a backend server, from its own reports.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::backend_report::{BackendPhase, BackendReport};
use super::past_incarnations::PastIncarnations;
use super::report_effect::ReportEffect;

/// Time after an event in which a report may arrive that was sent before it. Partitions delay
/// reports by seconds.
const LATE_REPORT_TIME: Duration = Duration::from_secs(10);
/// Sequence number of the first report of an incarnation.
const FIRST_SEQUENCE: u64 = 1;

/// Known state of the backend server that runs beside this daemon.
///
/// The order of incarnations is the order in which this daemon has learned of them. The first report
/// of an unknown incarnation therefore replaces the known one. Evidence against that order is a
/// health check, or a report that arrives after the current incarnation has been silent for longer
/// than reports are delayed.
#[derive(Clone, Debug, Default)]
pub struct BackendState {
    last: Option<BackendReport>,
    last_report_at: Timestamp,
    /// Incarnations that were replaced or have left.
    past: PastIncarnations,
    /// Last report of an incarnation that may have started after the one of `last`. A health check
    /// decides.
    rival: Option<BackendReport>,
    /// Whether it is still unknown what an earlier process of this daemon has recorded. No backend
    /// server accepts requests until then.
    awaits_recovery: bool,
    /// Until when reports may arrive that were sent before this daemon started or before a departure
    /// of doubtful order; `None` if no departure may be overlooked.
    late_reports_end: Option<Timestamp>,
    /// Whether the incarnation of the last report is known not to have left while an earlier
    /// process ran. The store may lack a departure that this process has acknowledged.
    is_verified: bool,
    /// Whether a health check is no proof, because the store was down when this daemon started.
    distrusts_health_checks: bool,
}

impl BackendState {
    /// Creates the state of a daemon that has just started.
    ///
    /// An earlier process may have acknowledged a departure, so a report alone does not make the
    /// backend server ready before [`Self::recover`]. The store does not have the departure if it
    /// was down until that process ended. Therefore a report that may be a late one makes the
    /// backend server ready only after [`Self::verify`].
    pub fn awaiting_recovery(now: Timestamp) -> Self {
        Self {
            awaits_recovery: true,
            late_reports_end: Some(now + LATE_REPORT_TIME),
            ..Self::default()
        }
    }

    /// Whether the state still waits for [`Self::recover`].
    pub fn awaits_recovery(&self) -> bool {
        self.awaits_recovery
    }

    /// Applies a report and returns its effect.
    ///
    /// An incarnation that has begun to leave never becomes ready again, because its departure was
    /// acknowledged and late reports must not undo it.
    pub fn apply_report(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        let is_ready = report.phase == BackendPhase::Ready;
        let is_of = |other: &BackendReport| other.is_same_incarnation(report);
        if self.is_recent(now) {
            self.distrusts_health_checks = false;
        }
        if !is_ready && self.rival.as_ref().is_some_and(is_of) {
            self.rival = None;
        }
        let Some(last) = &self.last else {
            self.is_verified = self.is_recent(now) || report.sequence <= FIRST_SEQUENCE;
            return self.replace(report, now);
        };
        let past = self.past.get(report).map(|past| past.phase);
        match past {
            _ if is_of(last) => self.apply_current(report, now),
            Some(BackendPhase::Ready) => self.apply_replaced(report, now),
            Some(_) if is_ready => ReportEffect::Refused,
            Some(_) => ReportEffect::OutOfDate,
            None if is_ready => self.apply_unknown(report, now),
            None => self.apply_unknown_departure(report, now),
        }
    }

    /// Applies a report of the current incarnation.
    fn apply_current(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        let Some(last) = &self.last else {
            return ReportEffect::Refused;
        };
        let is_departure = report.phase > last.phase;
        if report.phase == BackendPhase::Ready && last.phase != BackendPhase::Ready {
            return ReportEffect::Refused;
        }
        if report.phase < last.phase || (report.sequence <= last.sequence && !is_departure) {
            return ReportEffect::OutOfDate;
        }
        let is_changed = is_departure || report.slots != last.slots;
        self.is_verified |= self.is_recent(now);
        self.replace(report, now);
        match is_changed {
            true => ReportEffect::Changed,
            false => ReportEffect::Confirmed,
        }
    }

    /// Applies a report of an incarnation that was ready when another one replaced it.
    fn apply_replaced(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        let (Some(last), Some(past)) = (&self.last, self.past.get(report)) else {
            return ReportEffect::Refused;
        };
        let has_same_id = last.id == report.id;
        if report.phase != BackendPhase::Ready {
            // The backend server refuses requests for another identity. With the same one, it may
            // be the replaced incarnation that still runs, if the first report of the current one
            // was late: the replaced one has reported since, and the current one has not.
            let is_doubtful = has_same_id
                && last.phase == BackendPhase::Ready
                && last.sequence <= FIRST_SEQUENCE
                && self.past.has_reported_since(report);
            self.past.insert(report);
            return match is_doubtful {
                true => self.require_verification(now),
                false => ReportEffect::OutOfDate,
            };
        }
        if report.sequence <= past.sequence {
            return ReportEffect::Refused;
        }
        if now.since(self.last_report_at) > LATE_REPORT_TIME {
            // It was sent after the last report of the current incarnation.
            self.is_verified = true;
            return self.replace(report, now);
        }
        if last.phase == BackendPhase::Ready && !has_same_id {
            self.rival = Some(report.clone());
        }
        self.past.record_report(report);
        ReportEffect::Refused
    }

    /// Applies a report of an incarnation that this daemon does not know.
    fn apply_unknown(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        if report.sequence <= FIRST_SEQUENCE {
            self.is_verified = true;
            return self.replace(report, now);
        }
        // Either the first reports were lost, or this is a late report of an earlier incarnation.
        let Some(last) = &self.last else {
            return ReportEffect::Refused;
        };
        let is_silent = now.since(self.last_report_at) > LATE_REPORT_TIME;
        let is_recent = is_silent && self.is_recent(now);
        let has_left = last.phase != BackendPhase::Ready;
        if has_left && last.id == report.id && !is_recent {
            // A health check cannot tell it from the incarnation that has left.
            return ReportEffect::Refused;
        }
        if !has_left && !is_silent && self.is_verified {
            self.rival = Some(report.clone());
            return ReportEffect::Refused;
        }
        self.is_verified = is_recent;
        if !is_recent {
            self.require_verification(now);
        }
        self.replace(report, now)
    }

    /// Applies a departure of an incarnation that this daemon does not know.
    fn apply_unknown_departure(&mut self, report: &BackendReport, now: Timestamp) -> ReportEffect {
        let Some(last) = &self.last else {
            return self.replace(report, now);
        };
        if last.phase != BackendPhase::Ready {
            return self.replace(report, now);
        }
        if last.id == report.id {
            self.past.insert(report);
            return self.require_verification(now);
        }
        // A notice names no service, so it may be of a backend server beside another daemon, which
        // would go on sending requests to it.
        if report.phase == BackendPhase::Gone {
            return ReportEffect::Refused;
        }
        self.past.insert(report);
        ReportEffect::OutOfDate
    }

    /// Stops using the backend server until it is verified, because a departure may be its own.
    fn require_verification(&mut self, now: Timestamp) -> ReportEffect {
        self.is_verified = false;
        self.late_reports_end = Some(now + LATE_REPORT_TIME);
        ReportEffect::Changed
    }

    /// Whether a report that arrives now was sent after this daemon started, and after each
    /// departure of doubtful order.
    fn is_recent(&self, now: Timestamp) -> bool {
        self.late_reports_end.is_none_or(|end| now > end)
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
        let version = known.map_or_else(String::new, |known| known.version.clone());
        Some(BackendReport {
            id: id.to_owned(),
            incarnation: incarnation.or(known.map(|known| known.incarnation))?,
            sequence,
            slots,
            phase: BackendPhase::Gone,
            version,
        })
    }

    /// Restores the state that an earlier process of this daemon has recorded, if there is one.
    ///
    /// A record is no proof that the backend server still runs, so requests are sent to it only
    /// after its next report.
    pub fn recover(&mut self, recorded: Option<&BackendReport>) {
        self.awaits_recovery = false;
        let Some(recorded) = recorded else { return };
        let is_ready = |report: &BackendReport| report.phase == BackendPhase::Ready;
        match &self.last {
            // An earlier process knew this incarnation, so even its first report may be a late one.
            Some(last) if last.is_same_incarnation(recorded) => {
                self.is_verified = false;
                if recorded.phase > last.phase {
                    self.last = Some(recorded.clone());
                }
            }
            // This process has learned of the reported incarnation later. If the recorded one has
            // left, a health check cannot tell it from a late report of the same identity.
            Some(last)
                if is_ready(last)
                    && (is_ready(recorded)
                        || last.id != recorded.id
                        || last.sequence <= FIRST_SEQUENCE) =>
            {
                self.past.insert(recorded);
            }
            Some(last) if !is_ready(last) && !is_ready(recorded) => self.past.insert(recorded),
            // Which one started later is not known.
            Some(_) | None => {
                let last = self.last.replace(recorded.clone());
                if let Some(last) = last.filter(|last| !is_ready(last)) {
                    self.past.insert(&last);
                }
                self.last_report_at = Timestamp::default();
                self.is_verified = false;
            }
        }
    }

    /// Accepts no health check as proof that the backend server has not left before this daemon
    /// started, only a report that was sent since.
    ///
    /// For daemons that find the store down: the store may lack an acknowledged departure, and a
    /// backend server that leaves may go on answering health checks with 200.
    pub fn distrust_health_checks(&mut self) {
        self.distrusts_health_checks = true;
    }

    /// Returns the report whose incarnation a health check must verify: one that accepts requests
    /// as soon as it is verified, or one that may have started after the current one.
    pub fn unverified(&self, max_age: Duration, now: Timestamp) -> Option<&BackendReport> {
        match self.fresh_ready_report(max_age, now) {
            Some(last) if !self.is_verified => Some(last),
            _ => self.rival.as_ref(),
        }
    }

    /// Notes that the health check of the backend server of `report` has succeeded. Returns whether
    /// its incarnation is now known to run.
    pub fn verify(&mut self, report: &BackendReport) -> bool {
        let is_of = |other: &BackendReport| other.is_same_incarnation(report);
        if self.rival.as_ref().is_some_and(is_of) {
            self.is_verified = true;
            self.replace(report, self.last_report_at);
            return true;
        }
        let is_current = self.last.as_ref().is_some_and(is_of);
        let is_verified = is_current && !self.distrusts_health_checks;
        self.is_verified |= is_verified;
        is_verified
    }

    /// Notes that the health check of the backend server of `report` has failed.
    pub fn reject(&mut self, report: &BackendReport) {
        let is_of = |other: &BackendReport| other.is_same_incarnation(report);
        if self.rival.as_ref().is_some_and(is_of) {
            self.rival = None;
        }
    }

    /// Returns the last report, including a restored one.
    pub fn last(&self) -> Option<&BackendReport> {
        self.last.as_ref()
    }

    /// Returns the last report if the backend server accepts requests: it is ready, has reported
    /// within `max_age`, no record of an earlier process is awaited, and the report is known not
    /// to be older than a departure which that process has acknowledged.
    pub fn serving(&self, max_age: Duration, now: Timestamp) -> Option<&BackendReport> {
        let last = self.fresh_ready_report(max_age, now);
        last.filter(|_| self.is_verified)
    }

    fn fresh_ready_report(&self, max_age: Duration, now: Timestamp) -> Option<&BackendReport> {
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
        let previous = self.last.replace(report.clone());
        let is_other = |previous: &BackendReport| !previous.is_same_incarnation(report);
        if let Some(previous) = previous.filter(is_other) {
            self.past.insert(&previous);
            self.past.remove(report);
            self.rival = None;
        }
        self.last_report_at = now;
        ReportEffect::Changed
    }
}
