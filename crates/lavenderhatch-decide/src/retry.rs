//! Which failed calls are tried again.

mod budget;
mod failed_attempt;

pub use budget::RetryTokens;
pub use failed_attempt::{FailedAttempt, RetryCost, retry_cost};
