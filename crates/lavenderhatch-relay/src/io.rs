//! Socket I/O: listeners, server connections and client connections.

mod body_reader;
mod bounded_stream;
mod client_conn;
mod client_error;
mod client_pool;
mod connect;
mod framing;
mod held_buffer;
mod listener;
mod outgoing_answer;
mod outgoing_answers;
mod send_queue;
mod server_stream;
mod write_stall;

pub use client_conn::ClientConn;
pub use client_error::ClientError;
pub use client_pool::{ClientAnswer, ClientPool, ExchangeOptions};
pub use connect::ClientTimeouts;
pub use framing::{ParsedHead, RequestHead, parse_head};
pub use listener::bind_listener;

pub(crate) use body_reader::{BodyError, BodyLimits, read_body};
pub(crate) use client_conn::OutgoingRequest;
pub(crate) use listener::{UNACKNOWLEDGED_TIMEOUT, accept_loop, configure_stream};
pub(crate) use outgoing_answer::OutgoingAnswer;
pub(crate) use server_stream::{HeadLimits, ReadAhead, ServerStream};
