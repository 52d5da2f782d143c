//! Outcomes on their way into the log.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::super::range_log::LogRecord;
use super::waiting::drain_front;

/// Time that outcomes wait for a commit that holds claims. Executors report an outcome again later,
/// so that it is not lost with an owner that dies meanwhile.
const OUTCOME_DELAY: Duration = Duration::from_secs(4);
/// Most outcomes in one commit.
const MAX_OUTCOMES: usize = 1000;

/// Outcomes that are not in the log yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    records: Vec<LogRecord>,
    since: Timestamp,
}

impl Outcomes {
    pub(super) fn push(&mut self, record: LogRecord, now: Timestamp) {
        if self.records.contains(&record) {
            return;
        }
        if self.records.is_empty() {
            self.since = now;
        }
        self.records.push(record);
    }

    /// When they are written even if no claim is.
    pub(super) fn due_at(&self) -> Option<Timestamp> {
        (!self.records.is_empty()).then(|| self.since + OUTCOME_DELAY)
    }

    pub(super) fn take_batch(&mut self) -> Vec<LogRecord> {
        drain_front(&mut self.records, MAX_OUTCOMES)
    }

    /// Takes back a batch that was not written.
    pub(super) fn put_back(&mut self, mut batch: Vec<LogRecord>) {
        batch.append(&mut self.records);
        self.records = batch;
    }

    pub(super) fn retain(&mut self, is_kept: impl FnMut(&LogRecord) -> bool) {
        self.records.retain(is_kept);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &LogRecord> {
        self.records.iter()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
