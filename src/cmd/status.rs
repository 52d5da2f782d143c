//! `lavenderhatch status`: the version in force and who lags.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use eyre::Result;
use lavenderhatch_daemon::admin::DaemonStatus;

use super::target;

pub(super) fn command() -> Command {
    Command::new("status")
        .about("Shows the version in force and the members that lag")
        .arg(target::daemon_arg())
        .arg(target::output_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let status: DaemonStatus = target::get_json(args, "/status")?;
    if target::is_json(args) {
        println!("{}", serde_json::to_string_pretty(&status)?);
        return Ok(ExitCode::SUCCESS);
    }
    println!("version {} on {}", status.version, status.node);
    for member in &status.members {
        let record = &member.record;
        let version = member
            .version
            .map_or("?".to_owned(), |version| version.to_string());
        println!(
            "{:<20} {:<12} {:<16} {:<12} version {version}",
            record.id,
            record.zone,
            record.service,
            format!("{:?}", record.state)
        );
    }
    Ok(ExitCode::SUCCESS)
}
