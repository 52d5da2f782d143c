//! Members in one process, driven with the time as argument.

mod fleet;
mod mesh;

pub(crate) use fleet::{Fleet, node, record};
pub(crate) use mesh::{mesh, snapshot};
