//! Fixtures: a platform stand-in, back-end stand-ins and daemons as processes on loopback.

mod callers;
mod cluster;
mod poll;
mod raw;
mod script;

pub(crate) use callers::{Call, Callers};
pub(crate) use cluster::{Cluster, Node};
pub(crate) use poll::poll;
pub(crate) use raw::RawCaller;
pub(crate) use script::{Shell, read_blocks};
