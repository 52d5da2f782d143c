//! From a caller's request to its answer.
//!
//! The caller port reads a request, [`Origin`] places it, and an attempt hands it to the backend
//! server beside this daemon ([`BackendLeg`]) or to another daemon, whose peer port
//! runs it on its own backend server.

mod attempt;
mod backend_leg;
mod call;
mod caller_port;
mod connection;
mod hop_headers;
mod origin;
mod peer_headers;
mod peer_leg;
mod peer_port;
mod pipeline;
mod port;
mod request_log;

pub(crate) use backend_leg::BackendLeg;
pub(crate) use caller_port::CallerPort;
pub(crate) use origin::Origin;
pub(crate) use peer_port::PeerPort;
pub(crate) use port::serve_port;

use lavenderhatch_decide::stable_hash::stable_hash;

/// Salt of the hashes of route names.
const CLASS_SALT: u64 = 0;

/// The kind of a request, for its service time.
fn class_of(route: &str) -> u64 {
    stable_hash(CLASS_SALT, route)
}
