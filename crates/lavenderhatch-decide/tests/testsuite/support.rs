//! A fleet of members in one process, with a simulated clock.

mod fleet;
mod mesh;

pub(crate) use fleet::{Fleet, node, record};
pub(crate) use mesh::{mesh, snapshot};
