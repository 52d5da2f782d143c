//! Decision on which backend servers may be chosen for a service, and with what weight.
//!
//! A backend server that returns starts with a low weight, and one that performs worse than the
//! others of its service is ejected for a limited time. Both depend only on the calls that this
//! daemon has observed; reports of health and load endpoints neither eject a backend server nor
//! readmit it.

mod call_stats;
mod ejection;
mod outlier;
mod tracker;
mod weight;

pub use call_stats::{CallStats, counts_as_failure};
pub use ejection::Ejection;
pub use outlier::find_outliers;
pub use tracker::{EjectedEndpoint, EndpointTracker};
pub use weight::slow_start_weight;
