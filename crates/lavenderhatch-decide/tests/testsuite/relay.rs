//! Decisions on the event-driven request path.

mod backend_state;
mod byte_budget;
mod choose_backend;
mod concurrency_limit;
mod connection_table;
mod crossing;
mod first_attempt_estimator;
mod key_withdrawal;
mod link_backlog;
mod long_requests;
mod next_step;
mod overload;
mod rate_limiter;
mod retry_budget;
mod slot_queue;
