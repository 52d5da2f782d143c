//! Ranks as the admission queue uses them.

use std::collections::BTreeMap;

use lavenderhatch_core::RankName;
use lavenderhatch_core::mesh::Rank;

/// Latency target of requests whose rank is not in the mesh, in milliseconds.
const DEFAULT_TARGET_MS: u64 = 1000;

/// Scheduling parameters of a rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RankPolicy {
    /// Name; `None` for requests whose rank is not in the mesh.
    pub name: Option<RankName>,
    /// Latency target, in milliseconds.
    pub target_ms: u64,
    /// Value of one request answered within its target.
    pub worth: u32,
    /// Guaranteed share of the slots, 0 to 1.
    pub share: f64,
}

/// The ranks of a mesh, most urgent first.
#[derive(Clone, Debug, PartialEq)]
pub struct RankTable {
    /// Invariant: sorted by ascending target and then by descending worth. The policy without a
    /// name is last.
    ranks: Vec<RankPolicy>,
}

impl RankTable {
    /// Sorts the ranks of a mesh by urgency.
    pub fn new(ranks: &BTreeMap<RankName, Rank>) -> Self {
        let policy = |(name, rank): (&RankName, &Rank)| RankPolicy {
            name: Some(name.clone()),
            target_ms: rank.target_ms,
            worth: rank.worth,
            share: rank.share,
        };
        let mut ranks: Vec<RankPolicy> = ranks.iter().map(policy).collect();
        ranks.sort_by_key(|rank| (rank.target_ms, std::cmp::Reverse(rank.worth)));
        // A peer may have a newer mesh. Its new ranks are served last until this daemon has it too.
        ranks.push(RankPolicy {
            name: None,
            target_ms: DEFAULT_TARGET_MS,
            worth: 1,
            share: 0.0,
        });
        Self { ranks }
    }

    /// Returns the position of a rank. Unknown names get the last position.
    pub fn position(&self, name: &str) -> usize {
        let is_named =
            |rank: &RankPolicy| rank.name.as_ref().is_some_and(|own| own.as_str() == name);
        let known = self.ranks.iter().position(is_named);
        known.unwrap_or(self.ranks.len() - 1)
    }

    /// Returns the ranks, most urgent first.
    pub fn ranks(&self) -> &[RankPolicy] {
        &self.ranks
    }
}
