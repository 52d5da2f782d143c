//! Versions of the configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of the accepted configuration.
///
/// It grows by one with each accepted set of files. Zero means that no set was accepted yet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Version before the first accepted set of files.
    pub const NONE: Version = Version(0);

    /// The version that follows this one.
    pub fn next(self) -> Version {
        Version(self.0.saturating_add(1))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
