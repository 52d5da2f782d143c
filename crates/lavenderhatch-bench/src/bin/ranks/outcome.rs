//! Results of a simulation.

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::scenario::RANKS;

/// Counts and latencies of one rank.
struct RankOutcome {
    offered: u64,
    within_target: u64,
    refused: u64,
    latency_us: Histogram<u64>,
}

/// Results of a simulation, by rank.
pub(crate) struct Outcome {
    /// Length of the measured time, in seconds.
    measured_s: f64,
    ranks: Vec<RankOutcome>,
}

impl Outcome {
    pub(crate) fn new(seconds: u64) -> Self {
        let rank = || RankOutcome {
            offered: 0,
            within_target: 0,
            refused: 0,
            latency_us: Histogram::new_with_max(60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("constant bounds")),
        };
        Self {
            // Calls of the last second are not measured, since they may not be answered in time.
            measured_s: seconds.saturating_sub(1).max(1) as f64,
            ranks: RANKS.iter().map(|_| rank()).collect(),
        }
    }

    pub(crate) fn offer(&mut self, rank: usize) {
        self.ranks[rank].offered += 1;
    }

    pub(crate) fn refuse(&mut self, rank: usize) {
        self.ranks[rank].refused += 1;
    }

    pub(crate) fn answer(&mut self, rank: usize, latency_us: u64) {
        let outcome = &mut self.ranks[rank];
        outcome.latency_us.saturating_record(latency_us);
        if latency_us <= RANKS[rank].target_ms * 1000 {
            outcome.within_target += 1;
        }
    }

    /// Returns the number of answers within their target per second.
    pub(crate) fn goodput(&self) -> f64 {
        let within: u64 = self.ranks.iter().map(|rank| rank.within_target).sum();
        within as f64 / self.measured_s
    }

    /// Returns the worth of the answers within their target per second.
    pub(crate) fn worth(&self) -> f64 {
        let worth = |(outcome, rank): (&RankOutcome, &crate::scenario::RankLoad)| {
            outcome.within_target as f64 * f64::from(rank.worth)
        };
        self.ranks.iter().zip(&RANKS).map(worth).sum::<f64>() / self.measured_s
    }

    /// Returns the percentage of offered requests of a rank that were answered within its target.
    pub(crate) fn percent_within_target(&self, rank: usize) -> f64 {
        let outcome = &self.ranks[rank];
        100.0 * outcome.within_target as f64 / outcome.offered.max(1) as f64
    }

    pub(crate) fn to_json(&self) -> Value {
        let rank = |(outcome, load): (&RankOutcome, &crate::scenario::RankLoad)| {
            json!({
                "rank": load.name,
                "offered": outcome.offered,
                "within_target": outcome.within_target,
                "answered": outcome.latency_us.len(),
                "refused": outcome.refused,
                "p50_us": outcome.latency_us.value_at_quantile(0.5),
                "p99_us": outcome.latency_us.value_at_quantile(0.99),
            })
        };
        let ranks: Vec<Value> = self.ranks.iter().zip(&RANKS).map(rank).collect();
        json!({ "goodput": self.goodput(), "worth": self.worth(), "ranks": ranks })
    }
}
