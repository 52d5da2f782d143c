//! Which versions of a service may get a request.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age from which a rule by which all requests move no longer counts, for callers and for both
/// versions alike. Covers the time in which a new leader takes over.
const ALL_LIFETIME: Duration = Duration::from_secs(4);
/// Age from which the knowledge of a share no longer counts. The backend server that tries the new
/// version changes, and one that does so no more refuses requests.
const SHARE_LIFETIME: Duration = Duration::from_millis(700);

/// Identifies a rule. The greater of two rules of a service replaces the other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RuleId {
    /// Number of the order among those of its service.
    pub order: u64,
    /// Term of the leader that has made the rule.
    pub term: u64,
    /// Number of the rule within the term.
    pub step: u64,
}

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// A few requests go to the new version.
    Canary,
    /// Backend servers of the new version get, in turn, as many requests as one of the old version.
    Growing,
    /// All requests go to the new version.
    All,
    /// As [`Stage::All`], and no request runs on the old version any more.
    Drained,
    /// The new version has replaced the old one.
    Completed,
    /// The new version was given up.
    RolledBack,
}

impl Stage {
    /// Whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Whether a part of the requests goes to the new version.
    pub fn is_trial(self) -> bool {
        matches!(self, Self::Canary | Self::Growing)
    }

    /// Whether all requests go to the new version while the rollout runs.
    pub fn is_all(self) -> bool {
        matches!(self, Self::All | Self::Drained)
    }
}

/// Which versions of a service may get a request, and with what share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionRule {
    /// Identity, by which newer rules replace older ones.
    #[serde(flatten)]
    pub id: RuleId,
    /// Stage of the rollout.
    pub stage: Stage,
    /// Version that was in use before the order.
    pub base: String,
    /// Version that the order names.
    pub target: String,
    /// Share of the requests that go to the new version, 0 to 1.
    pub share: f64,
    /// Backend server of the new version that gets this share, by the address of its daemon. One at
    /// a time is loaded as much as a backend server of the old version, within a small share.
    pub focus: Option<SocketAddr>,
}

impl VersionRule {
    /// Returns the only version that may get requests after the end of the rollout; `None` while it
    /// runs.
    pub fn final_version(&self) -> Option<&str> {
        match self.stage {
            Stage::Completed => Some(&self.target),
            Stage::RolledBack => Some(&self.base),
            _ => None,
        }
    }

    /// Whether the rule counts at this age.
    pub fn is_known(&self, age: Duration) -> bool {
        let lifetime = match self.stage.is_all() {
            true => ALL_LIFETIME,
            false => SHARE_LIFETIME,
        };
        self.final_version().is_some() || age <= lifetime
    }

    /// Whether the daemon beside a backend server of `version` sends a request back whose caller
    /// could not choose by the share. Callers that send a service few requests learn too rarely of
    /// the share, so the choice is made for them. `draw` is random, 0 to 1.
    pub fn sends_back(&self, version: &str, age: Duration, draw: f64) -> bool {
        self.stage.is_trial() && version == self.base && age <= SHARE_LIFETIME && draw < self.share
    }

    /// Returns the version for a request. `age` is the age of this knowledge; `draw` is random, 0
    /// to 1, and the same for all attempts of the request.
    pub fn choose(&self, age: Duration, draw: f64) -> &str {
        if let Some(version) = self.final_version() {
            return version;
        }
        let is_target = self.stage.is_all() || draw < self.share;
        match is_target && self.is_known(age) {
            true => &self.target,
            false => &self.base,
        }
    }
}
