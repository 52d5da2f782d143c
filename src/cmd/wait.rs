//! `lavenderhatch wait`: waits until a version is in force on every daemon.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use crossbeam::channel::tick;
use eyre::Result;
use indicatif::{ProgressBar, ProgressStyle};
use lavenderhatch_core::Version;

use super::rollout::{RolloutProgress, read_progress};
use super::{EXIT_TIMEOUT, common};

/// Time between two polls of the rollout progress.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(super) fn command() -> Command {
    Command::new("wait")
        .about("Waits until a version is in force on every daemon")
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .help("The version; a later one counts as well")
                .required(true)
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("TIME")
                .help("Longest wait, such as 30s")
                .default_value("30s")
                .value_parser(|text: &str| humantime::parse_duration(text)),
        )
        .arg(common::daemon_arg())
        .arg(common::output_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let version = Version(args.get_one("version").copied().unwrap_or_default());
    let timeout = args.get_one("timeout").copied().unwrap_or_default();
    let daemon = common::daemon_addr(args)?;
    let bar = progress_bar(common::is_json_output(args));
    let start = Instant::now();
    let progress = poll_rollout(daemon, version, timeout, 1, |progress| draw(&bar, progress));
    bar.finish_and_clear();
    let progress = progress?;
    if common::is_json_output(args) {
        common::print_json(&progress)?;
    } else {
        print_result(&progress, start.elapsed());
    }
    Ok(match progress.is_complete() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_TIMEOUT),
    })
}

/// Polls the rollout progress of a version and returns the last progress that was read.
///
/// Polling ends when all members, and at least `min_held`, hold the version, or after `timeout`.
/// `on_progress` is called with the result of each poll.
pub(super) fn poll_rollout(
    daemon: SocketAddr,
    version: Version,
    timeout: Duration,
    min_held: usize,
    mut on_progress: impl FnMut(&RolloutProgress),
) -> Result<RolloutProgress> {
    let deadline = Instant::now() + timeout;
    let ticks = tick(POLL_INTERVAL);
    loop {
        let progress = read_progress(daemon, version)?;
        on_progress(&progress);
        let is_reached = progress.is_complete() && progress.held() >= min_held;
        if is_reached || Instant::now() >= deadline {
            return Ok(progress);
        }
        let _ = ticks.recv();
    }
}

/// Creates a progress bar, which is hidden for JSON output and when there is no terminal.
fn progress_bar(is_json: bool) -> ProgressBar {
    if is_json {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} daemons  {msg}") {
        bar.set_style(style);
    }
    bar
}

fn draw(bar: &ProgressBar, progress: &RolloutProgress) {
    bar.set_length(progress.members() as u64);
    bar.set_position(progress.held() as u64);
    let incomplete = progress
        .zones
        .iter()
        .filter(|(_, zone)| zone.held < zone.members);
    let incomplete: Vec<&str> = incomplete.map(|(name, _)| name.as_str()).collect();
    bar.set_message(incomplete.join(", "));
}

fn print_result(progress: &RolloutProgress, elapsed: Duration) {
    let (held, members) = (progress.held(), progress.members());
    let seconds = elapsed.as_secs_f64();
    if progress.is_complete() {
        println!(
            "version {} is in force on {held} of {members} daemons",
            progress.version
        );
        return;
    }
    eprintln!(
        "version {} is in force on {held} of {members} daemons after {seconds:.1} s",
        progress.version
    );
    for (zone, zone_progress) in &progress.zones {
        for id in &zone_progress.behind {
            eprintln!("{zone}: {id} is behind");
        }
        for id in &zone_progress.unknown {
            eprintln!("{zone}: the version of {id} is not known");
        }
    }
}
