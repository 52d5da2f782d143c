//! The exchange of requests and answers between callers, daemons and backend servers.
//!
//! [`CallerPort`] reads a request and [`Router`] chooses a backend server for each attempt. The
//! attempt sends the request to the local backend server ([`LocalBackend`]) or to another daemon,
//! whose [`PeerPort`] runs it on its own backend server.

mod answer_body;
mod attempt;
mod authentication;
mod call;
mod caller_port;
mod connection;
mod counted_request;
mod crash_headers;
mod crash_news;
mod hop_headers;
mod local_backend;
mod outstanding_request;
mod packed_headers;
mod peer_client;
mod peer_headers;
mod peer_port;
mod pipeline;
mod placement;
mod port;
mod ready_answer;
mod request_log;
mod router;
mod version_choice;
mod versions;

pub(crate) use caller_port::CallerPort;
pub(crate) use local_backend::LocalBackend;
pub(crate) use peer_port::PeerPort;
pub(crate) use port::serve_port;
pub(crate) use router::Router;
pub use versions::{VERSIONS_PATH, VersionsQuestion};

use lavenderhatch_decide::stable_hash::stable_hash;

/// Salt for hashing route names.
const CLASS_SALT: u64 = 0;

/// Returns the request class of a route. Service times are averaged by class.
fn request_class(route: &str) -> u64 {
    stable_hash(CLASS_SALT, route)
}
