//! The platform stand-in, with a count of the writes that claims cause.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lavenderhatch_platform::{
    Expected, MemoryPlatform, Object, ObjectMeta, Platform, PlatformError,
};

/// Counts writes to objects of claim ranges, so that those of other controllers do not count.
#[derive(Clone, Default)]
pub(crate) struct CountingPlatform {
    pub(crate) inner: MemoryPlatform,
    claim_writes: Arc<AtomicU64>,
}

impl CountingPlatform {
    pub(crate) fn claim_writes(&self) -> u64 {
        self.claim_writes.load(Ordering::Relaxed)
    }
}

impl Platform for CountingPlatform {
    fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.inner.get(name)
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, PlatformError> {
        self.inner.list(prefix)
    }

    fn put(&self, name: &str, value: &[u8], expected: Expected) -> Result<u64, PlatformError> {
        if name.starts_with("claims/") {
            self.claim_writes.fetch_add(1, Ordering::Relaxed);
        }
        self.inner.put(name, value, expected)
    }

    fn delete(&self, name: &str, version: u64) -> Result<(), PlatformError> {
        self.inner.delete(name, version)
    }

    fn watch(
        &self,
        name: &str,
        seen: u64,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.inner.watch(name, seen, timeout)
    }
}
