//! How an attempt to have a request run ended.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use lavenderhatch_core::ErrorKind;
use lavenderhatch_decide::relay::AttemptEnd;

use super::call::Call;

/// The answer of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendAnswer {
    /// Status as the backend server gave it.
    pub(crate) status: StatusCode,
    /// Headers without those of the connection.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Time for which the request held its slot.
    pub(crate) service_time: Duration,
    /// Mean of such times for requests of its kind at this backend server.
    pub(crate) mean_service_time: Duration,
    /// Time that the attempt took beyond what the daemon beside the backend server saw of it.
    pub(crate) transit_time: Duration,
}

/// Why an attempt has no answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// What went wrong. Its outcome is "not run" only if the request certainly did not run.
    pub(crate) kind: ErrorKind,
    /// Whether a backend server has seen the request.
    pub(crate) has_arrived: bool,
    /// Time after which another attempt may succeed.
    pub(crate) retry_after: Duration,
    /// For the log.
    pub(crate) reason: String,
}

impl Failure {
    /// A request that no backend server has seen.
    pub(crate) fn before_arrival(kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            has_arrived: false,
            retry_after: Duration::ZERO,
            reason: reason.into(),
        }
    }

    /// A request that a backend server has seen. Whether it ran follows from `kind`.
    pub(crate) fn after_arrival(kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self {
            has_arrived: true,
            ..Self::before_arrival(kind, reason)
        }
    }

    /// What the decision on the next step needs.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self.kind.is_not_run() {
            true => AttemptEnd::NotRun {
                has_arrived: self.has_arrived,
            },
            false => AttemptEnd::Unknown,
        }
    }
}

/// The end of an attempt.
pub(crate) type AttemptResult = Result<BackendAnswer, Failure>;

/// What the decision on the next step needs, and whether a backend server has seen the request.
pub(super) fn attempt_end(result: &AttemptResult) -> (AttemptEnd, bool) {
    match result {
        Ok(answer) => {
            let is_server_error = answer.status.is_server_error();
            (AttemptEnd::Answered { is_server_error }, true)
        }
        Err(failure) => (failure.attempt_end(), failure.has_arrived),
    }
}

/// Whether a request with this result may have run.
pub(super) fn may_have_run(result: &AttemptResult) -> bool {
    result
        .as_ref()
        .err()
        .is_none_or(|failure| !failure.kind.is_not_run())
}

/// Whether an attempt that must not wait found no free slot.
pub(super) fn found_no_free_slot(call: &Call, result: &AttemptResult) -> bool {
    let Err(failure) = result else {
        return false;
    };
    failure.kind == ErrorKind::Overloaded && !failure.has_arrived && !call.may_wait
}
