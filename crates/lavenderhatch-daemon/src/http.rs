//! The HTTP/1.1 server for callers.
//!
//! It reads each request whole within one deadline, refuses framing that two readers could
//! understand differently, answers pipelined requests in order, announces that a connection ends
//! before it ends it, and answers callers beyond the connection limit at once. Section 9 of
//! docs/design.md says why oxhttp does not serve callers.

mod body;
mod conn;
mod fault;
mod head;
mod request;
mod response;
mod server;

pub(crate) use request::HttpRequest;
pub(crate) use response::HttpResponse;
pub(crate) use server::{Handler, HttpServer};
