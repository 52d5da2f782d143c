//! Reading and writing of results as JSON.

use std::fs;
use std::path::Path;

use eyre::{Result, WrapErr};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reads the results of an earlier run.
///
/// The result is empty if there is no file.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())
}

/// Writes results as indented JSON.
pub fn write<T: Serialize>(path: &Path, rows: &[T]) -> Result<()> {
    let text = serde_json::to_string_pretty(rows)? + "\n";
    fs::write(path, text).wrap_err_with(|| path.display().to_string())
}
