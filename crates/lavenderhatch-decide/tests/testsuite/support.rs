//! Simulated members with a simulated clock, and meshes for them.

mod fleet;
mod mesh;

pub(crate) use fleet::{Fleet, node, record};
pub(crate) use mesh::{mesh, snapshot};
