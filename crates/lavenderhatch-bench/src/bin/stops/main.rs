//! Measures planned stops with real daemons.
//!
//! The results are the time until the last new request reaches the back end of the stopped daemon,
//! the calls that were cut off, the calls that it forwarded to others, and the latency that
//! forwarding adds.

mod callers;
mod report;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime};

use clap::{Arg, ArgMatches, Command, value_parser};
use crossbeam::channel::after;
use eyre::{Result, ensure, eyre};
use lavenderhatch_bench::{Fleet, FleetNode, NodeOptions};
use lavenderhatch_standin::{BackendStandin, Behaviour};

use callers::{Callers, Reconnect};
use report::{Report, Run};

/// Time between the acceptance of a stop and its start, in which the stop must reach all daemons.
const STOP_LEAD_TIME: Duration = Duration::from_secs(2);

/// Time between the start of a stop and its deadline.
const STOP_DURATION: Duration = Duration::from_secs(600);
/// Slots of each back end. There are more than callers, so that no call waits for one.
const SLOTS: u32 = 512;

/// Settings of a measurement.
#[derive(Clone, Copy, Debug)]
struct Plan {
    daemons: usize,
    /// Callers at each daemon.
    callers: usize,
    /// Service time of the back ends, in milliseconds.
    service_ms: u64,
    warm_up: Duration,
    load_after_start: Duration,
    /// Whether the daemon leaves because of a signal instead of a planned stop.
    is_signal: bool,
    reconnect: Reconnect,
}

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_name("N").help(help);
        arg.default_value(default).value_parser(value_parser!(u64))
    };
    let choice = |name: &'static str, values: [&'static str; 2], help: &'static str| {
        let arg = Arg::new(name).long(name).help(help);
        arg.default_value(values[0]).value_parser(values)
    };
    Command::new("stops")
        .about("Stops one of several daemons under load and measures what callers notice")
        .arg(number("runs", "3", "Runs, each with daemons of its own"))
        .arg(number("daemons", "3", "Daemons, all of one service"))
        .arg(number("callers", "4", "Callers at each daemon"))
        .arg(number(
            "service-ms",
            "5",
            "Time of a request on the back end",
        ))
        .arg(number(
            "warm-s",
            "22",
            "Load before the stop, past the slow start",
        ))
        .arg(number("after-s", "6", "Load after the start of the stop"))
        .arg(choice(
            "by",
            ["stop", "signal"],
            "What makes the daemon leave",
        ))
        .arg(choice(
            "callers-at-close",
            ["stay", "move"],
            "Where callers reconnect",
        ))
        .arg(choice("output", ["text", "json"], "Format of the output"))
}

fn run(args: &ArgMatches) -> Result<()> {
    let number = |name: &str| *args.get_one::<u64>(name).unwrap_or(&0);
    let is = |name: &str, value: &str| args.get_one::<String>(name).is_some_and(|v| v == value);
    let plan = Plan {
        daemons: number("daemons").max(2) as usize,
        callers: number("callers") as usize,
        service_ms: number("service-ms"),
        warm_up: Duration::from_secs(number("warm-s")),
        load_after_start: Duration::from_secs(number("after-s")),
        is_signal: is("by", "signal"),
        reconnect: match is("callers-at-close", "move") {
            true => Reconnect::NextDaemon,
            false => Reconnect::SameDaemon,
        },
    };
    let mut report = Report::new()?;
    for _ in 0..number("runs") {
        report.add(&measure(&plan)?);
    }
    match is("output", "json") {
        true => report.print_json(),
        false => report.print_table(),
    }
    Ok(())
}

/// Runs load, stops the first daemon, and goes on with the load.
fn measure(plan: &Plan) -> Result<Run> {
    let dir = std::env::temp_dir().join(format!("lavenderhatch-stops-{}", std::process::id()));
    let mut fleet = Fleet::open(&dir)?;
    let _backends = start_nodes(&mut fleet, plan)?;
    let addrs: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.caller_addr).collect();
    let callers = Callers::start(&addrs, plan.callers, plan.reconnect);
    wait(plan.warm_up)?;
    let start = match plan.is_signal {
        true => {
            send_sigterm(fleet.nodes[0].pid())?;
            Instant::now()
        }
        false => {
            let start = Instant::now() + STOP_LEAD_TIME;
            fleet.apply(&mesh(&stop_of_first(SystemTime::now() + STOP_LEAD_TIME)))?;
            wait(start.saturating_duration_since(Instant::now()))?;
            start
        }
    };
    wait(plan.load_after_start)?;
    let run = Run {
        start,
        service: Duration::from_millis(plan.service_ms),
        phase: phase(&fleet.nodes[0]),
        calls: callers.stop(),
    };
    drop(fleet);
    std::fs::remove_dir_all(&dir)?;
    Ok(run)
}

fn start_nodes(fleet: &mut Fleet, plan: &Plan) -> Result<Vec<BackendStandin>> {
    let behaviour = Behaviour {
        slots: SLOTS,
        service_ms: plan.service_ms,
        ..Behaviour::default()
    };
    let mut backends = Vec::new();
    for number in 0..plan.daemons {
        let name = format!("n{number}");
        let backend = BackendStandin::bind(Fleet::free_addr(), &name, behaviour.clone())?;
        fleet.add_node(&NodeOptions {
            name: &name,
            zone: "zone-a",
            service: "work",
            backend: backend.addr(),
        })?;
        backends.push(backend);
    }
    fleet.wait_for_members(plan.daemons)?;
    let version = fleet.apply(&mesh(""))?;
    fleet.wait_for_version(version)?;
    Ok(backends)
}

fn mesh(stops: &str) -> String {
    format!(
        r#"{{ "ranks": {{ "urgent": {{ "target_ms": 50, "worth": 100, "share": 0.4 }} }},
  "services": {{ "work": {{ "slots": {SLOTS} }} }},
  "routes": {{ "work": {{ "path": "/jobs", "service": "work", "rank": "urgent",
                         "timeout_ms": 8000, "idempotent": false }} }},
  "stops": {{ {stops} }} }}"#
    )
}

fn stop_of_first(start: SystemTime) -> String {
    let text = |time| humantime::format_rfc3339_millis(time).to_string();
    let (start, deadline) = (text(start), text(start + STOP_DURATION));
    format!(r#""stop": {{ "backend_server": "n0", "start": "{start}", "deadline": "{deadline}" }}"#)
}

fn send_sigterm(pid: u32) -> Result<()> {
    let mut kill = std::process::Command::new("kill");
    let status = kill.args(["-TERM", &pid.to_string()]).status()?;
    ensure!(status.success(), "cannot send SIGTERM to process {pid}");
    Ok(())
}

/// Returns the phase of the stop as the daemon reports it.
fn phase(node: &FleetNode) -> String {
    let Some(status) = node.status() else {
        return "process has ended".to_owned();
    };
    let phase = status["stops"]["stop"]["phase"].as_str();
    phase.unwrap_or("leaving for a signal").to_owned()
}

fn wait(time: Duration) -> Result<()> {
    let rx = after(time);
    rx.recv()
        .map(drop)
        .map_err(|_| eyre!("the timer channel is closed"))
}
