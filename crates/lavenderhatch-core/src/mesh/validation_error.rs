//! Errors that the validation of a mesh finds.

use std::fmt;

/// Path of a value in a mesh: section, object and key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MeshPath {
    /// `services`, `routes`, `ranks`, `stops` or `limits`.
    pub section: &'static str,
    /// Name of the object; empty in `limits`.
    pub object: String,
    /// Key in the object; empty for the object itself.
    pub key: String,
}

impl MeshPath {
    /// Path of a key of an object.
    pub fn key(section: &'static str, object: &str, key: &str) -> Self {
        Self {
            section,
            object: object.to_owned(),
            key: key.to_owned(),
        }
    }
}

impl fmt::Display for MeshPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.section)?;
        for part in [&self.object, &self.key] {
            if !part.is_empty() {
                write!(f, ".{part}")?;
            }
        }
        Ok(())
    }
}

/// An error in a mesh, with a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the value that is wrong.
    pub path: MeshPath,
    /// What is wrong.
    pub message: String,
    /// What an operator can do to correct it.
    pub remedy: String,
}

impl ValidationError {
    /// Creates an error at `path`.
    pub fn new(path: MeshPath, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            path,
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.message, self.remedy)
    }
}
