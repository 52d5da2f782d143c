//! Objects in the platform's store.

use serde::{Deserialize, Serialize};

/// Maximum size of the value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The version and the value of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of the object. Versions increase with each write to any object of the store.
    pub version: u64,
    /// Content, opaque to the platform.
    pub value: Vec<u8>,
}

/// Name and version of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectMeta {
    /// Name of the object.
    pub name: String,
    /// Version of the object.
    pub version: u64,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}
