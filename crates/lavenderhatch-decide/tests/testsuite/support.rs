//! Simulated members with a simulated clock, meshes for them, and pseudo-random numbers.

mod fleet;
mod mesh;
mod random;

pub(crate) use fleet::{Fleet, node, record};
pub(crate) use mesh::{mesh, snapshot};
pub(crate) use random::Random;
