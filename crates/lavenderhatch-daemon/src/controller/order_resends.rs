//! Outcomes that are reported again, because the message has no answer.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::message::OutcomeRecord;

/// Times after which an outcome is sent again. The last one is longer than an owner keeps an
/// outcome before it writes it (4 s) together with the time in which the failure of an owner is
/// noticed (4 s).
const RESEND_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// Outcomes that are to be sent again.
#[derive(Debug, Default)]
pub(super) struct Resends {
    /// One queue for each delay, oldest first.
    queues: [VecDeque<(Timestamp, OutcomeRecord)>; RESEND_DELAYS.len()],
}

impl Resends {
    /// Takes an outcome that was sent now.
    pub(super) fn push(&mut self, record: OutcomeRecord, now: Timestamp) {
        for (queue, delay) in self.queues.iter_mut().zip(RESEND_DELAYS) {
            queue.push_back((now + delay, record.clone()));
        }
    }

    /// An outcome whose time has come.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<OutcomeRecord> {
        let is_due = |queue: &&mut VecDeque<(Timestamp, OutcomeRecord)>| {
            queue.front().is_some_and(|(due, _)| *due <= now)
        };
        let queue = self.queues.iter_mut().find(is_due)?;
        queue.pop_front().map(|(_, record)| record)
    }
}
