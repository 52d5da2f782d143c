//! Decisions on the event-driven path of a request.

mod backend_state;
mod gate_queue;
mod long_requests;
mod next_step;
mod overload;
mod place;
mod retry_budget;
