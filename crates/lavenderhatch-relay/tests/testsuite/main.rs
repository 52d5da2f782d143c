//! Tests of the path of a request, with daemons, callers and backend servers on loopback.

#![allow(clippy::unwrap_used)]

mod answers;
mod cancel;
mod endpoint_stats;
mod leaving;
mod limits;
mod pipeline;
mod retries;
mod support;
