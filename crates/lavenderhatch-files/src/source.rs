//! Reading of mesh files and settings files.

use std::fs;
use std::path::Path;

use lavenderhatch_core::{Error, ErrorKind};

/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// The text of a file, with the name of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name of the file, for diagnostics.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

impl Source {
    /// Creates a source with this name and content.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}

/// Reads a file.
pub fn read_source_file(path: &Path) -> Result<Source, Error> {
    let name = path.display().to_string();
    let error = |message: String| Error::new(ErrorKind::BadFiles, format!("{name}: {message}"));
    let size = fs::metadata(path)
        .map_err(|err| error(err.to_string()))?
        .len();
    if size > MAX_FILE_BYTES {
        return Err(error(format!(
            "the file has {size} bytes, the limit is {MAX_FILE_BYTES}"
        )));
    }
    let text = fs::read_to_string(path).map_err(|err| error(err.to_string()))?;
    Ok(Source { name, text })
}

/// Reads all files of a directory whose names end in `.jsonc` or `.json`, ordered by name.
pub fn read_source_dir(dir: &Path) -> Result<Vec<Source>, Error> {
    let error =
        |message: String| Error::new(ErrorKind::BadFiles, format!("{}: {message}", dir.display()));
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(|err| error(err.to_string()))? {
        let path = entry.map_err(|err| error(err.to_string()))?.path();
        if path
            .extension()
            .is_some_and(|ext| ext == "jsonc" || ext == "json")
        {
            paths.push(path);
        }
    }
    if paths.is_empty() {
        return Err(error("no files named *.jsonc or *.json".to_owned()));
    }
    paths.sort();
    paths.iter().map(|path| read_source_file(path)).collect()
}
