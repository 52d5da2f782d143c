//! `lavenderhatch wait`: waits until a version is in force everywhere.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use crossbeam::channel::tick;
use eyre::Result;
use indicatif::{ProgressBar, ProgressStyle};
use lavenderhatch_core::Version;

use super::fleet::{FleetProgress, read_progress};
use super::{EXIT_TIMEOUT, target};

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(200);

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
        .arg(target::daemon_arg())
        .arg(target::output_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let version = Version(args.get_one("version").copied().unwrap_or_default());
    let timeout = args.get_one("timeout").copied().unwrap_or_default();
    let daemon = target::daemon(args)?;
    let bar = progress_bar(target::is_json(args));
    let start = Instant::now();
    let progress = watch(daemon, version, timeout, 1, |progress| show(&bar, progress));
    bar.finish_and_clear();
    let progress = progress?;
    if target::is_json(args) {
        target::print_json(&progress)?;
    } else {
        print(&progress, start.elapsed());
    }
    Ok(match progress.is_complete() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_TIMEOUT),
    })
}

/// Looks until all members, and at least `least` of them, hold the version or the time is over, and
/// gives the last look.
pub(super) fn watch(
    daemon: SocketAddr,
    version: Version,
    timeout: Duration,
    least: usize,
    mut seen: impl FnMut(&FleetProgress),
) -> Result<FleetProgress> {
    let deadline = Instant::now() + timeout;
    let ticks = tick(INTERVAL);
    loop {
        let progress = read_progress(daemon, version)?;
        seen(&progress);
        let is_reached = progress.is_complete() && progress.held() >= least;
        if is_reached || Instant::now() >= deadline {
            return Ok(progress);
        }
        let _ = ticks.recv();
    }
}

/// A bar on a terminal, else a hidden one.
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

fn show(bar: &ProgressBar, progress: &FleetProgress) {
    bar.set_length(progress.members() as u64);
    bar.set_position(progress.held() as u64);
    let open = progress
        .zones
        .iter()
        .filter(|(_, zone)| zone.held < zone.members);
    let open: Vec<&str> = open.map(|(name, _)| name.as_str()).collect();
    bar.set_message(open.join(", "));
}

fn print(progress: &FleetProgress, elapsed: Duration) {
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
    for (zone, of_zone) in &progress.zones {
        for id in &of_zone.behind {
            eprintln!("{zone}: {id} is behind");
        }
        for id in &of_zone.unknown {
            eprintln!("{zone}: the version of {id} is not known");
        }
    }
}
