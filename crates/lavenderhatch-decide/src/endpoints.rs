//! Which backend servers may be chosen for a service, and with which weight.
//!
//! A backend server that returns starts slowly, and one that does worse than the others of its
//! service is ejected for a while. Both follow from what this daemon has itself observed of calls;
//! what health and load endpoints report neither ejects a backend server nor lets it back.

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
