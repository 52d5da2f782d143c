//! Decisions of the rollout of a service version.
//!
//! - [`VersionRule`]: which versions of a service may get a request, and with what share.
//! - [`BaseVersions`]: the version of each service that needs no order.
//! - [`AdmissionRule`]: whether the daemon beside a backend server lets a request run.
//! - [`RouteCounts`]: requests, failures and times of one route at one version.
//! - [`VersionComparison`]: whether the new version is worse than the old one.
//! - [`ExposureLedger`]: how many requests the new version may get.
//! - [`Rollout`]: the stages of a rollout, as its leader goes through them.
//! - [`LeaseObserver`]: whether the leader of a rollout has gone.
//! - [`candidates()`]: which daemons watch for orders.

mod admission_rule;
mod base_versions;
mod candidates;
mod exposure_ledger;
mod focus;
mod leader_state;
mod lease_observer;
mod rollout_order;
mod route_counts;
mod servers;
mod state;
mod stop_reason;
mod version_comparison;
mod version_report;
mod version_rule;

pub use admission_rule::AdmissionRule;
pub use base_versions::{BaseVersions, RecordedVersion};
pub use candidates::candidates;
pub use exposure_ledger::{ExposureBounds, ExposureLedger};
pub use leader_state::LeaderState;
pub use lease_observer::LeaseObserver;
pub use rollout_order::RolloutOrder;
pub use route_counts::RouteCounts;
pub use state::Rollout;
pub use stop_reason::StopReason;
pub use version_comparison::{Fault, Verdict, VersionComparison, Worse};
pub use version_report::{VersionLease, VersionReport};
pub use version_rule::{RuleId, Stage, VersionRule};
