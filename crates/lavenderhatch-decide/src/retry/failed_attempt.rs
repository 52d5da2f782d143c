//! Decision whether a failed attempt may be retried, and at what cost.

use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::CallResponse;

/// HTTP status of a back end that sheds load.
const STATUS_UNAVAILABLE: u16 = 503;

/// A failed attempt at a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Error of the attempt; `None` if the back end answered that it is overloaded.
    pub kind: Option<ErrorKind>,
    /// Whether running the call twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Whether a downstream hop has already made or denied the retries of this call.
    pub is_retry_exhausted: bool,
}

impl FailedAttempt {
    /// Creates a failed attempt that ended in an error.
    pub fn from_error(kind: ErrorKind, is_idempotent: bool, is_retry_exhausted: bool) -> Self {
        Self {
            kind: Some(kind),
            is_idempotent,
            is_retry_exhausted,
        }
    }

    /// Creates a failed attempt from the answer of a back end, or returns `None` if the answer is
    /// no refusal.
    ///
    /// Only an idempotent request can count as refused, because it is not known whether a back end
    /// ran a request that it answers with 503.
    pub fn from_answer(answer: &CallResponse, is_idempotent: bool) -> Option<Self> {
        let is_refusal = is_idempotent && answer.status == STATUS_UNAVAILABLE;
        is_refusal.then_some(Self {
            kind: None,
            is_idempotent,
            is_retry_exhausted: answer.is_retry_exhausted,
        })
    }
}

/// Cost of a retry to the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCost {
    /// One token.
    Token,
    /// No tokens. A backend server that is leaving refuses calls through no fault of theirs, and a
    /// rolling replacement must not exhaust the budget.
    Free,
}

/// Returns the cost of a retry, or `None` if the call must not be retried.
pub fn retry_cost(failure: &FailedAttempt) -> Option<RetryCost> {
    if failure.is_retry_exhausted {
        return None;
    }
    match failure.kind {
        None => Some(RetryCost::Token),
        Some(ErrorKind::Leaving) => Some(RetryCost::Free),
        Some(kind) if is_retryable(kind, failure.is_idempotent) => Some(RetryCost::Token),
        Some(_) => None,
    }
}

/// Whether another backend server may run the call after this error.
fn is_retryable(kind: ErrorKind, is_idempotent: bool) -> bool {
    use ErrorKind::{
        BackendFailed, DeadlineUnmeetable, NoBackend, NotReady, OutcomeUnknown, Overloaded,
    };
    match kind {
        Overloaded | DeadlineUnmeetable | NoBackend | NotReady => true,
        BackendFailed | OutcomeUnknown => is_idempotent,
        _ => false,
    }
}
