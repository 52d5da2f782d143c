//! Rollout progress of a version across the daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Version, Zone};
use lavenderhatch_daemon::admin::{DaemonStatus, MemberStatus};
use serde::Serialize;

use super::common;

/// Maximum number of members that are queried directly for one report.
///
/// Direct queries are needed because a daemon has links to at most 10 members and learns the
/// versions of these members only.
const MAX_QUERIED_MEMBERS: usize = 64;
/// Timeout for the response of a member that is queried directly.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// Rollout progress within one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ZoneProgress {
    /// Number of members that have neither left nor failed.
    pub(crate) members: usize,
    /// Number of members that hold the version or a later one.
    pub(crate) held: usize,
    /// Lowest version that a member is known to hold.
    pub(crate) lowest: Option<Version>,
    /// Members known to hold an earlier version.
    pub(crate) behind: Vec<NodeId>,
    /// Members whose version is not known.
    pub(crate) unknown: Vec<NodeId>,
}

/// Rollout progress of a version in all zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct RolloutProgress {
    /// Version whose rollout is reported.
    pub(crate) version: Version,
    /// Progress by zone.
    pub(crate) zones: BTreeMap<Zone, ZoneProgress>,
}

impl RolloutProgress {
    /// Returns the number of members in all zones that have neither left nor failed.
    pub(crate) fn members(&self) -> usize {
        self.zones.values().map(|zone| zone.members).sum()
    }

    /// Returns the number of members in all zones that hold the version or a later one.
    pub(crate) fn held(&self) -> usize {
        self.zones.values().map(|zone| zone.held).sum()
    }

    /// Returns whether all of [`Self::members`] hold the version. False if there are none.
    pub(crate) fn is_complete(&self) -> bool {
        self.members() > 0 && self.held() == self.members()
    }
}

/// Reads the rollout progress of a version, as known to `daemon`.
pub(crate) fn read_progress(daemon: SocketAddr, version: Version) -> Result<RolloutProgress> {
    Ok(rollout_progress(&read_status(daemon)?, version))
}

/// Reads the status of a daemon, and queries the members whose versions it does not know.
///
/// All commands that report held versions read them here.
pub(crate) fn read_status(daemon: SocketAddr) -> Result<DaemonStatus> {
    let mut status: DaemonStatus = common::get_json(daemon, "/status")?;
    let unknown = status.members.iter_mut();
    let unknown = unknown.filter(|member| member.version.is_none() && is_counted(member));
    for member in unknown.take(MAX_QUERIED_MEMBERS) {
        member.version = query_version(&member.record);
    }
    Ok(status)
}

/// Reads the version that a member holds. Returns `None` if the member does not respond.
fn query_version(record: &MemberRecord) -> Option<Version> {
    let result = common::find_json::<DaemonStatus>(record.admin_addr, "/status", MEMBER_TIMEOUT);
    let status = result.ok().flatten()?;
    (status.node == record.id).then_some(status.version)
}

/// Computes the rollout progress of a version from the status of one daemon.
pub(crate) fn rollout_progress(status: &DaemonStatus, version: Version) -> RolloutProgress {
    let mut zones: BTreeMap<Zone, ZoneProgress> = BTreeMap::new();
    for member in status.members.iter().filter(|member| is_counted(member)) {
        let zone = zones.entry(member.record.zone.clone()).or_default();
        zone.members += 1;
        let id = member.record.id.clone();
        match member.version {
            Some(held) if held >= version => zone.held += 1,
            Some(_) => zone.behind.push(id),
            None => zone.unknown.push(id),
        }
        let lowest = [zone.lowest, member.version];
        zone.lowest = lowest.into_iter().flatten().min();
    }
    RolloutProgress { version, zones }
}

/// Returns whether a member counts towards the rollout.
///
/// An unreachable member counts because it may still be running.
fn is_counted(member: &MemberStatus) -> bool {
    !matches!(member.record.state, MemberState::Left | MemberState::Failed)
}
