//! Outcomes that have not been written to the log yet.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::super::range_log::LogRecord;
use super::waiting::drain_front;

/// How long outcomes wait to share a commit with claims. If the owner dies in this time they are
/// not lost, because executors repeat their reports.
const MAX_OUTCOME_DELAY: Duration = Duration::from_secs(4);
/// Maximum number of outcomes in one commit.
const MAX_BATCH_OUTCOMES: usize = 1000;

/// Outcomes that have not been written to the log yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct PendingOutcomes {
    records: Vec<LogRecord>,
    oldest_since: Timestamp,
}

impl PendingOutcomes {
    pub(super) fn push(&mut self, record: LogRecord, now: Timestamp) {
        if self.records.contains(&record) {
            return;
        }
        if self.records.is_empty() {
            self.oldest_since = now;
        }
        self.records.push(record);
    }

    /// When the outcomes are to be written even without claims.
    pub(super) fn due_at(&self) -> Option<Timestamp> {
        (!self.records.is_empty()).then(|| self.oldest_since + MAX_OUTCOME_DELAY)
    }

    pub(super) fn take_batch(&mut self) -> Vec<LogRecord> {
        drain_front(&mut self.records, MAX_BATCH_OUTCOMES)
    }

    /// Returns a batch that was not written to the front of the queue.
    pub(super) fn return_batch(&mut self, mut batch: Vec<LogRecord>) {
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
