//! Ends connections whose other side does not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep};

use crate::byte_holding::SharedByteBudget;

/// Time without a written byte after which a connection ends while others wait for its memory.
const CONTENDED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without a written byte after which a connection ends in any case, as long as the default
/// time for which a connection may be idle. The kernel's limit on unacknowledged bytes does not
/// apply, because it counts the answers to its probes.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Measures how long the other side of a connection has read nothing.
#[derive(Debug)]
pub(super) struct WriteStall {
    budget: SharedByteBudget,
    /// Time of the first write that did not complete since the last one that did, and the timer
    /// until the next check.
    pending: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl WriteStall {
    pub(super) fn new(budget: SharedByteBudget) -> Self {
        Self {
            budget,
            pending: None,
        }
    }

    /// Takes the result of a write. Returns an error instead of a pending write that has lasted for
    /// too long.
    pub(super) fn check(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.pending = None;
            return written;
        }
        loop {
            let (since, timer) = self
                .pending
                .get_or_insert_with(|| (Instant::now(), Box::pin(sleep(CONTENDED_TIMEOUT))));
            ready!(timer.as_mut().poll(cx));
            let limit = match self.budget.is_contended() {
                true => CONTENDED_TIMEOUT,
                false => TIMEOUT,
            };
            if since.elapsed() >= limit {
                let reason = "the other side does not read its answer";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
            }
            timer.as_mut().reset(Instant::now() + CONTENDED_TIMEOUT);
        }
    }
}
