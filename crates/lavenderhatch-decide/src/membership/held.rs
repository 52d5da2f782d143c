//! Versions held by the members of a zone.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::{NodeId, Timestamp, Version, Zone};
use serde::{Deserialize, Serialize};

use crate::message::HeldReport;
use crate::stable_hash::stable_hash;

/// Prefix of the names of status objects.
pub const STATUS_PREFIX: &str = "status/";
/// Members that one aggregator covers.
const GROUP_SIZE: usize = 64;
/// Age at which a report no longer counts.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Most lagging members that are named.
const MAX_LAGGING: usize = 16;
/// Salt of the hash that spreads members over aggregators.
const GROUP_SALT: u64 = 0x67_72_6f_75_70;

/// Name of the status object of a zone.
pub fn status_name(zone: &Zone) -> String {
    format!("{STATUS_PREFIX}{zone}")
}

/// Content of a status object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: Zone,
    /// Who wrote the object.
    pub author: NodeId,
    /// Lowest version that a member has reported.
    pub lowest: Version,
    /// Members of the zone that are on the rings.
    pub members: u32,
    /// Members that have reported within the last 10 s. The version is in force in the whole zone
    /// only if this is the number of members.
    pub reported: u32,
    /// Some members that hold less than the author.
    pub lagging: Vec<NodeId>,
}

/// Number of groups of a zone with `members` members.
pub fn groups_of(members: usize) -> usize {
    members.div_ceil(GROUP_SIZE).max(1)
}

/// The member to which `id` reports the version that it holds, `None` for the zone's first reader.
///
/// `leaders` are the first live members of the zone in the order of its first ring, one for each
/// group. Each aggregates a group, and the very first is the zone's first reader. A zone of up to 64
/// members has one group, whose members report to the first reader.
pub fn aggregator_of<'l>(leaders: &[&'l NodeId], id: &NodeId) -> Option<&'l NodeId> {
    if leaders.contains(&id) {
        return leaders.first().copied().filter(|first| *first != id);
    }
    let groups = leaders.len().max(1) as u64;
    let at = stable_hash(GROUP_SALT, id.as_str()) % groups;
    leaders.get(at as usize).copied()
}

/// Reports that a daemon has received.
#[derive(Clone, Debug, Default)]
pub struct HeldVersions {
    members: BTreeMap<NodeId, (Version, Timestamp)>,
    groups: BTreeMap<NodeId, (HeldReport, Timestamp)>,
}

impl HeldVersions {
    /// Notes the version that a member holds.
    pub fn note_member(&mut self, id: &NodeId, version: Version, now: Timestamp) {
        self.members.insert(id.clone(), (version, now));
    }

    /// Notes the report of an aggregator.
    pub fn note_group(&mut self, id: &NodeId, report: &HeldReport, now: Timestamp) {
        self.groups.insert(id.clone(), (report.clone(), now));
    }

    /// Drops reports that no longer count.
    pub fn expire(&mut self, now: Timestamp) {
        self.members.retain(|_, (_, at)| now.since(*at) <= MAX_AGE);
        self.groups.retain(|_, (_, at)| now.since(*at) <= MAX_AGE);
    }

    /// What the members that `covers` accepts hold. `own` is the version of this daemon.
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

    /// Adds the reports of aggregators to the report of the first reader's own group.
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
