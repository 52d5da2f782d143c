//! Compares policies for placing and queueing requests under several load patterns.
//!
//! The decisions are those of `lavenderhatch_decide::relay`, called with simulated time. Each
//! pattern is simulated with each policy and with several seeds.

mod chart;
mod outcome;
mod pattern;
mod policy;
mod request;
mod server;
mod simulation;

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};
use eyre::{Result, eyre};
use lavenderhatch_bench::report;
use outcome::Outcome;
use pattern::{KINDS, Pattern};
use policy::Policy;
use serde::{Deserialize, Serialize};
use simulation::Simulation;

/// Results of one pattern under one policy, over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Row {
    pub(crate) pattern: String,
    pub(crate) policy: String,
    /// Mean, minimum and maximum worth over the seeds.
    pub(crate) worth: [f64; 3],
    /// Share of the requests that were answered.
    pub(crate) served: f64,
    /// Share of the requests that were answered within their target, by kind.
    pub(crate) on_time: Vec<f64>,
}

fn main() -> Result<()> {
    let args = command().get_matches();
    let seeds = *args
        .get_one::<u64>("seeds")
        .ok_or_else(|| eyre!("missing value of --seeds"))?;
    let only = args.get_one::<String>("pattern");
    let mut rows = Vec::new();
    for pattern in Pattern::ALL
        .iter()
        .filter(|p| only.is_none_or(|only| p.name == only))
    {
        for policy in &Policy::ALL {
            let outcomes: Vec<Outcome> = (1..=seeds)
                .map(|seed| Simulation::run(pattern, policy, seed))
                .collect();
            let row = row(pattern, policy, &outcomes);
            print_row(&row, rows.is_empty());
            rows.push(row);
        }
    }
    if let Some(path) = args.get_one::<PathBuf>("json") {
        report::write(path, &rows)?;
    }
    match args.get_one::<PathBuf>("svg") {
        Some(path) => chart::draw(path, &rows),
        None => Ok(()),
    }
}

fn command() -> Command {
    Command::new("relay_load")
        .about("Compares ways to place requests and to let them wait, under load patterns")
        .arg(
            Arg::new("pattern")
                .long("pattern")
                .value_name("NAME")
                .help("Plays only this pattern")
                .value_parser(Pattern::ALL.map(|pattern| pattern.name)),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .help("Plays of each pattern")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..=1000)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Takes the results")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .help("Takes a chart of the results")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn row(pattern: &Pattern, policy: &Policy, outcomes: &[Outcome]) -> Row {
    let mean =
        |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    let worths = outcomes.iter().map(Outcome::worth);
    let least = worths.clone().fold(f64::INFINITY, f64::min);
    let largest = worths.fold(0.0, f64::max);
    let kinds = 0..outcomes[0].kinds.len();
    Row {
        pattern: pattern.name.to_owned(),
        policy: policy.name.to_owned(),
        worth: [mean(&Outcome::worth), least, largest],
        served: mean(&Outcome::served),
        on_time: kinds
            .map(|kind| mean(&|outcome| outcome.kinds[kind].on_time_share()))
            .collect(),
    }
}

fn print_row(row: &Row, is_first: bool) {
    if is_first {
        let kinds = KINDS.iter().take(row.on_time.len());
        let kinds: Vec<&str> = kinds.map(|kind| kind.name).collect();
        println!(
            "| pattern | policy | worth (least to largest) | served | on time: {} |",
            kinds.join(", ")
        );
        println!("|---|---|---|---|---|");
    }
    let [mean, least, largest] = row.worth;
    let on_time: Vec<String> = row
        .on_time
        .iter()
        .map(|share| format!("{share:.2}"))
        .collect();
    println!(
        "| {} | {} | {mean:.3} ({least:.3} to {largest:.3}) | {:.3} | {} |",
        row.pattern,
        row.policy,
        row.served,
        on_time.join(", ")
    );
}
