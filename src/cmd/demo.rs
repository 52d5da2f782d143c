//! `lavenderhatch demo`: runs a small mesh in one process, with a planned stop while calls run.

mod callers;
mod cluster;
mod counts;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use crossbeam::channel::{after, tick};
use eyre::{Report, Result, WrapErr, eyre};
use lavenderhatch_core::Timestamp;
use lavenderhatch_core::drain::{StopPhase, StopStatus};
use lavenderhatch_daemon::admin::DaemonStatus;
use lavenderhatch_files::{Diagnostic, Source, parse_mesh};
use lavenderhatch_platform::accept::{Proposal, accept};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use self::callers::Callers;
use self::cluster::Cluster;
use self::counts::CallCounts;
use super::wait::poll_rollout;
use super::{EXIT_FAILURE, EXIT_TIMEOUT, common, time};

/// Mesh file of the demonstration.
const SAMPLE_MESH: &str = include_str!("../../examples/mesh/mesh.jsonc");
/// Backend server that is stopped.
const STOPPED_SERVER: &str = "orders-1";
/// Name of the planned stop.
const STOP_NAME: &str = "replace-orders-1";
/// Time from the submission of the planned stop to its start, which is rounded up to a second.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// Time from the start of the planned stop to its deadline, before both are rounded to seconds.
const STOP_DURATION: Duration = Duration::from_secs(60);
/// Maximum wait for a version to be in force on all daemons.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(15);
/// Maximum wait for the stopped server to be drained.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);
/// Time between two polls of the planned stop's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Runs a small mesh in one process and stops a backend server while calls run")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .help("Time for which calls run before and after the stop")
                .default_value("3")
                .value_parser(value_parser!(u64).range(1..=600)),
        )
        .arg(
            Arg::new("keep-running")
                .long("keep-running")
                .help("Keep the mesh running afterwards, until it is interrupted")
                .action(ArgAction::SetTrue),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let span = Duration::from_secs(args.get_one("seconds").copied().unwrap_or(3));
    let cluster = Cluster::start()?;
    print_cluster(&cluster);
    if !apply_and_wait(&cluster, None, "the sample mesh")? {
        return Ok(ExitCode::from(EXIT_TIMEOUT));
    }
    let callers = Callers::start(&cluster.caller_addrs())?;
    let before = run_calls(&cluster, &callers, span, "with all backend servers");
    let has_drained = run_planned_stop(&cluster)?;
    let after = run_calls(&cluster, &callers, span, "after the stop");
    let total = callers.finish();
    print_total(&total, &before, &after, has_drained);
    if args.get_flag("keep-running") {
        keep_running(&cluster)?;
    }
    Ok(match total.lost_or_unknown() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_FAILURE),
    })
}

fn print_cluster(cluster: &Cluster) {
    println!("platform stand-in on {}", cluster.platform_addr());
    for node in cluster.nodes() {
        println!(
            "{:<12} {} {:<10} callers {}  administration {}",
            node.name, node.zone, node.service, node.caller_addr, node.admin_addr
        );
    }
}

fn first_fault(faults: &[Diagnostic]) -> Report {
    match faults.first() {
        Some(fault) => eyre!("{fault}"),
        None => eyre!("invalid files without a reported fault"),
    }
}

/// Submits the sample mesh, with the planned stop if given, and waits until it is in force.
///
/// Returns whether it was in force on all daemons within [`CONVERGENCE_LIMIT`].
fn apply_and_wait(cluster: &Cluster, stop: Option<Source>, description: &str) -> Result<bool> {
    let mut sources = vec![Source::new("mesh.jsonc", SAMPLE_MESH)];
    sources.extend(stop);
    let mesh = parse_mesh(&sources).map_err(|faults| first_fault(&faults))?;
    let now = Timestamp::from_system_clock();
    let nonce = format!("demo-{}-{}", now.as_millis(), std::process::id());
    let proposal = Proposal {
        mesh: &mesh,
        author: "demo",
        reason: description,
        nonce: &nonce,
    };
    let version = accept(cluster.platform(), &proposal, now)?;
    let start = Instant::now();
    let all = cluster.nodes().len();
    let progress = poll_rollout(
        cluster.admin_addr(),
        version,
        CONVERGENCE_LIMIT,
        all,
        |_| {},
    )?;
    let (held, members) = (progress.held(), progress.members());
    let millis = start.elapsed().as_millis();
    println!(
        "version {version} ({description}): in force on {held} of {members} daemons after {millis} ms"
    );
    Ok(held >= all)
}

/// Lets the callers run for `span`, prints the outcomes of their calls and returns them.
fn run_calls(
    cluster: &Cluster,
    callers: &Callers,
    span: Duration,
    description: &str,
) -> CallCounts {
    let at_start = cluster.run_counts();
    callers.take_recent();
    let _ = after(span).recv();
    let counts = callers.take_recent();
    println!("{} s {description}: {counts}", span.as_secs());
    for (name, ran) in cluster.run_counts() {
        let before = at_start.get(&name).copied().unwrap_or(0);
        println!("  {name:<12} ran {}", ran - before);
    }
    counts
}

/// Runs the planned stop of one backend server.
///
/// Returns whether it was reported as drained within [`DRAIN_LIMIT`].
fn run_planned_stop(cluster: &Cluster) -> Result<bool> {
    let start = Timestamp::from_system_clock() + STOP_DELAY;
    let text = format!(
        r#"{{ "stops": {{ "{STOP_NAME}": {{ "backend_server": "{STOPPED_SERVER}",
             "start": "{}", "deadline": "{}" }} }} }}"#,
        time::format(start + Duration::from_millis(999)),
        time::format(start + STOP_DURATION)
    );
    let description = format!("planned stop of {STOPPED_SERVER}");
    apply_and_wait(
        cluster,
        Some(Source::new("stops.jsonc", text)),
        &description,
    )?;
    let deadline = Instant::now() + DRAIN_LIMIT;
    let ticks = tick(POLL_INTERVAL);
    let mut last = None;
    while Instant::now() < deadline {
        let stop = read_stop_status(cluster)?;
        if stop.as_ref().map(|stop| stop.phase) != last {
            last = stop.as_ref().map(|stop| stop.phase);
            print_phase(stop.as_ref());
        }
        if last == Some(StopPhase::Drained) {
            return Ok(true);
        }
        let _ = ticks.recv();
    }
    println!(
        "  {STOPPED_SERVER} was not drained within {} s",
        DRAIN_LIMIT.as_secs()
    );
    Ok(false)
}

/// Reads the status of the planned stop from the daemon of the server that is stopped.
fn read_stop_status(cluster: &Cluster) -> Result<Option<StopStatus>> {
    let status: DaemonStatus = common::get_json(cluster.admin_addr_of(STOPPED_SERVER)?, "/status")?;
    let planned_stop = status
        .stops
        .into_iter()
        .find(|(name, _)| name.as_str() == STOP_NAME);
    Ok(planned_stop.map(|(_, stop)| stop))
}

fn print_phase(stop: Option<&StopStatus>) {
    if let Some(stop) = stop {
        let in_flight = stop.in_flight.unwrap_or(0);
        println!(
            "  {STOPPED_SERVER} is {:?} since {}, {in_flight} in flight",
            stop.phase,
            time::format(stop.since)
        );
    }
}

fn print_total(total: &CallCounts, before: &CallCounts, after: &CallCounts, has_drained: bool) {
    println!("in all: {total}");
    println!(
        "refused before the stop {}, after it {}",
        before.not_run, after.not_run
    );
    println!("cut off or in doubt: {}", total.lost_or_unknown());
    if !has_drained {
        println!("the planned stop was not reported as drained");
    }
}

/// Prints how to reach the mesh and waits for a signal.
fn keep_running(cluster: &Cluster) -> Result<()> {
    println!(
        "export LAVENDERHATCH_PLATFORM=http://{}",
        cluster.platform_addr()
    );
    println!("export LAVENDERHATCH_DAEMON={}", cluster.admin_addr());
    println!("export CALLERS={}", cluster.caller_addr());
    println!("the mesh runs until it is interrupted (Ctrl-C)");
    let mut signals = Signals::new([SIGINT, SIGTERM]).wrap_err("cannot handle signals")?;
    signals.forever().next();
    Ok(())
}
