//! The path of a call, from the caller port to a back end.
//!
//! The caller port reads a whole request, [`RequestPath`] finds its route and a backend server, and
//! the call runs on the local back end or is forwarded to the daemon of another backend server. The
//! path loads snapshots and atomics and takes no lock that a controller holds.

pub mod admission_gate;
mod backend;
mod caller_port;
mod forwarded_calls;
mod issued_keys;
mod local_execution;
mod observer;
mod order;
mod path;
mod retry_budget;
mod route;

pub use backend::{Backend, HttpBackend};
pub use caller_port::CallerPort;
pub use forwarded_calls::ForwardedCallWorkers;
pub use observer::CallObserver;
pub use order::OrderClient;
pub use path::{CallForwarder, IncomingRequest, RequestPath};
