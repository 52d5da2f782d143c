//! The result of an attempt to run a request on a backend server.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use lavenderhatch_core::ErrorKind;
use lavenderhatch_decide::relay::{AttemptEnd, Attempts};

use super::call::Call;
use crate::byte_holding::ReservationError;
use crate::io::BodyError;

/// Largest body of an answer, in bytes. Answers are kept whole, and a backend server in trouble may
/// send bytes without end in each of its slots.
pub(super) const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Retry delay that callers are advised of when no backend server of a service accepts requests.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry delay that callers are advised of when their request crashes backend servers. Longer than
/// any deadline, as another attempt is of no use before an operator has found the cause.
const QUARANTINED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Retry delay that callers are advised of when the memory of the daemon is in use. Bodies that
/// stand still give theirs back within about that time.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// The answer of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendAnswer {
    /// Status code that the backend server sent.
    pub(crate) status: StatusCode,
    /// Headers that the backend server sent, without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Time for which the request held its slot.
    pub(crate) service_time: Duration,
    /// Mean service time of requests of the same class at this backend server.
    pub(crate) mean_service_time: Duration,
    /// Part of the attempt's duration that was not spent at the backend server's daemon.
    pub(crate) delay: Duration,
}

/// The reason why an attempt has no answer from a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Error kind. Its outcome is "not run" only if the request certainly did not run.
    pub(crate) kind: ErrorKind,
    /// Whether the request reached a backend server.
    pub(crate) has_arrived: bool,
    /// Time after which another attempt may succeed.
    pub(crate) retry_after: Duration,
    /// Explanation for the log and for the caller.
    pub(crate) reason: String,
}

impl Failure {
    /// Creates the failure of a request that did not reach a backend server.
    pub(crate) fn before_arrival(kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            has_arrived: false,
            retry_after: Duration::ZERO,
            reason: reason.into(),
        }
    }

    /// Creates the failure of a request that reached a backend server. Whether it ran follows from
    /// `kind`.
    pub(crate) fn after_arrival(kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self {
            has_arrived: true,
            ..Self::before_arrival(kind, reason)
        }
    }

    /// Creates the failure of a request whose body was not read.
    pub(crate) fn unread_body(err: &BodyError) -> Self {
        let kind = match err {
            BodyError::TooLarge { .. } | BodyError::NoRoom(ReservationError::NeverFits) => {
                ErrorKind::TooLarge
            }
            BodyError::NoRoom(_) => ErrorKind::OutOfMemory,
            BodyError::Failed(_) | BodyError::TimedOut => ErrorKind::BadRequest,
        };
        Self {
            retry_after: NO_ROOM_RETRY_AFTER,
            ..Self::before_arrival(kind, err.to_string())
        }
    }

    /// Creates the failure of a request for a service none of whose backend servers can take it.
    pub(crate) fn no_backend(service: &str) -> Self {
        Self {
            retry_after: NO_BACKEND_RETRY_AFTER,
            ..Self::before_arrival(
                ErrorKind::NoBackend,
                format!("no backend server of {service} takes requests"),
            )
        }
    }

    /// Creates the failure of a request that has crashed backend servers.
    pub(crate) fn quarantined() -> Self {
        let reason = "backend servers have crashed under this request";
        Self {
            retry_after: QUARANTINED_RETRY_AFTER,
            ..Self::before_arrival(ErrorKind::Quarantined, reason)
        }
    }

    /// Creates the failure of a request whose client account is beyond its limit.
    pub(crate) fn over_quota(retry_after: Duration) -> Self {
        let reason = "the client account is beyond its limit of requests";
        Self {
            retry_after,
            ..Self::before_arrival(ErrorKind::QuotaExceeded, reason)
        }
    }

    /// Creates the failure of a request whose time has run out.
    pub(crate) fn timed_out(attempts: Attempts) -> Self {
        let reason = "the deadline or the route's timeout has passed";
        match attempts.placed {
            0 => Self::before_arrival(ErrorKind::DeadlineUnmeetable, reason),
            _ => Self::after_arrival(ErrorKind::DeadlinePassed, reason),
        }
    }

    /// Converts the failure of a message that runs nothing, such as a question.
    pub(crate) fn into_not_run(self) -> Self {
        let kind = match self.kind.is_not_run() {
            true => self.kind,
            false => ErrorKind::NoBackend,
        };
        Self {
            kind,
            has_arrived: false,
            ..self
        }
    }

    /// Returns how the attempt ended, as input to the decision on the next step.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self.kind.is_not_run() {
            true => AttemptEnd::NotRun {
                has_arrived: self.has_arrived,
            },
            false => AttemptEnd::Unknown,
        }
    }
}

/// The result of an attempt.
pub(crate) type AttemptResult = Result<BackendAnswer, Failure>;

/// The final result of a caller's request.
pub(crate) type RequestResult = AttemptResult;

/// Returns how an attempt ended and whether the request reached a backend server.
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

/// Whether an attempt that must not wait for a slot found none free.
pub(super) fn found_no_free_slot(call: &Call, result: &AttemptResult) -> bool {
    let Err(failure) = result else {
        return false;
    };
    failure.kind == ErrorKind::Overloaded && !failure.has_arrived && !call.may_wait
}
