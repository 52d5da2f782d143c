//! Results as a table or as JSON.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::callers::{KeyUse, Load};
use crate::owners::OwnersRow;
use crate::state::StateRow;

/// Results of one load.
///
/// The `added` latencies are the differences to orders that go to the back end directly.
#[derive(Debug, Serialize)]
pub(crate) struct LoadRow {
    key: KeyUse,
    callers: usize,
    orders: u64,
    refused: u64,
    orders_per_second: f64,
    p50_ms: f64,
    p99_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    issue_p99_ms: f64,
    /// Platform writes, without those of an idle fleet.
    claim_writes: f64,
    writes_per_order: f64,
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

impl LoadRow {
    pub(crate) fn new(
        key: KeyUse,
        callers: usize,
        load: &Load,
        direct: &Histogram<u64>,
        claim_writes: f64,
        span: Duration,
    ) -> Self {
        let orders = load.latency.len();
        let (p50_ms, p99_ms) = (millis(&load.latency, 0.5), millis(&load.latency, 0.99));
        Self {
            key,
            callers,
            orders,
            refused: load.refused,
            orders_per_second: orders as f64 / span.as_secs_f64(),
            p50_ms,
            p99_ms,
            added_p50_ms: p50_ms - millis(direct, 0.5),
            added_p99_ms: p99_ms - millis(direct, 0.99),
            issue_p99_ms: millis(&load.issue_latency, 0.99),
            claim_writes,
            writes_per_order: claim_writes / orders.max(1) as f64,
        }
    }
}

/// All results.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) platform_latency_ms: u64,
    pub(crate) rows: Vec<LoadRow>,
    pub(crate) state: StateRow,
    pub(crate) owners: OwnersRow,
}

impl Report {
    pub(crate) fn print(&self) {
        println!(
            "platform latency {} ms; times in ms",
            self.platform_latency_ms
        );
        println!(
            "{:>7} {:>7} {:>8} {:>7} {:>9} {:>8} {:>8} {:>9} {:>9} {:>9} {:>8}",
            "key",
            "callers",
            "orders",
            "refused",
            "orders/s",
            "p50",
            "p99",
            "added p50",
            "added p99",
            "issue p99",
            "writes/o"
        );
        for row in &self.rows {
            println!(
                "{:>7} {:>7} {:>8} {:>7} {:>9.0} {:>8.3} {:>8.3} {:>9.3} {:>9.3} {:>9.3} {:>8.4}",
                format!("{:?}", row.key).to_lowercase(),
                row.callers,
                row.orders,
                row.refused,
                row.orders_per_second,
                row.p50_ms,
                row.p99_ms,
                row.added_p50_ms,
                row.added_p99_ms,
                row.issue_p99_ms,
                row.writes_per_order,
            );
        }
        println!(
            "\none range with {} claims, each with its outcome:",
            self.state.claims
        );
        println!(
            "  memory a claim           {:>8.0} bytes",
            self.state.memory_bytes_per_claim
        );
        println!(
            "  platform bytes a claim   {:>8.0} bytes",
            self.state.stored_bytes_per_claim
        );
        println!("  segments                 {:>8}", self.state.segments);
        println!(
            "  largest head             {:>8} bytes",
            self.state.largest_head_bytes
        );
        println!(
            "  merge at a take-over     {:>8.1} ms",
            self.state.take_over_ms
        );
        println!("  of it reading the values {:>8.1} ms", self.state.parse_ms);
        println!(
            "  merge after a conflict   {:>8.3} ms",
            self.state.conflict_ms
        );
        let OwnersRow {
            members,
            rank_ms,
            unchanged_ms,
        } = self.owners;
        println!("\nowners of all ranges among {members} members:");
        println!("  after a change           {rank_ms:>8.3} ms");
        println!("  without a change         {unchanged_ms:>8.3} ms");
    }
}
