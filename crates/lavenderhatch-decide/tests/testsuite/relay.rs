//! Decisions on the event-driven request path.

mod backend_state;
mod choose_backend;
mod long_requests;
mod next_step;
mod overload;
mod retry_budget;
mod slot_queue;
