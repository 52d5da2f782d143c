//! The path of a call.
//!
//! The caller port reads a request whole, [`RequestPath`] finds its route and a backend server, and
//! the call runs on the back end beside this daemon or is handed to the daemon of another backend
//! server. The path loads snapshots and atomics and takes no lock that a controller holds.

pub mod admission_gate;
mod backend;
mod caller_port;
mod carry;
mod local_leg;
mod observer;
mod order;
mod order_keys;
mod path;
mod retry_budget;
mod route;

pub use backend::{Backend, HttpBackend};
pub use caller_port::CallerPort;
pub use carry::CarryWorkers;
pub use observer::CallObserver;
pub use order::OrderClient;
pub use path::{IncomingRequest, PeerCaller, RequestPath};
