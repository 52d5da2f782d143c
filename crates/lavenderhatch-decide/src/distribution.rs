//! How an accepted version reaches each daemon.
//!
//! A daemon that is behind asks a member that is ahead for an update. The answer is built from a
//! log of recent changes, or is the whole mesh. What arrives is built aside, checked as a whole,
//! and published once.

mod delta_log;
mod evaluate;
mod puller;
mod readers;
mod transfers;

pub use delta_log::{DELTA_LOG_CAPACITY, DeltaLog};
pub use evaluate::{Refusal, Step, evaluate_update};
pub use puller::{Pull, PullResult, Puller};
pub use readers::{READERS_PER_ZONE, ReaderRole, reader_backoff, reader_role, zone_readers};
pub use transfers::{MAX_TRANSFERS, Transfers};
