//! Decision on which failed calls are retried, and the retry budget.

mod budget;
mod failed_attempt;

pub use budget::RetryTokens;
pub use failed_attempt::{FailedAttempt, RetryCost, retry_cost};
