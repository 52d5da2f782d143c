//! Objects of the platform.

use serde::{Deserialize, Serialize};

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Grows with each write to any object.
    pub version: u64,
    /// Content.
    pub value: Vec<u8>,
}

/// Name and version of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectMeta {
    /// Name.
    pub name: String,
    /// Version.
    pub version: u64,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}
