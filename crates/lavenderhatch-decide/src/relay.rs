//! Decisions on the event-driven path of a request.
//!
//! - [`BackendState`]: what a backend server last said of itself, and which reports are out of date.
//! - [`DeadlineSpans`]: how long ago a caller first sent a request.
//! - [`GateQueue`]: which request gets the next free slot of a backend server, and which is refused.
//! - [`place`]: which backend server a request goes to.
//! - [`may_wait`]: whether a request waits where it was sent, or looks elsewhere first.
//! - [`next_step`]: whether a request is sent once more after an attempt has ended.
//! - [`RetryBudget`]: how many requests may be sent once more.

mod backend_state;
mod deadline_spans;
mod demand;
mod gate_queue;
mod next_step;
mod place;
mod rank_loads;
mod retry_budget;
mod service_times;

pub use backend_state::{BackendPhase, BackendReport, BackendState, Heard};
pub use deadline_spans::DeadlineSpans;
pub use demand::Demand;
pub use gate_queue::{GateQueue, Refusal, Ticket};
pub use next_step::{AttemptEnd, Attempts, NextStep, may_wait, next_step};
pub use place::{Candidate, place};
pub use retry_budget::RetryBudget;
pub use service_times::ServiceTimes;
