//! Tests of the request path, with daemons, callers and backend servers on loopback addresses.

#![allow(clippy::unwrap_used)]

mod accounts;
mod answers;
mod cancel;
mod crashes;
mod departures;
mod endless_answers;
mod endpoint_stats;
mod heads;
mod held_bytes;
mod large_bodies;
mod leaving;
mod limits;
mod malformed;
mod pipeline;
mod quotas;
mod rate_limits;
mod retries;
mod support;
