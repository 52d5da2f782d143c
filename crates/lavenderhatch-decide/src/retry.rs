//! Decisions on which failed calls are retried, when, and which reads are repeated, and the retry
//! budget.

mod backoff;
mod budget;
mod failed_attempt;
mod hedged_call;

pub use backoff::Backoff;
pub use budget::RetryTokens;
pub use failed_attempt::{FailedAttempt, RetryCost, retry_cost};
pub use hedged_call::HedgedCall;
