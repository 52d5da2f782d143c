//! The trait of the platform's object API.

use std::time::Duration;

use crate::error::PlatformError;
use crate::object::{Object, ObjectMeta, Precondition};

/// The platform's object API, as the daemon and the operator's tool use it.
///
/// Each call counts towards the platform's rate limits; a watch counts as one call however long it
/// waits.
pub trait Platform: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn get(&self, name: &str) -> Result<Option<Object>, PlatformError>;

    /// Lists the names and versions of the objects whose names start with `prefix`, ordered by
    /// name.
    fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, PlatformError>;

    /// Writes an object if the precondition holds, and returns its new version.
    fn put(
        &self,
        name: &str,
        value: &[u8],
        precondition: Precondition,
    ) -> Result<u64, PlatformError>;

    /// Removes an object if it has this version.
    fn delete(&self, name: &str, version: u64) -> Result<(), PlatformError>;

    /// Waits until the object has a version other than `seen`, and reads it.
    ///
    /// `seen` is zero for an object that did not exist. Returns `None` if the version has not
    /// changed within `timeout`, or if the object was removed.
    fn watch(
        &self,
        name: &str,
        seen: u64,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError>;
}

impl<P: Platform> Platform for std::sync::Arc<P> {
    fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        P::get(self, name)
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, PlatformError> {
        P::list(self, prefix)
    }

    fn put(
        &self,
        name: &str,
        value: &[u8],
        precondition: Precondition,
    ) -> Result<u64, PlatformError> {
        P::put(self, name, value, precondition)
    }

    fn delete(&self, name: &str, version: u64) -> Result<(), PlatformError> {
        P::delete(self, name, version)
    }

    fn watch(
        &self,
        name: &str,
        seen: u64,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        P::watch(self, name, seen, timeout)
    }
}
