//! Code shared by the measurement programs of lavenderhatch.
//!
//! - [`Fleet`]: daemon processes together with a platform stand-in.
//! - [`Summary`]: percentiles of a histogram.
//! - [`report`]: results of a run stored as JSON, to be compared with those of a later run.

mod fleet;
pub mod report;
mod summary;

pub use fleet::{Fleet, FleetNode, NodeOptions, wait_until};
pub use summary::Summary;
