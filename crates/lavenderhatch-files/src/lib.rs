//! Parsers for mesh files and daemon settings, which are written in JSON with comments.
//!
//! A parser reports all errors of its input, each with file, line, column and a remedy.
//!
//! ```
//! use lavenderhatch_files::{Source, parse_mesh};
//!
//! let source = Source::new("mesh.jsonc", r#"{ "services": { "orders": { "slots": "x" } } }"#);
//! let diagnostics = parse_mesh(&[source]).unwrap_err();
//! assert_eq!((diagnostics[0].line, diagnostics[0].column), (1, 38));
//! ```
//!
//! - [`mesh`]: the files that describe a mesh.
//! - [`settings`]: the settings of a daemon.
//! - [`diagnostic`]: errors in files, with their location.

pub mod diagnostic;
mod document;
mod field;
pub mod mesh;
pub mod settings;
mod source;

pub use diagnostic::Diagnostic;
pub use mesh::{parse_mesh, render_mesh};
pub use settings::{Settings, parse_settings};
pub use source::{Source, read_source_dir, read_source_file};
