//! Claim ranges and their owners.

use std::fmt;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Digest, MemberRecord, NodeId};

use crate::stable_hash::{stable_hash, stable_hash_u64};

/// Number of claim ranges in the fleet. At 4 commits a second for each range they write at most
/// 256 times a second, below the platform's limit of 300.
pub const RANGE_COUNT: u16 = 64;

/// Members ranked for each range: the owner, and the fallbacks if it cannot be reached.
const CANDIDATE_COUNT: usize = 3;
/// Salt for hashing member names.
const NAME_SALT: u64 = 0;

/// Number of a claim range. Invariant: less than [`RANGE_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RangeId(u16);

impl RangeId {
    /// The range that a key belongs to.
    pub fn for_key(key_hash: &Digest) -> Self {
        let [a, b, ..] = *key_hash.as_bytes();
        Self(u16::from_le_bytes([a, b]) % RANGE_COUNT)
    }

    /// All ranges.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..RANGE_COUNT).map(Self)
    }

    /// The range as a number below [`RANGE_COUNT`].
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

/// Owner and fallbacks of each claim range, chosen among the live members by rendezvous hashing.
///
/// Daemons with different views of the membership may name different owners. That only costs write
/// conflicts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeOwners {
    /// Indexed by range number; the owner comes first.
    by_range: Vec<Vec<NodeId>>,
    /// Wrapping sum of the name hashes of the ranked members.
    fingerprint: u64,
}

impl RangeOwners {
    /// Ranks the live members for each range, in time proportional to members times ranges.
    pub fn from_members(members: &Members) -> Self {
        let live: Vec<(&MemberRecord, u64)> = members
            .live()
            .map(|record| (record, stable_hash(NAME_SALT, record.id.as_str())))
            .collect();
        Self {
            by_range: RangeId::all()
                .map(|range| rank_candidates(&live, range))
                .collect(),
            fingerprint: fingerprint(members),
        }
    }

    /// Whether this ranking was made from the same live members. Much cheaper than a new ranking.
    pub fn is_current_for(&self, members: &Members) -> bool {
        !self.by_range.is_empty() && self.fingerprint == fingerprint(members)
    }

    /// The owner of a range, followed by its fallbacks. Empty if no member is known.
    pub fn candidates(&self, range: RangeId) -> &[NodeId] {
        self.by_range
            .get(usize::from(range.0))
            .map_or(&[], Vec::as_slice)
    }

    /// Whether `node` owns the range.
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

fn rank_candidates(live: &[(&MemberRecord, u64)], range: RangeId) -> Vec<NodeId> {
    let mut top: Vec<(u64, &NodeId)> = Vec::with_capacity(CANDIDATE_COUNT + 1);
    for (record, hash) in live {
        let weight = stable_hash_u64(u64::from(range.0), *hash);
        let at = top.partition_point(|(present, id)| (*present, *id) < (weight, &record.id));
        if at < CANDIDATE_COUNT {
            top.insert(at, (weight, &record.id));
            top.truncate(CANDIDATE_COUNT);
        }
    }
    top.into_iter().map(|(_, id)| id.clone()).collect()
}
