//! Incarnations of a backend server that were replaced or have left.

use std::collections::VecDeque;

use super::backend_report::BackendReport;

/// Number of incarnations that are kept. Late reports arrive within seconds, and a backend server
/// does not start more often than about once a second.
const CAPACITY: usize = 16;

/// An incarnation that is not the current one.
#[derive(Clone, Debug)]
struct PastIncarnation {
    /// Its last report, or the notice of its departure.
    last: BackendReport,
    /// Whether it has reported since it was replaced.
    has_reported_since: bool,
}

/// Memory of the incarnations that were replaced or have left, the latest last.
#[derive(Clone, Debug, Default)]
pub(super) struct PastIncarnations(VecDeque<PastIncarnation>);

impl PastIncarnations {
    /// Returns the last report of the incarnation of `report`.
    pub(super) fn get(&self, report: &BackendReport) -> Option<&BackendReport> {
        self.find(report).map(|past| &past.last)
    }

    /// Whether the incarnation of `report` has reported since it was replaced.
    pub(super) fn has_reported_since(&self, report: &BackendReport) -> bool {
        self.find(report)
            .is_some_and(|past| past.has_reported_since)
    }

    /// Remembers an incarnation by its last report. Forgets the oldest one beyond the capacity.
    pub(super) fn insert(&mut self, last: &BackendReport) {
        self.remove(last);
        self.0.push_back(PastIncarnation {
            last: last.clone(),
            has_reported_since: false,
        });
        if self.0.len() > CAPACITY {
            self.0.pop_front();
        }
    }

    /// Records a report of an incarnation that was replaced.
    pub(super) fn record_report(&mut self, report: &BackendReport) {
        let mut all = self.0.iter_mut();
        let found = all.find(|past| past.last.is_same_incarnation(report));
        if let Some(past) = found {
            past.last = report.clone();
            past.has_reported_since = true;
        }
    }

    /// Forgets the incarnation of `report`.
    pub(super) fn remove(&mut self, report: &BackendReport) {
        self.0.retain(|past| !past.last.is_same_incarnation(report));
    }

    fn find(&self, report: &BackendReport) -> Option<&PastIncarnation> {
        let mut all = self.0.iter();
        all.find(|past| past.last.is_same_incarnation(report))
    }
}
