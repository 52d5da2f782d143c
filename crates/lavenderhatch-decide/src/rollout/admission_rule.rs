//! Whether the daemon beside a backend server lets a request run.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::version_report::VersionLease;
use super::version_rule::{Stage, VersionRule};

/// Whether the version of a backend server may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRule {
    /// Any number of requests.
    Open,
    /// As many requests, counted since the start of the daemon, until a time.
    Limited(VersionLease),
    /// No request.
    Closed,
}

impl AdmissionRule {
    /// Returns the rule for a backend server of `version`.
    ///
    /// `rule` comes with its age. `base` is the version that needs no order, if it is not that of all backend servers, and
    /// `lease` is the last one that the leader of the rollout has granted here.
    pub fn of(
        version: &str,
        base: Option<&str>,
        rule: Option<(&VersionRule, Duration)>,
        lease: Option<VersionLease>,
    ) -> Self {
        // Backend servers of earlier releases report no version.
        if version.is_empty() {
            return Self::Open;
        }
        let Some((rule, age)) = rule else {
            return Self::open_if(base.is_none_or(|base| base.is_empty() || base == version));
        };
        if let Some(last) = rule.final_version() {
            return Self::open_if(last == version);
        }
        let is_target = rule.target == version;
        match rule.stage {
            // Without a leader, both versions go back to where they were before the order.
            Stage::All | Stage::Drained => Self::open_if(match rule.is_known(age) {
                true => is_target,
                false => rule.base == version,
            }),
            _ if rule.base == version => Self::Open,
            _ => match lease.filter(|_| is_target) {
                Some(lease) => Self::Limited(lease),
                None => Self::Closed,
            },
        }
    }

    /// Whether a request may run after `admitted` others that needed a lease.
    pub fn admits(self, admitted: u64, now: Timestamp) -> bool {
        match self {
            Self::Open => true,
            Self::Limited(lease) => now < lease.valid_until && admitted < lease.allowance,
            Self::Closed => false,
        }
    }

    fn open_if(condition: bool) -> Self {
        match condition {
            true => Self::Open,
            false => Self::Closed,
        }
    }
}
