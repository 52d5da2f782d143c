//! Faults in files.

use std::fmt;

/// A place in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// One fault in a file, with a remedy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What can be done about it.
    pub remedy: String,
}

impl Diagnostic {
    /// A fault at `place`.
    pub fn new(place: Place, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        let Place { file, line, column } = place;
        Self {
            file,
            line,
            column,
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            message,
            remedy,
        } = self;
        write!(f, "{file}:{line}:{column}: {message}; {remedy}")
    }
}
