//! From a caller's request to its answer.
//!
//! The caller port reads a request, [`Router`] places it, and an attempt hands it to the backend
//! server beside this daemon ([`LocalBackend`]) or to another daemon, whose peer port
//! runs it on its own backend server.

mod attempt;
mod call;
mod caller_port;
mod connection;
mod hop_headers;
mod local_backend;
mod peer_client;
mod peer_headers;
mod peer_port;
mod pipeline;
mod port;
mod request_log;
mod router;

pub(crate) use caller_port::CallerPort;
pub(crate) use local_backend::LocalBackend;
pub(crate) use peer_port::PeerPort;
pub(crate) use port::serve_port;
pub(crate) use router::Router;

use lavenderhatch_decide::stable_hash::stable_hash;

/// Salt of the hashes of route names.
const CLASS_SALT: u64 = 0;

/// The kind of a request, for its service time.
fn request_class(route: &str) -> u64 {
    stable_hash(CLASS_SALT, route)
}
