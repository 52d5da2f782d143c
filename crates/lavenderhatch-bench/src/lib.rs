//! What the measurement programs of lavenderhatch share.
//!
//! - [`Fleet`]: daemons as processes with a platform stand-in and back-end stand-ins.
//! - [`Summary`]: percentiles of a histogram.
//! - [`report`]: results as a table and as JSON, beside those of an earlier run.

mod fleet;
pub mod report;
mod summary;

pub use fleet::{Fleet, FleetNode, NodeOptions, wait_until};
pub use summary::Summary;
