//! Measures what keeping orders at most once costs.
//!
//! Real daemons run in this process with the stand-ins of platform and back end. Callers place
//! orders with issued keys, with keys that they choose, and without keys; each order is compared
//! with a call that goes to the back end directly.

#[path = "orders/callers.rs"]
mod callers;
#[path = "orders/fleet.rs"]
mod fleet;
#[path = "orders/platform.rs"]
mod platform;
#[path = "orders/report.rs"]
mod report;
#[path = "orders/state.rs"]
mod state;

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{OptionExt, Result};

use callers::{KeyUse, Load};
use fleet::Fleet;
use report::{LoadRow, Report};

fn main() -> Result<()> {
    let args = command().get_matches();
    let report = run(&args)?;
    match args.get_flag("json") {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => report.print(),
    }
    Ok(())
}

fn command() -> Command {
    Command::new("orders")
        .about("Measures what keeping orders at most once costs")
        .arg(number("daemons", "3", "Daemons, each with a back end"))
        .arg(number("seconds", "3", "Length of each measurement"))
        .arg(number(
            "platform-latency-ms",
            "5",
            "Latency of each call to the platform",
        ))
        .arg(number(
            "service-ms",
            "0",
            "Time that the back end takes for an order",
        ))
        .arg(number("claims", "100000", "Claims in the measured range"))
        .arg(
            Arg::new("callers")
                .long("callers")
                .value_name("N,...")
                .help("Numbers of callers at the same time")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .default_value("1,16,64"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints JSON instead of a table")
                .action(ArgAction::SetTrue),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn run(args: &ArgMatches) -> Result<Report> {
    let get = |name: &str| args.get_one::<u64>(name).copied().ok_or_eyre("no value");
    let latency_ms = get("platform-latency-ms")?;
    // First, while nothing else takes memory.
    let state = state::measure(get("claims")?)?;
    let fleet = Fleet::start(get("daemons")? as usize, latency_ms, get("service-ms")?)?;
    let span = Duration::from_secs(get("seconds")?);
    let mut rows = Vec::new();
    for callers in args.get_many::<usize>("callers").into_iter().flatten() {
        let mut direct = None;
        for key in [KeyUse::Direct, KeyUse::None, KeyUse::Issued, KeyUse::Chosen] {
            let writes_before = fleet.claim_writes();
            let load = Load::run(&fleet, key, *callers, span)?;
            let writes = fleet.claim_writes() - writes_before;
            let baseline = direct.get_or_insert_with(|| load.latency.clone());
            rows.push(LoadRow::new(key, *callers, &load, baseline, writes, span));
        }
    }
    Ok(Report {
        platform_latency_ms: latency_ms,
        rows,
        state,
    })
}
