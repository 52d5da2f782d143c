//! The overlay network: rings that order members by hash.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use lavenderhatch_core::{MemberRecord, NodeId, Zone};

use crate::stable_hash::stable_hash;

/// Number of rings in each zone.
const ZONE_RINGS: usize = 3;
/// Number of rings that span all zones.
const GLOBAL_RINGS: usize = 2;

/// A ring of members in the order of their hashes.
#[derive(Clone, Debug, Default)]
struct Ring {
    positions: BTreeSet<(u64, NodeId)>,
}

impl Ring {
    fn insert(&mut self, number: usize, id: &NodeId) {
        self.positions.insert(position(number, id));
    }

    fn remove(&mut self, number: usize, id: &NodeId) {
        self.positions.remove(&position(number, id));
    }

    /// Successor and predecessor of a member, which need not be on the ring.
    fn neighbours(&self, number: usize, id: &NodeId) -> impl Iterator<Item = &NodeId> {
        let at = position(number, id);
        let after = (Bound::Excluded(&at), Bound::Unbounded);
        let next = self.positions.range(after).next();
        let next = next.or_else(|| self.positions.first());
        let previous = self.positions.range(..&at).next_back();
        let previous = previous.or_else(|| self.positions.last());
        next.into_iter().chain(previous).map(|(_, id)| id)
    }
}

fn position(number: usize, id: &NodeId) -> (u64, NodeId) {
    (stable_hash(number as u64, id.as_str()), id.clone())
}

/// Position of a member on the first ring of its zone, which is also the rendezvous hash that
/// selects the readers of the zone.
pub fn reader_hash(id: &NodeId) -> u64 {
    stable_hash(GLOBAL_RINGS as u64, id.as_str())
}

/// The rings of each zone and the rings that span all zones.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    global: [Ring; GLOBAL_RINGS],
    zones: BTreeMap<Zone, [Ring; ZONE_RINGS]>,
}

impl Rings {
    /// Adds a member.
    pub fn insert(&mut self, record: &MemberRecord) {
        let of_zone = self.zones.entry(record.zone.clone()).or_default();
        let rings = self.global.iter_mut().chain(of_zone);
        rings
            .enumerate()
            .for_each(|(number, ring)| ring.insert(number, &record.id));
    }

    /// Removes a member.
    pub fn remove(&mut self, record: &MemberRecord) {
        let of_zone = self.zones.get_mut(&record.zone);
        let rings = self.global.iter_mut().chain(of_zone.into_iter().flatten());
        rings
            .enumerate()
            .for_each(|(number, ring)| ring.remove(number, &record.id));
    }

    /// Successors and predecessors of a member on all its rings. The member itself need not be on
    /// them.
    pub fn neighbours(&self, id: &NodeId, zone: &Zone) -> BTreeSet<NodeId> {
        let of_zone = self.zones.get(zone).into_iter().flatten();
        let rings = self.global.iter().chain(of_zone);
        let found = rings
            .enumerate()
            .flat_map(|(number, ring)| ring.neighbours(number, id));
        found.filter(|other| *other != id).cloned().collect()
    }

    /// Members of a zone in the order of its first ring. See [`reader_hash`].
    pub fn zone_members(&self, zone: &Zone) -> impl Iterator<Item = &NodeId> {
        let first = self.zones.get(zone).map(|rings| &rings[0]);
        first
            .into_iter()
            .flat_map(|ring| ring.positions.iter().map(|(_, id)| id))
    }

    /// Number of members of a zone.
    pub fn zone_len(&self, zone: &Zone) -> usize {
        self.zones
            .get(zone)
            .map_or(0, |rings| rings[0].positions.len())
    }
}
