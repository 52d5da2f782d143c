//! Requests that must not run because they have crashed backend servers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::crash::{CrashId, CrashLedger, CrashRecord, Fingerprint};
use tokio::sync::Notify;
use tracing::{info, warn};

/// Standing of a request that ran while a backend server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Others may have caused the crashes.
    Suspected,
    /// A backend server has answered it since.
    Cleared,
    /// It must not run any more.
    Quarantined,
}

/// Requests that must not run because they have crashed backend servers.
///
/// Written by the request path: by the daemon of a backend server that has crashed, and by each
/// daemon that learns of crashes from the answers of others. Requests read a snapshot.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Locked only when something changes, or when daemons exchange records that differ.
    ledger: Mutex<CrashLedger>,
    standings: ArcSwap<HashMap<Fingerprint, Standing>>,
    /// Digest of the ledger. Zero without records, which spares requests the rest.
    digest: AtomicU64,
    /// Wakes the task that tells other daemons of new crashes.
    crashed: Notify,
}

impl Quarantine {
    /// Whether a request must not run. `fingerprint` is called only if there are records at all.
    pub fn refuses(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        self.standing_of(fingerprint) == Some(Standing::Quarantined)
    }

    /// Returns the digest of the records, zero without any.
    pub fn digest(&self) -> u64 {
        self.digest.load(Relaxed)
    }

    /// Records that a backend server crashed while it ran a request.
    pub fn record_crash(&self, fingerprint: Fingerprint, crash: CrashId, now: Timestamp) {
        let mut ledger = self.lock();
        if ledger.record_crash(fingerprint, crash, now) {
            self.publish(&ledger);
            self.crashed.notify_one();
        }
    }

    /// Records that a backend server has answered a request. `fingerprint` is called only if there
    /// are records at all.
    pub fn record_answer(&self, fingerprint: impl Fn() -> Fingerprint) {
        if self.standing_of(&fingerprint) != Some(Standing::Suspected) {
            return;
        }
        let mut ledger = self.lock();
        if ledger.record_answer(fingerprint()) {
            self.publish(&ledger);
        }
    }

    /// Takes over records of another daemon.
    pub fn merge(&self, records: impl Iterator<Item = CrashRecord>, now: Timestamp) {
        let mut ledger = self.lock();
        let crashes = ledger.crash_count();
        let is_changed = records.fold(false, |is_changed, record| {
            ledger.merge(&record, now) | is_changed
        });
        if is_changed {
            self.publish(&ledger);
        }
        if ledger.crash_count() > crashes {
            self.crashed.notify_one();
        }
    }

    /// Waits until there is a crash that other daemons may not know. For one task at a time.
    pub async fn wait_for_crash(&self) {
        self.crashed.notified().await;
    }

    /// Returns at most `max` records, those with the most crashes first.
    pub fn records(&self, max: usize) -> Vec<CrashRecord> {
        let ledger = self.lock();
        ledger.records().into_iter().take(max).cloned().collect()
    }

    /// Forgets records whose time is over.
    pub fn expire(&self, now: Timestamp) {
        if self.digest() == 0 {
            return;
        }
        let mut ledger = self.lock();
        if ledger.expire(now) {
            self.publish(&ledger);
        }
    }

    /// Returns the number of requests that must not run.
    pub fn len(&self) -> usize {
        let standings = self.standings.load();
        let quarantined = standings.values();
        quarantined.filter(|s| **s == Standing::Quarantined).count()
    }

    /// Whether every request may run.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn standing_of(&self, fingerprint: impl FnOnce() -> Fingerprint) -> Option<Standing> {
        if self.digest() == 0 {
            return None;
        }
        self.standings.load().get(&fingerprint()).copied()
    }

    fn publish(&self, ledger: &CrashLedger) {
        let records = ledger.records();
        let standings: HashMap<Fingerprint, Standing> = records
            .iter()
            .map(|record| (record.fingerprint, Standing::of(record)))
            .collect();
        let before = self.standings.swap(standings.clone().into());
        self.digest.store(ledger.digest(), Relaxed);
        let is_quarantined = |standings: &HashMap<_, _>, fingerprint: &Fingerprint| {
            standings.get(fingerprint) == Some(&Standing::Quarantined)
        };
        for fingerprint in standings.keys() {
            if is_quarantined(&standings, fingerprint) && !is_quarantined(&before, fingerprint) {
                warn!(%fingerprint, "quarantine: the request crashes backend servers and is refused");
            }
        }
        for fingerprint in before.keys() {
            if is_quarantined(&before, fingerprint) && !is_quarantined(&standings, fingerprint) {
                info!(%fingerprint, "quarantine: the request is no longer refused");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Standing {
    fn of(record: &CrashRecord) -> Self {
        if record.is_quarantined() {
            return Self::Quarantined;
        }
        match record.is_cleared {
            true => Self::Cleared,
            false => Self::Suspected,
        }
    }
}
