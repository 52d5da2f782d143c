//! Reports of the versions that the members of a zone hold.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::{NodeId, Timestamp, Version, Zone};
use serde::{Deserialize, Serialize};

use crate::message::HeldReport;
use crate::stable_hash::stable_hash;

/// Prefix of the object names of zone statuses.
pub const STATUS_PREFIX: &str = "status/";
/// Number of members whose reports one aggregator collects.
const GROUP_SIZE: usize = 64;
/// Age after which a report expires.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Maximum number of lagging members that a report names.
const MAX_LAGGING: usize = 16;
/// Salt of the hash that assigns members to aggregators.
const GROUP_SALT: u64 = 0x67_72_6f_75_70;

/// Object name of the status of a zone.
pub fn status_name(zone: &Zone) -> String {
    format!("{STATUS_PREFIX}{zone}")
}

/// Versions held in a zone, as written to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: Zone,
    /// The daemon that wrote the status.
    pub author: NodeId,
    /// Lowest version that a member has reported.
    pub lowest: Version,
    /// Number of live members of the zone.
    pub members: u32,
    /// Number of members that have reported within the last 10 s. The lowest version is in force in
    /// the whole zone only if this equals `members`.
    pub reported: u32,
    /// Some of the members that hold an older version than the author.
    pub lagging: Vec<NodeId>,
}

/// Number of reporting groups in a zone of `members` members.
pub fn group_count(members: usize) -> usize {
    members.div_ceil(GROUP_SIZE).max(1)
}

/// The member to which `id` reports its version. `None` for the first reader of the zone.
///
/// `leaders` are the first live members of the zone in the order of its first ring, one for each
/// group. Each leader aggregates the reports of its group, and the first leader is the first reader
/// of the zone. A zone of up to 64 members has one group, whose members report to the first reader.
pub fn aggregator_of<'l>(leaders: &[&'l NodeId], id: &NodeId) -> Option<&'l NodeId> {
    if leaders.contains(&id) {
        return leaders.first().copied().filter(|first| *first != id);
    }
    let groups = leaders.len().max(1) as u64;
    let at = stable_hash(GROUP_SALT, id.as_str()) % groups;
    leaders.get(at as usize).copied()
}

/// Version reports that a daemon has received.
#[derive(Clone, Debug, Default)]
pub struct VersionReports {
    members: BTreeMap<NodeId, (Version, Timestamp)>,
    groups: BTreeMap<NodeId, (HeldReport, Timestamp)>,
}

impl VersionReports {
    /// Records the version that a member holds.
    pub fn record_member(&mut self, id: &NodeId, version: Version, now: Timestamp) {
        self.members.insert(id.clone(), (version, now));
    }

    /// Records the report of an aggregator.
    pub fn record_group(&mut self, id: &NodeId, report: &HeldReport, now: Timestamp) {
        self.groups.insert(id.clone(), (report.clone(), now));
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Timestamp) {
        self.members
            .retain(|_, (_, at)| now.since(*at) <= MAX_REPORT_AGE);
        self.groups
            .retain(|_, (_, at)| now.since(*at) <= MAX_REPORT_AGE);
    }

    /// Summarises the reports of this daemon and of the members for which `covers` is true.
    ///
    /// `own` is the version that this daemon holds.
    pub fn report(&self, own: Version, covers: impl Fn(&NodeId) -> bool) -> HeldReport {
        let covered = self.members.iter().filter(|(id, _)| covers(id));
        let mut report = HeldReport {
            lowest: own,
            members: 1,
            lagging: Vec::new(),
        };
        for (id, (version, _)) in covered {
            report.members += 1;
            report.lowest = report.lowest.min(*version);
            if *version < own && report.lagging.len() < MAX_LAGGING {
                report.lagging.push(id.clone());
            }
        }
        report
    }

    /// Adds the reports of the other aggregators to that of the first reader's own group.
    pub fn with_groups(&self, mut report: HeldReport) -> HeldReport {
        for (group, _) in self.groups.values() {
            report.members += group.members;
            report.lowest = report.lowest.min(group.lowest);
            let room = MAX_LAGGING.saturating_sub(report.lagging.len());
            report
                .lagging
                .extend(group.lagging.iter().take(room).cloned());
        }
        report
    }
}
