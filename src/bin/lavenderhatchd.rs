//! `lavenderhatchd`, the daemon that runs beside each backend server.

use std::path::PathBuf;
use std::process::{self, ExitCode};
use std::thread;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use crossbeam::channel::{Receiver, select, unbounded};
use eyre::{Result, WrapErr, eyre};
use lavenderhatch_daemon::Daemon;
use lavenderhatch_files::{parse_settings, read_source_file};
use lavenderhatch_platform::HttpPlatform;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{info, warn};
use tracing_subscriber::EnvFilter;

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 3;
/// Exit code when the daemon exits with no requests in flight.
const EXIT_DRAINED: i32 = 0;
/// Exit code when a second signal ends the daemon before it has drained.
const EXIT_FORCED: i32 = 1;
/// Delay between the last request and the exit, in which responses are still written.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("lavenderhatchd")
        .version(clap::crate_version!())
        .about("Puts the accepted configuration in force and carries calls")
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .help("Settings in JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_name("FORMAT")
                .help("Format of the log")
                .value_parser(["text", "json"])
                .default_value("text"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .help("Least level that is logged")
                .value_parser(["error", "warn", "info", "debug", "trace"])
                .default_value("info"),
        )
}

fn run(args: &ArgMatches) -> Result<ExitCode> {
    init_logging(args);
    let path: &PathBuf = args
        .get_one("settings")
        .ok_or_else(|| eyre!("missing argument: settings file"))?;
    let source = read_source_file(path)?;
    let settings = match parse_settings(&source) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    let signals = receive_signals()?;
    let platform = HttpPlatform::open(&settings.platform);
    let daemon = Daemon::spawn(&settings, platform)?;
    let signal = signals.recv().wrap_err("cannot wait for signals")?;
    info!("daemon: signal {signal} received, leaving");
    let drained = daemon.leave();
    // The process exits without dropping the daemon: the drop waits for the controllers while the
    // ports keep accepting requests.
    select! {
        recv(drained) -> _ => {
            // Port threads may still be writing responses that were handed to them. A second signal
            // ends this delay.
            let _ = signals.recv_timeout(FLUSH_DELAY);
            info!("daemon: no requests in flight, exiting");
            process::exit(EXIT_DRAINED)
        }
        recv(signals) -> _ => {
            warn!("daemon: second signal received, exiting before the drain has ended");
            process::exit(EXIT_FORCED)
        }
    }
}

/// Starts a thread that receives SIGINT and SIGTERM, and returns a channel with the signals in the
/// order of their arrival.
fn receive_signals() -> Result<Receiver<i32>> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).wrap_err("cannot handle signals")?;
    let (tx, rx) = unbounded();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || signals.forever().try_for_each(|signal| tx.send(signal)))?;
    Ok(rx)
}

fn init_logging(args: &ArgMatches) {
    let level = args
        .get_one::<String>("log-level")
        .map_or("info", String::as_str);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(level))
        .with_writer(std::io::stderr)
        .with_target(false);
    match args
        .get_one::<String>("log-format")
        .is_some_and(|format| format == "json")
    {
        true => builder.json().init(),
        false => builder.init(),
    }
}
