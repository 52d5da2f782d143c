//! Errors found in files, with their location.

use std::fmt;

/// A position in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// An error in a file, with its location and a remedy.
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
    /// What an operator can do to correct it.
    pub remedy: String,
}

impl Diagnostic {
    /// Creates a diagnostic at `location`.
    pub fn new(location: Location, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        let Location { file, line, column } = location;
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
