//! The lavenderhatch daemon: all parts that own a thread or a socket.
//!
//! [`Daemon::spawn`] opens the blackboard, starts the controllers and binds three ports: for
//! callers, for other daemons, and for administration.
//!
//! - [`request`]: the path of a call, from the caller port to a back end.
//! - [`peer`]: links to other daemons, and the port on which they connect.
//! - [`controller`]: threads that read and write the blackboard.
//! - [`metrics`]: metrics and recent calls of this daemon.
//! - [`admin`]: status, configuration and metrics over HTTP.

pub mod admin;
pub mod controller;
mod daemon;
mod http;
pub mod metrics;
pub mod peer;
pub mod request;

pub use daemon::Daemon;
