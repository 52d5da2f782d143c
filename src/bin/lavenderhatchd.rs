//! The daemon of lavenderhatch.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, eyre};
use lavenderhatch_daemon::Daemon;
use lavenderhatch_files::{parse_settings, read_file};
use lavenderhatch_platform::HttpPlatform;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::info;
use tracing_subscriber::EnvFilter;

/// The settings have faults.
const EXIT_BAD_SETTINGS: u8 = 3;

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
    start_log(args);
    let path: &PathBuf = args
        .get_one("settings")
        .ok_or_else(|| eyre!("no settings"))?;
    let source = read_file(path)?;
    let settings = match parse_settings(&source) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    let mut signals = Signals::new([SIGINT, SIGTERM]).wrap_err("cannot handle signals")?;
    let platform = HttpPlatform::open(&settings.platform);
    let daemon = Daemon::spawn(&settings, platform)?;
    if let Some(signal) = signals.forever().next() {
        info!("daemon: signal {signal} received");
    }
    drop(daemon);
    Ok(ExitCode::SUCCESS)
}

fn start_log(args: &ArgMatches) {
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
