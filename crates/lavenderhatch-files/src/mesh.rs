//! The files that define a mesh.
//!
//! Each file contains an object with any of the keys `services`, `routes`, `ranks`, `stops` and
//! `limits`. The files form one set, which is accepted or rejected as a whole.

mod reader;
mod render;
mod schema;

use lavenderhatch_core::Mesh;

use crate::diagnostic::Diagnostic;
use crate::source::Source;

pub use render::render_mesh;

/// Parses and validates a set of files as a whole. On failure, returns the errors of all files in
/// the order of their locations.
pub fn parse_mesh(sources: &[Source]) -> Result<Mesh, Vec<Diagnostic>> {
    let mut reader = reader::MeshReader::default();
    for source in sources {
        reader.read(source);
    }
    reader.finish()
}
