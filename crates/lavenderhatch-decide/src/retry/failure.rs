//! What may be retried.

use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::CallResponse;

/// Status of a back end that sheds load.
const STATUS_UNAVAILABLE: u16 = 503;

/// A failed attempt at a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The error; `None` for a back end that answered that it is overloaded.
    pub kind: Option<ErrorKind>,
    /// Whether running the call twice does the same as running it once.
    pub is_idempotent: bool,
    /// Whether a hop below has already decided on the retries of this call.
    pub is_retry_exhausted: bool,
}

impl Failure {
    /// An attempt that ended in an error.
    pub fn of_error(kind: ErrorKind, is_idempotent: bool, is_retry_exhausted: bool) -> Self {
        Self {
            kind: Some(kind),
            is_idempotent,
            is_retry_exhausted,
        }
    }

    /// An attempt that a back end answered, or `None` if the answer is no refusal.
    ///
    /// Whether a back end ran a request that it answers with 503 is not known, so only idempotent
    /// requests are concerned.
    pub fn of_answer(answer: &CallResponse, is_idempotent: bool) -> Option<Self> {
        let is_refusal = is_idempotent && answer.status == STATUS_UNAVAILABLE;
        is_refusal.then_some(Self {
            kind: None,
            is_idempotent,
            is_retry_exhausted: answer.is_retry_exhausted,
        })
    }
}

/// What a retry takes from the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCost {
    /// One token.
    Token,
    /// Nothing: a backend server that is leaving sends calls elsewhere without a fault of theirs,
    /// and a rolling replacement must not use up the budget.
    Free,
}

/// The cost of a retry, or `None` if the call must not be retried.
pub fn retry_cost(failure: &Failure) -> Option<RetryCost> {
    if failure.is_retry_exhausted {
        return None;
    }
    match failure.kind {
        None => Some(RetryCost::Token),
        Some(ErrorKind::Leaving) => Some(RetryCost::Free),
        Some(kind) if is_worth_retrying(kind, failure.is_idempotent) => Some(RetryCost::Token),
        Some(_) => None,
    }
}

/// Whether another backend server may answer what this one did not.
fn is_worth_retrying(kind: ErrorKind, is_idempotent: bool) -> bool {
    use ErrorKind::{
        BackendFailed, DeadlineUnmeetable, NoBackend, NotReady, OutcomeUnknown, Overloaded,
    };
    match kind {
        Overloaded | DeadlineUnmeetable | NoBackend | NotReady => true,
        BackendFailed | OutcomeUnknown => is_idempotent,
        _ => false,
    }
}
