//! In-memory object store whose clock is an argument of each call.

use std::collections::BTreeMap;

use lavenderhatch_core::Timestamp;
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;
use crate::faults::Faults;
use crate::object::{MAX_VALUE_BYTES, Object, ObjectMeta, Precondition};

/// Length of the window in which calls count towards the rate limits, in milliseconds.
const RATE_WINDOW_MS: u64 = 1000;

/// Numbers of calls since the store was created, by kind.
///
/// The fields are the keys of the JSON body of `GET /counts`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes and removals.
    pub writes: u64,
    /// Calls refused because of the rate limits.
    pub refused: u64,
}

/// In-memory object store with injected faults.
///
/// Calls take the current time as argument, so that tests control the clock.
#[derive(Debug, Default)]
pub struct SimulatedStore {
    objects: BTreeMap<String, Object>,
    /// Invariant: at least the version of each object, including removed ones.
    last_version: u64,
    faults: Faults,
    counts: CallCounts,
    /// Start of the current window of [`RATE_WINDOW_MS`].
    window_start: Timestamp,
    window_reads: u32,
    window_writes: u32,
}

impl SimulatedStore {
    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the faults that are injected at present.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the number of calls since the store was created.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Reads an object; `None` if it does not exist.
    pub fn get(&mut self, name: &str, now: Timestamp) -> Result<Option<Object>, PlatformError> {
        self.count_read(now)?;
        Ok(self.objects.get(name).cloned())
    }

    /// Lists the objects whose names start with `prefix`, ordered by name.
    pub fn list(&mut self, prefix: &str, now: Timestamp) -> Result<Vec<ObjectMeta>, PlatformError> {
        self.count_read(now)?;
        let from = self.objects.range(prefix.to_owned()..);
        let matching = from.take_while(|(name, _)| name.starts_with(prefix));
        let meta = |(name, object): (&String, &Object)| ObjectMeta {
            name: name.clone(),
            version: object.version,
        };
        Ok(matching.map(meta).collect())
    }

    /// Writes an object if the precondition holds, and returns its new version.
    pub fn put(
        &mut self,
        name: &str,
        value: &[u8],
        precondition: Precondition,
        now: Timestamp,
    ) -> Result<u64, PlatformError> {
        self.count_write(now)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge { bytes: value.len() });
        }
        self.check_precondition(name, precondition)?;
        self.last_version += 1;
        let version = self.last_version;
        self.objects.insert(
            name.to_owned(),
            Object {
                version,
                value: value.to_vec(),
            },
        );
        self.inject_lost_response()?;
        Ok(version)
    }

    /// Removes an object if it has this version.
    pub fn delete(
        &mut self,
        name: &str,
        version: u64,
        now: Timestamp,
    ) -> Result<(), PlatformError> {
        self.count_write(now)?;
        self.check_precondition(name, Precondition::Version(version))?;
        self.last_version += 1;
        self.objects.remove(name);
        self.inject_lost_response()
    }

    /// Reads an object without counting a call, for watches that have been counted and for tests.
    pub fn peek(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Counts a watch as one read.
    pub fn count_watch(&mut self, now: Timestamp) -> Result<(), PlatformError> {
        self.count_read(now)
    }

    fn check_precondition(
        &self,
        name: &str,
        precondition: Precondition,
    ) -> Result<(), PlatformError> {
        let current = self.objects.get(name).map_or(0, |object| object.version);
        let is_met = match precondition {
            Precondition::Absent => current == 0,
            Precondition::Version(version) => current == version && version != 0,
        };
        if is_met {
            Ok(())
        } else {
            Err(PlatformError::Conflict { current })
        }
    }

    fn inject_lost_response(&mut self) -> Result<(), PlatformError> {
        if self.faults.lost_answers == 0 {
            return Ok(());
        }
        self.faults.lost_answers -= 1;
        Err(PlatformError::ResponseLost("injected fault".to_owned()))
    }

    fn count_read(&mut self, now: Timestamp) -> Result<(), PlatformError> {
        self.check_available(now)?;
        if self
            .faults
            .reads_per_second
            .is_some_and(|limit| self.window_reads >= limit)
        {
            self.counts.refused += 1;
            return Err(PlatformError::RateLimited);
        }
        self.window_reads += 1;
        self.counts.reads += 1;
        Ok(())
    }

    fn count_write(&mut self, now: Timestamp) -> Result<(), PlatformError> {
        self.check_available(now)?;
        if self
            .faults
            .writes_per_second
            .is_some_and(|limit| self.window_writes >= limit)
        {
            self.counts.refused += 1;
            return Err(PlatformError::RateLimited);
        }
        self.window_writes += 1;
        self.counts.writes += 1;
        Ok(())
    }

    fn check_available(&mut self, now: Timestamp) -> Result<(), PlatformError> {
        if self.faults.is_down {
            return Err(PlatformError::Unreachable("injected outage".to_owned()));
        }
        if now.since(self.window_start).as_millis() as u64 >= RATE_WINDOW_MS {
            self.window_start = now;
            self.window_reads = 0;
            self.window_writes = 0;
        }
        Ok(())
    }
}
