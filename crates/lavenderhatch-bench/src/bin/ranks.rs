//! Simulates the decisions on ranks, concurrency limits, retries and routing in virtual time, and
//! compares them with simple baselines.

#[path = "ranks/admission.rs"]
mod admission;
#[path = "ranks/crowd.rs"]
mod crowd;
#[path = "ranks/entry_daemon.rs"]
mod entry_daemon;
#[path = "ranks/model.rs"]
mod model;
#[path = "ranks/outcome.rs"]
mod outcome;
#[path = "ranks/scenario.rs"]
mod scenario;
#[path = "ranks/server.rs"]
mod server;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use admission::Variant;
use crowd::DelaySource;
use model::Model;
use scenario::{Fault, RANKS, Scenario, capacity};

/// Offered loads relative to the capacity of the service.
const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 5.0];

fn main() -> Result<()> {
    let args = command().get_matches();
    match args.subcommand() {
        Some(("crowd", args)) => run_crowd(args),
        Some((_, args)) => run_floods(args),
        None => Ok(()),
    }
}

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print one JSON object a line");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .help("Virtual seconds that are measured")
        .value_parser(value_parser!(u64).range(2..))
        .default_value("10");
    let callers = Arg::new("callers")
        .long("callers")
        .value_parser(value_parser!(u64).range(1..))
        .default_value("3000");
    Command::new("ranks")
        .about("Measures the decisions on ranks in virtual time")
        .subcommand_required(true)
        .subcommand(
            Command::new("flood")
                .about("Floods of the least and the most urgent rank, with faults")
                .args([seed.clone(), json.clone(), seconds]),
        )
        .subcommand(
            Command::new("crowd")
                .about("A refused crowd and its ways of backing off")
                .args([seed, json, callers]),
        )
}

fn seed(args: &ArgMatches) -> u64 {
    args.get_one("seed").copied().unwrap_or(1)
}

fn run_floods(args: &ArgMatches) -> Result<()> {
    let seconds = args.get_one("seconds").copied().unwrap_or(10);
    let is_json = args.get_flag("json");
    if !is_json {
        println!("capacity {} requests a second", capacity());
        println!(
            "| load | flood | fault | variant | goodput/s | worth/s | urgent % | normal % | background % |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
    }
    for fault in Fault::ALL {
        for flood in [RANKS.len() - 1, 0] {
            for load in LOADS {
                let scenario = Scenario { load, flood, fault };
                run_variants(scenario, seed(args), seconds, is_json)?;
            }
        }
    }
    Ok(())
}

/// Runs and prints each variant under the same scenario and seed.
fn run_variants(scenario: Scenario, seed: u64, seconds: u64, is_json: bool) -> Result<()> {
    let table = scenario::table()?;
    let Scenario { load, flood, fault } = scenario;
    let (flood, fault) = (RANKS[flood].name, fault.as_str());
    for variant in Variant::ALL {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let outcome = Model::new(scenario, variant, &table, rng, seconds)?.run();
        let variant = variant.as_str();
        if is_json {
            let outcome = outcome.to_json();
            let line = json!({ "load": load, "flood": flood, "fault": fault, "variant": variant,
                "seed": seed, "outcome": outcome });
            println!("{line}");
            continue;
        }
        let within: Vec<String> = (0..RANKS.len())
            .map(|rank| format!("{:.1}", outcome.percent_within_target(rank)))
            .collect();
        println!(
            "| {load} | {flood} | {fault} | {variant} | {:.0} | {:.0} | {} |",
            outcome.goodput(),
            outcome.worth(),
            within.join(" | ")
        );
    }
    Ok(())
}

fn run_crowd(args: &ArgMatches) -> Result<()> {
    let callers = args.get_one::<u64>("callers").map_or(3000, |n| *n as usize);
    let is_json = args.get_flag("json");
    if !is_json {
        println!(
            "| advice | half served s | 99% served s | all served s | retries a caller | peak in 100 ms |"
        );
        println!("|---|---|---|---|---|---|");
    }
    for source in DelaySource::all() {
        let outcome = crowd::run(source, callers, Pcg64Mcg::seed_from_u64(seed(args)));
        let name = source.as_str();
        if is_json {
            let line = json!({ "advice": name, "callers": callers, "half_s": outcome.half_s,
                "most_s": outcome.most_s, "all_s": outcome.all_s, "retries": outcome.retries,
                "peak": outcome.peak });
            println!("{line}");
            continue;
        }
        println!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.1} | {} |",
            outcome.half_s, outcome.most_s, outcome.all_s, outcome.retries, outcome.peak
        );
    }
    Ok(())
}
