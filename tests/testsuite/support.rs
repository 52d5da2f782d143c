//! Test fixtures: a platform stand-in, back-end stand-ins, and daemon processes on loopback
//! addresses.

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
