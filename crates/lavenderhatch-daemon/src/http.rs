//! The HTTP/1.1 server for callers, built on hyper.
//!
//! It reads each whole request within one timeout, announces the end of a connection before closing
//! it, and refuses connections beyond the limit at once. Section 9 of docs/design.md explains why
//! oxhttp does not serve callers.

mod flush;
mod request;
mod response;
mod server;

pub(crate) use request::HttpRequest;
pub(crate) use response::HttpResponse;
pub(crate) use server::{Handler, HttpServer};
