//! Validation of strings, digests, names and list lengths in messages.

use capnp::{data, text};
use lavenderhatch_core::names::NameError;
use lavenderhatch_core::{Digest, Incarnation, Version};

/// Maximum size of a message, in words of eight bytes.
pub const MAX_TRAVERSAL_WORDS: usize = 4 * 1024 * 1024;

/// Maximum length of a string field, in bytes.
///
/// The limit does not apply to bodies, which are data fields.
pub(crate) const MAX_TEXT_BYTES: usize = 64 * 1024;

/// The reason why a received message was rejected.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The message is not well-formed.
    #[error("malformed message: {0}")]
    Malformed(#[from] capnp::Error),
    /// A string field is not valid UTF-8.
    #[error("a text is not UTF-8")]
    NotUtf8,
    /// A field holds an invalid value.
    #[error("field {field} {reason}")]
    InvalidField {
        /// Name of the field.
        field: &'static str,
        /// What is invalid, phrased to follow the name of the field.
        reason: String,
    },
}

impl From<WireError> for capnp::Error {
    fn from(err: WireError) -> capnp::Error {
        capnp::Error::failed(err.to_string())
    }
}

impl From<capnp::NotInSchema> for WireError {
    fn from(_: capnp::NotInSchema) -> Self {
        invalid_field("union", "has a variant of a later release")
    }
}

pub(crate) fn invalid_field(field: &'static str, reason: impl Into<String>) -> WireError {
    WireError::InvalidField {
        field,
        reason: reason.into(),
    }
}

pub(crate) fn read_text<'a>(
    field: &'static str,
    text: text::Reader<'a>,
) -> Result<&'a str, WireError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(invalid_field(field, format!("has {} bytes", text.len())));
    }
    text.to_str().map_err(|_| WireError::NotUtf8)
}

pub(crate) fn read_name<T>(
    field: &'static str,
    text: text::Reader<'_>,
    new: impl Fn(&str) -> Result<T, NameError>,
) -> Result<T, WireError> {
    new(read_text(field, text)?).map_err(|err| invalid_field(field, err.to_string()))
}

/// Reads a digest.
///
/// Returns an error if the data is absent or has the wrong length.
pub fn read_digest(field: &'static str, data: data::Reader<'_>) -> Result<Digest, WireError> {
    Digest::from_slice(data).map_err(|err| invalid_field(field, err.to_string()))
}

pub(crate) fn read_version(version: u64) -> Version {
    Version(version)
}

pub(crate) fn read_incarnation(incarnation: u64) -> Incarnation {
    Incarnation(incarnation)
}

/// Checks the length of a list before its entries are read.
pub(crate) fn check_len(field: &'static str, len: u32, limit: u32) -> Result<(), WireError> {
    if len > limit {
        return Err(invalid_field(field, format!("has {len} entries")));
    }
    Ok(())
}
