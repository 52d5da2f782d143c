//! The files that describe a mesh.
//!
//! Each file holds an object with any of the keys `services`, `routes`, `ranks`, `stops` and
//! `limits`. Together the files are one set, which is accepted or rejected as a whole.

mod reader;
mod render;
mod tables;

use lavenderhatch_core::Mesh;

use crate::diagnostic::Diagnostic;
use crate::source::Source;

pub use render::render_mesh;

/// Parses and checks a set of files as a whole. On failure all faults of all files are listed in
/// the order of their places.
pub fn parse_mesh(sources: &[Source]) -> Result<Mesh, Vec<Diagnostic>> {
    let mut reader = reader::MeshReader::default();
    for source in sources {
        reader.read(source);
    }
    reader.finish()
}
