//! Measures planned stops with real daemons: the time until the last new request reaches the back
//! end, requests cut, calls carried elsewhere, and what the detour adds to a call.

mod callers;
mod fleet;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime};

use clap::{Arg, ArgMatches, Command, value_parser};
use crossbeam::channel::after;
use eyre::{Result, eyre};

use callers::{Callers, Moves};
use fleet::{Fleet, Programs};
use report::{Report, Run};

/// Time between the acceptance of a stop and its start, in which it reaches all daemons.
const LEAD: Duration = Duration::from_secs(2);

/// What is measured.
#[derive(Clone, Copy, Debug)]
struct Plan {
    daemons: usize,
    callers: usize,
    service_ms: u64,
    warm: Duration,
    after: Duration,
    is_signal: bool,
    moves: Moves,
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
        .arg(
            Arg::new("programs")
                .long("programs")
                .value_name("DIR")
                .help("Directory of lavenderhatch and lavenderhatchd; default: that of this one")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(args: &ArgMatches) -> Result<()> {
    let number = |name: &str| *args.get_one::<u64>(name).unwrap_or(&0);
    let is = |name: &str, value: &str| args.get_one::<String>(name).is_some_and(|v| v == value);
    let plan = Plan {
        daemons: number("daemons").max(2) as usize,
        callers: number("callers") as usize,
        service_ms: number("service-ms"),
        warm: Duration::from_secs(number("warm-s")),
        after: Duration::from_secs(number("after-s")),
        is_signal: is("by", "signal"),
        moves: match is("callers-at-close", "move") {
            true => Moves::ToNext,
            false => Moves::Never,
        },
    };
    let programs = Programs::find(args.get_one("programs"))?;
    let mut report = Report::new()?;
    for _ in 0..number("runs") {
        report.add(&measure(&plan, &programs)?);
    }
    match is("output", "json") {
        true => report.print_json(),
        false => report.print_table(),
    }
    Ok(())
}

/// One run: load, a stop of the first daemon, load.
fn measure(plan: &Plan, programs: &Programs) -> Result<Run> {
    let fleet = Fleet::start(programs, plan.daemons, plan.service_ms)?;
    let callers = Callers::start(&fleet.caller_addrs(), plan.callers, plan.moves);
    wait(plan.warm)?;
    let start = match plan.is_signal {
        true => {
            fleet.signal_first()?;
            Instant::now()
        }
        false => {
            let start = Instant::now() + LEAD;
            fleet.apply_stop_of_first(SystemTime::now() + LEAD)?;
            wait(start.saturating_duration_since(Instant::now()))?;
            start
        }
    };
    wait(plan.after)?;
    let phase = fleet.phase_of_first();
    Ok(Run {
        start,
        service: Duration::from_millis(plan.service_ms),
        phase,
        calls: callers.end(),
    })
}

fn wait(time: Duration) -> Result<()> {
    let rx = after(time);
    rx.recv().map(drop).map_err(|_| eyre!("the timer has gone"))
}
