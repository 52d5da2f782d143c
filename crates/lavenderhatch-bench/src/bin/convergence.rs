//! Measures how long accepted versions take to come into force on many daemon processes, and the
//! resources that a daemon uses.
//!
//! The daemons run as processes on loopback, and the platform stand-in runs in this process. Delays
//! are measured from the moment before a version is written to the audit events of the daemons. All
//! processes read the same clock.

#[path = "convergence/fleet.rs"]
mod fleet;
#[path = "convergence/process.rs"]
mod process;
#[path = "convergence/report.rs"]
mod report;
#[path = "convergence/run.rs"]
mod run;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;

use run::{Plan, Scenario};

fn main() -> Result<()> {
    let args = command().get_matches();
    let mut results = Vec::new();
    for daemons in args.get_many::<usize>("daemons").into_iter().flatten() {
        for scenario in args.get_many::<Scenario>("scenario").into_iter().flatten() {
            let result = run::run(&plan(&args, *daemons, *scenario))?;
            println!("{}", report::row(&result));
            results.push(result);
        }
    }
    println!("\n{}", report::table(&results));
    if let Some(path) = args.get_one::<PathBuf>("json") {
        std::fs::write(path, serde_json::to_vec_pretty(&results)?)?;
    }
    Ok(())
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(usize))
    };
    Command::new("convergence")
        .about("Measures the spread of accepted versions over daemon processes")
        .arg(number("daemons", "10", "Daemons to start").num_args(1..))
        .arg(number("zones", "3", "Availability zones"))
        .arg(number("services", "100", "Services of the mesh"))
        .arg(number("changes", "20", "Changes to apply"))
        .arg(number("interval-ms", "1100", "Time between two changes"))
        .arg(number(
            "idle-ms",
            "10000",
            "Time without changes that is measured",
        ))
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .help("What happens while changes are applied")
                .num_args(1..)
                .default_value("calm")
                .value_parser(Scenario::parse),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Where the results go as JSON")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn plan(args: &ArgMatches, daemons: usize, scenario: Scenario) -> Plan {
    let number = |name: &str| args.get_one::<usize>(name).copied().unwrap_or_default();
    Plan {
        daemons,
        zones: number("zones"),
        services: number("services"),
        changes: number("changes"),
        interval_ms: number("interval-ms") as u64,
        idle_ms: number("idle-ms") as u64,
        scenario,
    }
}
