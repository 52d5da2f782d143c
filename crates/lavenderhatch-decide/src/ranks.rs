//! Admission by rank, the adaptive concurrency limit, and retry delays for refused callers.

mod advice;
mod limit;
mod policy;
mod queue;
mod rank_queue;
mod service_time;
mod share_window;

pub use advice::{Backoff, advise_delay_ms};
pub use limit::{AdaptiveLimit, LatencySample};
pub use policy::{RankPolicy, RankTable};
pub use queue::{AdmissionQueue, Granted, Refused, Request};
