//! A simulated store shared between the threads of one process.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lavenderhatch_core::Timestamp;

use crate::error::PlatformError;
use crate::faults::Faults;
use crate::object::{Object, ObjectMeta, Precondition};
use crate::simulated_store::{CallCounts, SimulatedStore};
use crate::traits::Platform;

#[derive(Default)]
struct Shared {
    store: Mutex<SimulatedStore>,
    changed: Condvar,
}

/// An in-memory stand-in for the platform within one process. Clones share the same objects.
///
/// Its clock is the system clock.
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    shared: Arc<Shared>,
}

impl MemoryPlatform {
    /// Replaces the injected faults. Waiting watches notice an outage at once.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().set_faults(faults);
        self.shared.changed.notify_all();
    }

    /// Returns the faults that are injected at present.
    pub fn faults(&self) -> Faults {
        self.lock().faults().clone()
    }

    /// Returns the number of calls since the store was created.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts()
    }

    fn lock(&self) -> MutexGuard<'_, SimulatedStore> {
        self.shared
            .store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected latency, then locks the store.
    fn lock_after_latency(&self) -> MutexGuard<'_, SimulatedStore> {
        let store = self.lock();
        let latency = Duration::from_millis(store.faults().latency_ms);
        if latency.is_zero() {
            return store;
        }
        let start = Instant::now();
        let wait = self
            .shared
            .changed
            .wait_timeout_while(store, latency, |_| start.elapsed() < latency);
        wait.unwrap_or_else(PoisonError::into_inner).0
    }
}

impl Platform for MemoryPlatform {
    fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.lock_after_latency()
            .get(name, Timestamp::from_system_clock())
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, PlatformError> {
        self.lock_after_latency()
            .list(prefix, Timestamp::from_system_clock())
    }

    fn put(
        &self,
        name: &str,
        value: &[u8],
        precondition: Precondition,
    ) -> Result<u64, PlatformError> {
        let result = self.lock_after_latency().put(
            name,
            value,
            precondition,
            Timestamp::from_system_clock(),
        );
        self.shared.changed.notify_all();
        result
    }

    fn delete(&self, name: &str, version: u64) -> Result<(), PlatformError> {
        let result =
            self.lock_after_latency()
                .delete(name, version, Timestamp::from_system_clock());
        self.shared.changed.notify_all();
        result
    }

    fn watch(
        &self,
        name: &str,
        seen: u64,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let mut store = self.lock_after_latency();
        store.count_watch(Timestamp::from_system_clock())?;
        let is_unchanged = |store: &mut SimulatedStore| {
            let version = store.peek(name).map_or(0, |object| object.version);
            version == seen && !store.faults().is_down
        };
        let wait = self
            .shared
            .changed
            .wait_timeout_while(store, timeout, is_unchanged);
        let (store, wait) = wait.unwrap_or_else(PoisonError::into_inner);
        if store.faults().is_down {
            return Err(PlatformError::Unreachable("injected outage".to_owned()));
        }
        if wait.timed_out() {
            return Ok(None);
        }
        Ok(store.peek(name).cloned())
    }
}
