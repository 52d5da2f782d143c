//! Daemons, callers and backend servers on loopback.

mod backend;
mod caller;
mod mesh;

pub(crate) use backend::{Backend, Reply};
pub(crate) use caller::{Caller, request};
pub(crate) use mesh::{Mesh, RouteSpec};

use std::net::SocketAddr;

use lavenderhatch_standin::next_loopback_ip;

/// Longest time that a test waits for something that must happen.
pub(crate) const TEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Port of each daemon; they differ by address.
const PORT: u16 = 7000;

/// An address on loopback that nobody uses, also not while a daemon starts anew.
pub(crate) fn free_addr() -> SocketAddr {
    (next_loopback_ip(), PORT).into()
}
