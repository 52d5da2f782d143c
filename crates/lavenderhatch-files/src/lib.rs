//! Mesh files and settings in JSON with comments.
//!
//! A parse lists every fault of the whole input with file, line, column and a remedy.
//!
//! ```
//! use lavenderhatch_files::{Source, parse_mesh};
//!
//! let source = Source::new("mesh.jsonc", r#"{ "services": { "orders": { "slots": "x" } } }"#);
//! let faults = parse_mesh(&[source]).unwrap_err();
//! assert_eq!((faults[0].line, faults[0].column), (1, 38));
//! ```
//!
//! - [`mesh`]: the files that describe a mesh.
//! - [`settings`]: the settings of a daemon.
//! - [`diagnostic`]: faults with their place.

pub mod diagnostic;
mod document;
mod field;
pub mod mesh;
pub mod settings;
mod source;

pub use diagnostic::Diagnostic;
pub use mesh::{parse_mesh, render_mesh};
pub use settings::{Settings, parse_settings};
pub use source::{Source, read_dir, read_file};
