//! Which failed calls are tried again.

mod budget;
mod failure;

pub use budget::RetryTokens;
pub use failure::{Failure, RetryCost, retry_cost};
