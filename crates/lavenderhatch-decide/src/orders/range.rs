//! Claim ranges and their owners.

use std::fmt;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Digest, MemberRecord, NodeId};

use crate::stable_hash::{stable_hash, stable_hash_u64};

/// Claim ranges of the whole fleet. At 4 commits a second each they write at most 256 times a
/// second, of 300 that the platform allows.
pub const RANGES: u16 = 64;

/// Owners that are known for a range: the owner, and those that are asked if it cannot be reached.
const CANDIDATES: usize = 3;
/// Salt of the hash of a name in rankings.
const NAME_SALT: u64 = 0;

/// Number of a claim range. Invariant: less than [`RANGES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RangeId(u16);

impl RangeId {
    /// The range of a key.
    pub fn of(key_hash: &Digest) -> Self {
        let [a, b, ..] = *key_hash.as_bytes();
        Self(u16::from_le_bytes([a, b]) % RANGES)
    }

    /// All ranges.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..RANGES).map(Self)
    }

    /// The number.
    pub fn number(self) -> u16 {
        self.0
    }

    /// Name of the object that holds the open end of the range's log.
    pub fn head_name(self) -> String {
        format!("claims/{}/head", self.0)
    }

    /// Name of the object that holds a sealed segment.
    pub fn segment_name(self, segment: &str) -> String {
        format!("claims/{}/{segment}", self.0)
    }
}

impl fmt::Display for RangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The owner of each range among the live members, by rendezvous hash, and the members that follow
/// it. Two daemons with different views may name different owners; that costs conflicts only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeOwners {
    /// By number of the range, best first.
    by_range: Vec<Vec<NodeId>>,
    /// Sum of the hashes of the names of the members that were ranked.
    fingerprint: u64,
}

impl RangeOwners {
    /// Ranks the live members for each range. Takes time in proportion to members and ranges.
    pub fn of(members: &Members) -> Self {
        let live: Vec<(&MemberRecord, u64)> = members
            .live()
            .map(|record| (record, stable_hash(NAME_SALT, record.id.as_str())))
            .collect();
        Self {
            by_range: RangeId::all().map(|range| best(&live, range)).collect(),
            fingerprint: fingerprint(members),
        }
    }

    /// Whether the live members are those that were ranked. Much cheaper than to rank them anew.
    pub fn is_of(&self, members: &Members) -> bool {
        !self.by_range.is_empty() && self.fingerprint == fingerprint(members)
    }

    /// The owner of a range and those that follow it; empty if no member is known.
    pub fn candidates(&self, range: RangeId) -> &[NodeId] {
        self.by_range
            .get(usize::from(range.0))
            .map_or(&[], Vec::as_slice)
    }

    /// Whether `node` is the owner.
    pub fn is_owner(&self, range: RangeId, node: &NodeId) -> bool {
        self.candidates(range).first() == Some(node)
    }
}

fn fingerprint(members: &Members) -> u64 {
    let hashes = members
        .live()
        .map(|record| stable_hash(NAME_SALT, record.id.as_str()));
    hashes.fold(0, u64::wrapping_add)
}

fn best(live: &[(&MemberRecord, u64)], range: RangeId) -> Vec<NodeId> {
    let mut top: Vec<(u64, &NodeId)> = Vec::with_capacity(CANDIDATES + 1);
    for (record, hash) in live {
        let weight = stable_hash_u64(u64::from(range.0), *hash);
        let at = top.partition_point(|(present, id)| (*present, *id) < (weight, &record.id));
        if at < CANDIDATES {
            top.insert(at, (weight, &record.id));
            top.truncate(CANDIDATES);
        }
    }
    top.into_iter().map(|(_, id)| id.clone()).collect()
}
