//! Distribution of accepted versions to all daemons.
//!
//! A daemon that is behind asks a member that is ahead for an update. The answer holds the changes
//! from a log of recent versions, or the whole mesh. The receiver builds a new snapshot from it,
//! checks the snapshot as a whole, and publishes it in one step.

mod coalescing_delay;
mod delta_log;
mod evaluate;
mod history_position;
mod puller;
mod readers;
mod transfer_limiter;
mod watch_wait;

pub use coalescing_delay::coalescing_delay;
pub use delta_log::{DELTA_LOG_CAPACITY, DeltaLog};
pub use evaluate::{UpdateAction, UpdateRefusal, evaluate_update};
pub use history_position::HistoryPosition;
pub use puller::{Pull, PullResult, Puller};
pub use readers::{READERS_PER_ZONE, ReaderRole, reader_backoff, reader_role, zone_readers};
pub use transfer_limiter::{MAX_TRANSFERS, TransferLimiter};
pub use watch_wait::{MAX_WATCH_WAIT, watch_wait};
