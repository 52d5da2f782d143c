//! Sockets: ports, connections of callers and connections to other programs.

mod caller_stream;
mod client_conn;
mod client_error;
mod client_pool;
mod connect;
mod framing;
mod listener;

pub use client_conn::ClientConn;
pub use client_error::ClientError;
pub use client_pool::ClientPool;
pub use connect::ClientTimeouts;
pub use listener::bind_listener;

pub(crate) use caller_stream::{CallerStream, ReadAhead};
pub(crate) use listener::{accept_loop, configure_stream};
