//! The answers that a connection has not delivered.

use std::collections::VecDeque;

use tracing::info;

use super::outgoing_answer::OutgoingAnswer;

/// The answers that a connection has not delivered, in the order in which they are sent.
#[derive(Debug, Default)]
pub(super) struct OutgoingAnswers {
    /// Answers whose bytes the kernel has not all taken.
    unwritten: VecDeque<OutgoingAnswer>,
    /// Number of answers at the front of `unwritten` that the HTTP layer has taken whole, so that
    /// its next flush writes their last bytes.
    buffered: usize,
    /// Bytes that the kernel has taken since the last answer that it has taken whole.
    written_bytes: usize,
    /// The last answer that the kernel has taken whole, while the daemon drains. Its delivery
    /// implies that of the answers before it.
    unacknowledged: Option<OutgoingAnswer>,
}

impl OutgoingAnswers {
    /// Adds an answer that is ready.
    pub(super) fn push(&mut self, answer: OutgoingAnswer) {
        self.unwritten.push_back(answer);
    }

    /// Records that the HTTP layer has taken the next answer whole.
    pub(super) fn count_buffered(&mut self) {
        self.buffered += 1;
    }

    /// Records that the kernel has taken this number of bytes.
    pub(super) fn count_written(&mut self, bytes: usize) {
        self.written_bytes += bytes;
    }

    /// Records that the kernel has taken all bytes that the HTTP layer had.
    ///
    /// Keeps the last answer if `is_draining`: the process must not end before it is acknowledged.
    pub(super) fn flushed(&mut self, is_draining: bool) {
        let buffered = self.buffered.min(self.unwritten.len());
        self.buffered = 0;
        let Some(last) = self.unwritten.drain(..buffered).next_back() else {
            return;
        };
        self.written_bytes = 0;
        self.unacknowledged = is_draining.then_some(last);
    }

    /// Whether an answer that the kernel has taken is known to be unacknowledged.
    pub(super) fn has_unacknowledged(&self) -> bool {
        self.unacknowledged.is_some()
    }

    /// Keeps an answer that the kernel has taken until it is acknowledged.
    pub(super) fn set_unacknowledged(&mut self, answer: OutgoingAnswer) {
        self.unacknowledged = Some(answer);
    }

    /// Records that the other side has acknowledged all bytes that the kernel had taken.
    pub(super) fn acknowledged(&mut self) {
        self.unacknowledged = None;
    }

    /// Logs the answers that were not delivered. `unacknowledged_bytes` of the bytes that were
    /// written have not arrived at the other side.
    pub(super) fn log(&self, unacknowledged_bytes: usize) {
        if let Some(answer) = &self.unacknowledged {
            log_undelivered(answer, answer.body_bytes, unacknowledged_bytes);
        }
        // Answers are written one after the other.
        let mut written_bytes = self.written_bytes;
        for answer in &self.unwritten {
            log_undelivered(answer, written_bytes, unacknowledged_bytes);
            written_bytes = 0;
        }
    }
}

fn log_undelivered(answer: &OutgoingAnswer, written_bytes: usize, unacknowledged_bytes: usize) {
    info!(
        id = answer.id(),
        body_bytes = answer.body_bytes,
        written_bytes,
        unacknowledged_bytes,
        "port: answer not delivered"
    );
}
