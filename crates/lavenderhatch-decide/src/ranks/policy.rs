//! Ranks in the form in which the admission queue uses them.

use std::collections::BTreeMap;

use lavenderhatch_core::RankName;
use lavenderhatch_core::mesh::Rank;

/// Target of requests whose rank is not described, in milliseconds.
const DEFAULT_TARGET_MS: u64 = 1000;

/// What the queue needs to know about a rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RankPolicy {
    /// Name; `None` for requests whose rank is not described.
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
    /// Invariant: sorted by target, the greater worth first among equals, and the policy without a
    /// name last.
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
        // A peer may hold a newer mesh; its ranks are served last until this daemon knows them.
        ranks.push(RankPolicy {
            name: None,
            target_ms: DEFAULT_TARGET_MS,
            worth: 1,
            share: 0.0,
        });
        Self { ranks }
    }

    /// Position of a rank; unknown names have the last position.
    pub fn position(&self, name: &str) -> usize {
        let is_named =
            |rank: &RankPolicy| rank.name.as_ref().is_some_and(|own| own.as_str() == name);
        let known = self.ranks.iter().position(is_named);
        known.unwrap_or(self.ranks.len() - 1)
    }

    /// The ranks, most urgent first.
    pub fn ranks(&self) -> &[RankPolicy] {
        &self.ranks
    }
}
