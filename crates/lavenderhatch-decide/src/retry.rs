//! Decisions on which failed calls are retried and which reads are repeated, and the retry budget.

mod budget;
mod failed_attempt;
mod hedged_read;

pub use budget::RetryTokens;
pub use failed_attempt::{FailedAttempt, RetryCost, retry_cost};
pub use hedged_read::HedgedRead;
