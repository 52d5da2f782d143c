//! Runs calls on the local back end.

use std::time::Duration;

use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_core::{Error, ErrorKind};

use super::admission_gate::{DecidedCall, ForwardedCall, SlotPermit};
use super::backend::Backend;
use super::path::{CallForwarder, RequestPath, not_ready_error};

impl<B: Backend, L: CallForwarder> RequestPath<B, L> {
    /// Waits for a slot, which blocks this thread, and runs the call.
    pub(super) fn admit_and_run(
        &self,
        call: &StoredCall,
        time_left: Duration,
    ) -> Result<CallResponse, Error> {
        self.check_serving()?;
        let deadline = self.gate.deadline(time_left);
        let permit = self.gate.acquire(&call.rank, deadline)?;
        self.run_with_permit(call, permit)
    }

    /// Admits or refuses a forwarded call. Returns `None` if it waits in the admission queue.
    pub(super) fn admit_forwarded(&self, call: Box<ForwardedCall>) -> Option<DecidedCall> {
        if let Err(err) = self.check_serving() {
            return Some(DecidedCall {
                call,
                admission: Err(err),
            });
        }
        let time_left = Duration::from_millis(call.req.call.time_left_ms);
        let deadline = self.gate.deadline(time_left);
        self.gate.admit_forwarded(call, deadline)
    }

    /// Refuses new work while this backend server is leaving.
    fn check_serving(&self) -> Result<(), Error> {
        // Without a configuration, this daemon does not know its own planned stops.
        if self.board.config.load().is_none() {
            return Err(not_ready_error());
        }
        match self.board.drains.load().is_leaving() {
            true => Err(self.leaving_error()),
            false => Ok(()),
        }
    }

    /// Runs a call that holds a slot.
    pub(super) fn run_with_permit(
        &self,
        call: &StoredCall,
        permit: SlotPermit,
    ) -> Result<CallResponse, Error> {
        let time_left = permit.time_left();
        if time_left.is_zero() {
            let message = "the deadline passed before a slot was free";
            return Err(Error::new(ErrorKind::DeadlineUnmeetable, message));
        }
        let result = self.backend.run(&call.view(), time_left);
        permit.finish(is_backend_failure(&result));
        result
    }
}

/// Returns whether the result is a failure of the back end. Failures lower the concurrency limit.
fn is_backend_failure(result: &Result<CallResponse, Error>) -> bool {
    match result {
        // The back end passes on a refusal by another service, which is no failure of its own.
        Ok(answer) => answer.status >= 500 && !answer.is_retry_exhausted,
        Err(_) => true,
    }
}
