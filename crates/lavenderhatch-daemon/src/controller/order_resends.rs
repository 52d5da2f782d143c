//! Repeated delivery of order outcomes, whose messages are not acknowledged.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::message::OutcomeRecord;

/// Delays after which an outcome is sent again.
///
/// The last delay exceeds the time for which an owner may hold an outcome before it writes it (4 s)
/// plus the time in which the failure of an owner is detected (4 s).
const RESEND_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// Queue of outcomes that are due to be sent again.
#[derive(Debug, Default)]
pub(super) struct Resends {
    /// One queue per delay, each in order of its due times.
    queues: [VecDeque<(Timestamp, OutcomeRecord)>; RESEND_DELAYS.len()],
}

impl Resends {
    /// Schedules the resends of an outcome that was first sent at `now`.
    pub(super) fn push(&mut self, record: OutcomeRecord, now: Timestamp) {
        for (queue, delay) in self.queues.iter_mut().zip(RESEND_DELAYS) {
            queue.push_back((now + delay, record.clone()));
        }
    }

    /// Removes and returns an outcome that is due.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<OutcomeRecord> {
        let is_due = |queue: &&mut VecDeque<(Timestamp, OutcomeRecord)>| {
            queue.front().is_some_and(|(due, _)| *due <= now)
        };
        let queue = self.queues.iter_mut().find(is_due)?;
        queue.pop_front().map(|(_, record)| record)
    }
}
