//! Measures the cost of running orders at most once.
//!
//! Real daemons run as processes, with the stand-ins of the platform and the back ends in this
//! process. Callers place orders with issued keys, with keys that they choose, and without keys.
//! Their latencies are compared with those of calls that go to the back end directly.

#[path = "orders/callers.rs"]
mod callers;
#[path = "orders/fleet.rs"]
mod fleet;
#[path = "orders/owners.rs"]
mod owners;
#[path = "orders/report.rs"]
mod report;
#[path = "orders/state.rs"]
mod state;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use crossbeam::channel::after;
use eyre::{OptionExt, Result};

use callers::{KeyUse, Load};
use fleet::OrderFleet;
use report::{LoadRow, Report};

/// Time after a load for the last outcomes to be written. Range owners delay these writes by up to
/// 4 s.
const OUTCOME_WRITE_TIME: Duration = Duration::from_secs(6);

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
        .arg(number(
            "members",
            "22000",
            "Members whose ranges are ranked",
        ))
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
            Arg::new("dir")
                .long("dir")
                .value_name("DIR")
                .help("Takes settings and logs of the daemons")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/tmp/bench-orders"),
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
    // Runs first, since other memory use in this process would distort the resident size.
    let state = state::measure(get("claims")?)?;
    let dir = args.get_one::<PathBuf>("dir").ok_or_eyre("no value")?;
    let daemons = get("daemons")? as usize;
    let fleet = OrderFleet::start(dir, daemons, latency_ms, get("service-ms")?)?;
    let span = Duration::from_secs(get("seconds")?);
    let mut rows = Vec::new();
    for callers in args.get_many::<usize>("callers").into_iter().flatten() {
        let mut direct = None;
        for key in [KeyUse::Direct, KeyUse::None, KeyUse::Issued, KeyUse::Chosen] {
            let start = Instant::now();
            let writes_before = fleet.writes();
            let load = Load::run(&fleet, key, *callers, span)?;
            if key == KeyUse::Chosen {
                let _ = after(OUTCOME_WRITE_TIME).recv();
            }
            let writes = (fleet.writes() - writes_before) as f64;
            let writes = writes - fleet.idle_writes(start.elapsed());
            let baseline = direct.get_or_insert_with(|| load.latency.clone());
            rows.push(LoadRow::new(key, *callers, &load, baseline, writes, span));
        }
    }
    Ok(Report {
        platform_latency_ms: latency_ms,
        rows,
        state,
        owners: owners::measure(get("members")?)?,
    })
}
