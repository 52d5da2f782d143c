//! The requests that ran while backend servers crashed.

use std::cmp::Reverse;
use std::collections::HashMap;

use lavenderhatch_core::Timestamp;

use super::crash_id::CrashId;
use super::crash_record::CrashRecord;
use super::fingerprint::Fingerprint;

/// Largest number of records, so that one message carries all of them. Daemons that keep different
/// ones would exchange them again and again, so which are kept follows from their content alone.
pub const MAX_CRASH_RECORDS: usize = 128;

/// The requests that ran while backend servers crashed.
///
/// Daemons merge their ledgers: one that finds that another has a different digest takes over its
/// records.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: HashMap<Fingerprint, CrashRecord>,
}

impl CrashLedger {
    /// Records that a backend server crashed while it ran a request. Returns whether this was new.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        now: Timestamp,
    ) -> bool {
        self.merge(&CrashRecord::new(fingerprint, crash, now), now)
    }

    /// Records that a backend server has answered a request. Returns whether it was under suspicion.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get_mut(&fingerprint);
        record.is_some_and(|record| !std::mem::replace(&mut record.is_cleared, true))
    }

    /// Takes over a record of another daemon. Returns whether anything has changed.
    pub fn merge(&mut self, record: &CrashRecord, now: Timestamp) -> bool {
        if record.is_expired(now) {
            return false;
        }
        let Some(known) = self.records.get_mut(&record.fingerprint) else {
            self.records.insert(record.fingerprint, record.clone());
            self.evict();
            return self.records.contains_key(&record.fingerprint);
        };
        let before = known.digest();
        known.merge(record);
        known.digest() != before
    }

    /// Forgets records whose time is over. Returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.records.len();
        self.records.retain(|_, record| !record.is_expired(now));
        self.records.len() != before
    }

    /// Returns the records, those with the most crashes first.
    pub fn records(&self) -> Vec<&CrashRecord> {
        let mut records: Vec<&CrashRecord> = self.records.values().collect();
        records.sort_by_key(|record| rank(record));
        records
    }

    /// Returns the number of crashes that the records hold.
    pub fn crash_count(&self) -> usize {
        let records = self.records.values();
        records.map(|record| record.crashes.len()).sum()
    }

    /// Returns a hash by which daemons find out whether their ledgers differ; zero without records.
    pub fn digest(&self) -> u64 {
        let records = self.records.values();
        records.fold(0, |digest, record| digest ^ record.digest())
    }

    fn evict(&mut self) {
        while self.records.len() > MAX_CRASH_RECORDS {
            let last = self.records.values().max_by_key(|record| rank(record));
            let Some(last) = last.map(|record| record.fingerprint) else {
                return;
            };
            self.records.remove(&last);
        }
    }
}

/// Orders records: suspected and quarantined requests first, those with the most crashes before the
/// others.
fn rank(record: &CrashRecord) -> (bool, Reverse<usize>, Fingerprint) {
    let crashes = Reverse(record.crashes.len());
    (record.is_cleared, crashes, record.fingerprint)
}
