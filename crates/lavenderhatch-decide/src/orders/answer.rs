//! Answers to calls whose order does not run on their behalf.

use lavenderhatch_core::call::{CallResponse, Header};
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::{Error, ErrorKind};

use crate::message::{ClaimVerdict, RecordedOutcome};

/// Name of the header that marks a recorded answer.
///
/// Its value is `whole`, or `status` if the body is no longer kept.
pub const RECORDED_HEADER: &str = "lavenderhatch-recorded";

/// The answer to a call whose claim got this verdict. `None` if the order may run.
pub fn answer_for_verdict(verdict: &ClaimVerdict) -> Option<Result<CallResponse, Error>> {
    let refusal = |kind, message: &str| Some(Err(Error::new(kind, message)));
    match verdict {
        ClaimVerdict::Granted => None,
        ClaimVerdict::Recorded(outcome) => Some(Ok(recorded_answer(outcome))),
        ClaimVerdict::InFlight => refusal(
            ErrorKind::KeyInFlight,
            "an order with this key is running elsewhere",
        ),
        ClaimVerdict::Conflict => refusal(
            ErrorKind::KeyConflict,
            "this key was used with another request",
        ),
        ClaimVerdict::Unavailable => refusal(
            ErrorKind::ClaimUnavailable,
            "the claim could not be written",
        ),
        ClaimVerdict::Unknown => refusal(
            ErrorKind::OutcomeUnknown,
            "it cannot be told whether an order with this key ran",
        ),
    }
}

/// The answer for an order that ran and of which only the status is kept.
pub fn recorded_answer(outcome: &RecordedOutcome) -> CallResponse {
    CallResponse {
        status: outcome.status,
        headers: vec![recorded_header("status")],
        body: Vec::new(),
        outcome: Outcome::Ran,
        error: None,
        retry_after_ms: None,
        is_retry_exhausted: false,
    }
}

/// The header that marks a recorded answer.
pub(super) fn recorded_header(value: &str) -> Header {
    Header {
        name: RECORDED_HEADER.to_owned(),
        value: value.to_owned(),
    }
}
