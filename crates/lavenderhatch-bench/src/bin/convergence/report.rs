//! Results as a Markdown table.

use crate::run::{Cost, Outcome, Quantiles};

const HEAD: &str =
    "| daemons | scenario | one daemon ms (median, p99, max) | all daemons ms (median, p99, max) \
| missing | reverted | control KB/s idle (median, max) | control KB/s with changes (median, max) \
| processor % of a core with changes (median, max) | resident MB (median, max) \
| platform reads/s, writes/s idle | platform reads/s, writes/s with changes |
|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Formats the row of one measurement.
pub(crate) fn row(outcome: &Outcome) -> String {
    let times = |q: &Quantiles| format!("{}, {}, {}", q.median, q.p99, q.max);
    let pair = |q: &Quantiles| format!("{:.2}, {:.2}", q.median, q.max);
    let calls = |cost: &Cost| {
        format!(
            "{:.1}, {:.1}",
            cost.platform_reads_s, cost.platform_writes_s
        )
    };
    format!(
        "| {} | {:?} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        outcome.plan.daemons,
        outcome.plan.scenario,
        times(&outcome.one_ms),
        times(&outcome.all_ms),
        outcome.missing,
        outcome.reverted,
        pair(&outcome.idle.control_kb_s),
        pair(&outcome.busy.control_kb_s),
        pair(&outcome.busy.processor_percent),
        pair(&outcome.busy.resident_mb),
        calls(&outcome.idle),
        calls(&outcome.busy),
    )
}

/// Formats all rows, with the head of the table.
pub(crate) fn table(outcomes: &[Outcome]) -> String {
    let rows: Vec<String> = outcomes.iter().map(row).collect();
    format!("{HEAD}\n{}", rows.join("\n"))
}
