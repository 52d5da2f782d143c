//! The version of each service that needs no order.

use std::collections::{BTreeMap, BTreeSet};

/// A ready backend server in the records.
#[derive(Clone, Copy, Debug)]
pub struct RecordedVersion<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Version of the backend server; empty if it reports none.
    pub version: &'a str,
    /// Position of the record in the order of the store: its creation and its last change.
    pub recorded: (u64, u64),
}

/// The version of each service that needs no order: the one that the last rollout has left in use,
/// else the one that was used before, else the one that was recorded first.
#[derive(Clone, Debug, Default)]
pub struct BaseVersions {
    versions: BTreeMap<String, String>,
}

impl BaseVersions {
    /// Sets the version that a rollout has left in use.
    pub fn set(&mut self, service: &str, version: &str) {
        self.versions.insert(service.to_owned(), version.to_owned());
    }

    /// Learns the versions of services that are not known yet. Returns the services that have a
    /// backend server of another version than the one that needs no order.
    pub fn update<'a>(
        &mut self,
        records: impl Iterator<Item = RecordedVersion<'a>> + Clone,
    ) -> BTreeSet<&'a str> {
        let mut first: BTreeMap<&str, RecordedVersion<'_>> = BTreeMap::new();
        let known = records.filter(|record| !record.version.is_empty());
        for record in known.clone() {
            let earliest = first.entry(record.service).or_insert(record);
            if record.recorded < earliest.recorded {
                *earliest = record;
            }
        }
        for (service, record) in first {
            if !self.versions.contains_key(service) {
                self.set(service, record.version);
            }
        }
        let differs =
            |record: &RecordedVersion<'_>| self.of(record.service) != Some(record.version);
        known.filter(differs).map(|record| record.service).collect()
    }

    /// Returns the version of a service that needs no order.
    pub fn of(&self, service: &str) -> Option<&str> {
        self.versions.get(service).map(String::as_str)
    }
}
