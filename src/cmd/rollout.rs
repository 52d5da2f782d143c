//! How far a version has come.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Version, Zone};
use lavenderhatch_daemon::admin::{DaemonStatus, MemberStatus};
use serde::Serialize;

use super::common;

/// Most members that are result directly in one look. A daemon is linked to at most 10 members.
const MAX_QUERIED_MEMBERS: usize = 64;
/// Time for the answer of one of these members.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// Members of one zone and the versions that they hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ZoneProgress {
    /// Running members.
    pub(crate) members: usize,
    /// Members that hold the version or a later one.
    pub(crate) held: usize,
    /// Lowest version known to be held.
    pub(crate) lowest: Option<Version>,
    /// Members known to hold an earlier version.
    pub(crate) behind: Vec<NodeId>,
    /// Members whose version is not known.
    pub(crate) unknown: Vec<NodeId>,
}

/// How far a version has come in each zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct RolloutProgress {
    /// The version.
    pub(crate) version: Version,
    /// By zone.
    pub(crate) zones: BTreeMap<Zone, ZoneProgress>,
}

impl RolloutProgress {
    /// Running members of all zones.
    pub(crate) fn members(&self) -> usize {
        self.zones.values().map(|zone| zone.members).sum()
    }

    /// Members of all zones that hold the version.
    pub(crate) fn held(&self) -> usize {
        self.zones.values().map(|zone| zone.held).sum()
    }

    /// Whether all running members hold the version.
    pub(crate) fn is_complete(&self) -> bool {
        self.members() > 0 && self.held() == self.members()
    }
}

/// Asks how far a version has come.
pub(crate) fn read_progress(daemon: SocketAddr, version: Version) -> Result<RolloutProgress> {
    Ok(rollout_progress(&read_status(daemon)?, version))
}

/// Asks a daemon for its status, and the members that are not linked to it for their versions. The
/// one place that decides where versions are read from.
pub(crate) fn read_status(daemon: SocketAddr) -> Result<DaemonStatus> {
    let mut status: DaemonStatus = common::get_json(daemon, "/status")?;
    let unknown = status.members.iter_mut();
    let unknown = unknown.filter(|member| member.version.is_none() && is_counted(member));
    for member in unknown.take(MAX_QUERIED_MEMBERS) {
        member.version = query_version(&member.record);
    }
    Ok(status)
}

/// The version that a member says it holds; `None` if it does not answer.
fn query_version(record: &MemberRecord) -> Option<Version> {
    let result = common::find_json::<DaemonStatus>(record.admin_addr, "/status", MEMBER_TIMEOUT);
    let status = result.ok().flatten()?;
    (status.node == record.id).then_some(status.version)
}

/// How far a version has come as one daemon sees it.
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

/// Whether a member counts: it runs, or nobody can tell whether it does.
fn is_counted(member: &MemberStatus) -> bool {
    !matches!(member.record.state, MemberState::Left | MemberState::Failed)
}
