//! How many requests the new version may get.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::version_report::{VersionLease, VersionReport};
use super::version_rule::Stage;

/// Part of the bounds that the first stage may use. The rest is for the time in which a version that
/// fails under load, or later, is noticed.
const CANARY_PART: f64 = 0.2;
/// Part of the bounds that is used before all requests move to the new version.
const GROWING_PART: f64 = 0.45;
/// Part of the bounds while the new version is worse at one backend server. Trying another one at full
/// load costs less than moving all requests to a bad version.
const CONFIRMING_PART: f64 = 0.7;
/// Length of a lease. Covers two lost questions of the leader.
const LEASE: Duration = Duration::from_millis(2500);

/// Bounds on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Part of the requests that reach the service.
    pub share: f64,
    /// Number of requests beyond that part.
    pub slack: f64,
}

impl ExposureBounds {
    /// Returns the requests that may be granted in a stage after `reached` requests have reached the
    /// service. After them, only more can reach it, so the bound holds at the end as well.
    fn limit(&self, stage: Stage, is_confirming: bool, reached: u64) -> u64 {
        let part = match stage {
            Stage::Canary | Stage::Growing if is_confirming => CONFIRMING_PART,
            Stage::Canary => CANARY_PART,
            Stage::Growing => GROWING_PART,
            Stage::All | Stage::Drained | Stage::Completed | Stage::RolledBack => 0.0,
        };
        (part * (self.share * reached as f64 + self.slack)) as u64
    }
}

/// Requests granted to the daemon of one backend server.
#[derive(Clone, Copy, Debug)]
struct Account {
    epoch: u64,
    /// Requests of the daemon that had needed a lease before this leader granted one.
    before: u64,
    granted: u64,
    admitted: u64,
    /// End of the last lease, on the clock of the daemon.
    lease_end: Timestamp,
}

impl Account {
    /// Returns the granted requests that have not run yet.
    fn outstanding(&self) -> u64 {
        self.granted.saturating_sub(self.admitted)
    }
}

/// Requests that the leader has granted to the new version.
#[derive(Clone, Debug)]
pub struct ExposureLedger {
    bounds: ExposureBounds,
    /// Requests granted by earlier leaders and to earlier processes of daemons. They count as run.
    lost: u64,
    /// Requests that the store says may have been granted. A later leader starts from it.
    reserved: u64,
    accounts: BTreeMap<String, Account>,
    /// Whether the new version is worse at too few backend servers to decide.
    is_confirming: bool,
}

impl ExposureLedger {
    /// Creates the ledger of a leader whose predecessors may have granted `inherited` requests.
    pub fn new(bounds: ExposureBounds, inherited: u64) -> Self {
        Self {
            bounds,
            lost: inherited,
            reserved: inherited,
            accounts: BTreeMap::new(),
            is_confirming: false,
        }
    }

    /// Sets whether the new version is worse at too few backend servers to decide.
    pub fn set_confirming(&mut self, is_confirming: bool) {
        self.is_confirming = is_confirming;
    }

    /// Applies what a daemon of the new version has admitted.
    pub fn record(&mut self, server: &str, report: &VersionReport) {
        let known = self.accounts.get_mut(server);
        match known {
            Some(account) if account.epoch == report.epoch => {
                account.admitted = report.admitted.saturating_sub(account.before);
                if report.lease.is_none() || report.now > account.lease_end {
                    // What has not run under a lease cannot run after its end.
                    account.granted = account.granted.min(account.admitted);
                }
            }
            known => {
                self.lost += known.map_or(0, |account| account.granted);
                let account = Account {
                    epoch: report.epoch,
                    before: report.admitted,
                    granted: 0,
                    admitted: 0,
                    lease_end: Timestamp::default(),
                };
                self.accounts.insert(server.to_owned(), account);
            }
        }
    }

    /// Returns the requests granted so far, by earlier leaders as well.
    pub fn granted(&self) -> u64 {
        let accounts = self.accounts.values();
        self.lost + accounts.map(|account| account.granted).sum::<u64>()
    }

    /// Returns the granted requests that have not run yet.
    pub fn outstanding(&self) -> u64 {
        let accounts = self.accounts.values();
        accounts.map(Account::outstanding).sum()
    }

    /// Returns the number of requests to reserve in the store.
    pub fn to_reserve(&self, stage: Stage, reached: u64) -> u64 {
        self.bounds
            .limit(stage, self.is_confirming, reached)
            .max(self.reserved)
    }

    /// Records that the store holds a reservation.
    pub fn set_reserved(&mut self, reserved: u64) {
        self.reserved = self.reserved.max(reserved);
    }

    /// Grants a daemon requests until `wanted` are outstanding there, within what the stage allows
    /// and the store has reserved.
    pub fn grant(&mut self, server: &str, wanted: u64, stage: Stage, reached: u64) {
        let limit = self.bounds.limit(stage, self.is_confirming, reached);
        let limit = limit.min(self.reserved);
        let left = limit.saturating_sub(self.granted());
        if let Some(account) = self.accounts.get_mut(server) {
            account.granted += wanted.saturating_sub(account.outstanding()).min(left);
        }
    }

    /// Returns the lease of a daemon, from its last answer.
    pub fn lease(&mut self, server: &str, report: &VersionReport) -> Option<VersionLease> {
        let account = self.accounts.get_mut(server)?;
        let valid_until = report.now + LEASE;
        account.lease_end = account.lease_end.max(valid_until);
        (account.epoch == report.epoch).then_some(VersionLease {
            epoch: account.epoch,
            valid_until,
            allowance: account.before + account.granted,
        })
    }
}
