//! Texts with the names of the files that they come from.

use std::fs;
use std::path::Path;

use lavenderhatch_core::{Error, ErrorKind};

/// Largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// A text with the name of its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name of the file, for diagnostics.
    pub name: String,
    /// Content.
    pub text: String,
}

impl Source {
    /// A source with this name and content.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}

/// Reads one file.
pub fn read_source_file(path: &Path) -> Result<Source, Error> {
    let name = path.display().to_string();
    let bad = |what: String| Error::new(ErrorKind::BadFiles, format!("{name}: {what}"));
    let size = fs::metadata(path)
        .map_err(|err| bad(err.to_string()))?
        .len();
    if size > MAX_FILE_BYTES {
        return Err(bad(format!("{size} bytes are more than {MAX_FILE_BYTES}")));
    }
    let text = fs::read_to_string(path).map_err(|err| bad(err.to_string()))?;
    Ok(Source { name, text })
}

/// Reads all files of a directory whose names end in `.jsonc` or `.json`, in the order of names.
pub fn read_source_dir(dir: &Path) -> Result<Vec<Source>, Error> {
    let bad = |what: String| Error::new(ErrorKind::BadFiles, format!("{}: {what}", dir.display()));
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(|err| bad(err.to_string()))? {
        let path = entry.map_err(|err| bad(err.to_string()))?.path();
        if path
            .extension()
            .is_some_and(|ext| ext == "jsonc" || ext == "json")
        {
            paths.push(path);
        }
    }
    if paths.is_empty() {
        return Err(bad("no files named *.jsonc or *.json".to_owned()));
    }
    paths.sort();
    paths.iter().map(|path| read_source_file(path)).collect()
}
