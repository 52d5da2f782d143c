//! Decisions on the event-driven request path.
//!
//! - [`BackendState`]: the last report of a backend server, and which reports are out of date.
//! - [`ByteBudget`]: how many bytes of requests and answers are held, and whose body is refused or
//!   given up when they are too many.
//! - [`ConnectionTable`]: which connection gives way to a new one.
//! - [`FirstAttemptEstimator`]: how long ago a caller first sent a request.
//! - [`KeyWithdrawal`]: which requests with an API key run while the configuration may be out of
//!   date.
//! - [`LinkBacklog`]: how many bodies may be on their way to a daemon over the link of its machine.
//! - [`SlotQueue`]: which request gets the next free slot of a backend server, and which is
//!   refused.
//! - [`choose_backend()`]: which backend server a request is sent to.
//! - [`ConcurrencyLimit`]: how many requests a backend server takes well at the same time.
//! - [`ExchangeSizes`]: how many bytes a request and its answer are expected to have.
//! - [`may_wait`]: whether an attempt may wait for a slot or must try another backend server first.
//! - [`next_step()`]: whether a request is retried after an attempt has ended.
//! - [`RateLimiter`]: how many requests may start in a second at a backend server in need.
//! - [`RetryBudget`]: how many requests may be retried.

mod backend_report;
mod backend_state;
mod byte_budget;
mod byte_budget_limits;
mod byte_holder;
mod choose_backend;
mod concurrency_limit;
mod connection_table;
mod curve_estimate;
mod demand;
mod exchange_sizes;
mod first_attempt_estimator;
mod key_withdrawal;
mod link_backlog;
mod next_step;
mod past_incarnations;
mod rank_loads;
mod rate_limiter;
mod report_effect;
mod retry_budget;
mod service_times;
mod slot_queue;
mod slowdown_curve;

pub use backend_report::{BackendPhase, BackendReport};
pub use backend_state::BackendState;
pub use byte_budget::{ByteBudget, Changes, Reservation};
pub use byte_budget_limits::{ByteBudgetLimits, CONNECTION_BYTES, MemoryTooSmall, SMALL_BYTES};
pub use byte_holder::{ByteUse, HolderId};
pub use choose_backend::{Candidate, Need, choose_backend};
pub use concurrency_limit::ConcurrencyLimit;
pub use connection_table::{
    ConnectionAdmission, ConnectionId, ConnectionLimits, ConnectionTable, ConnectionUse,
    TooFewDescriptors,
};
pub use demand::Demand;
pub use exchange_sizes::ExchangeSizes;
pub use first_attempt_estimator::FirstAttemptEstimator;
pub use key_withdrawal::{KeyWithdrawal, current_until_by_answer, current_until_by_watch};
pub use link_backlog::LinkBacklog;
pub use next_step::{AttemptEnd, Attempts, NextStep, may_wait, next_step};
pub use rate_limiter::RateLimiter;
pub use report_effect::ReportEffect;
pub use retry_budget::RetryBudget;
pub use service_times::ServiceTimes;
pub use slot_queue::{Refusal, SlotQueue, Ticket};
