//! The `endpoints` section: the backend servers that are eligible for calls to each service.

mod counters;
mod endpoints;

pub use counters::EndpointCounters;
pub use endpoints::{Endpoint, Endpoints, FULL_WEIGHT, ServiceEndpoints};
