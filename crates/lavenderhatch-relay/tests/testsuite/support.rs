//! Daemons, callers and backend servers on loopback.

mod backend;
mod caller;
mod mesh;

pub(crate) use backend::{Backend, Reply};
pub(crate) use caller::{Caller, request};
pub(crate) use mesh::{Mesh, RouteSpec};

use std::net::{SocketAddr, TcpListener};

/// Longest time that a test waits for something that must happen.
pub(crate) const PATIENCE: std::time::Duration = std::time::Duration::from_secs(10);

/// An address on loopback that nobody uses.
pub(crate) fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
