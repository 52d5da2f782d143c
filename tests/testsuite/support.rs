//! Fixtures: a platform stand-in, back-end stand-ins and daemons as processes on loopback.

mod cluster;
mod poll;

pub(crate) use cluster::{Cluster, Node};
pub(crate) use poll::poll;
