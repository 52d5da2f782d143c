//! How an accepted version reaches each daemon.
//!
//! A daemon that is behind asks a member that is ahead for an update. The answer is built from a
//! log of recent changes, or is the whole mesh. What arrives is built aside, checked as a whole,
//! and published once.

mod delta_log;
mod evaluate;

pub use delta_log::{DELTA_LOG_CAPACITY, DeltaLog};
pub use evaluate::{Refusal, Step, evaluate_update};
