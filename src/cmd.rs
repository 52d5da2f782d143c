//! The commands of the operator's tool, one file each.

mod apply;
mod check;
mod status;
mod target;

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use eyre::Result;

/// The command failed.
pub(crate) const EXIT_FAILURE: u8 = 1;
/// The files have faults.
pub(crate) const EXIT_BAD_FILES: u8 = 3;
/// Another operator's version was accepted first.
pub(crate) const EXIT_CONFLICT: u8 = 4;

/// The tool's command line.
pub(crate) fn command() -> Command {
    Command::new("lavenderhatch")
        .version(clap::crate_version!())
        .about("Describes a service mesh in files and reads back what is in force")
        .after_help(
            "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 faulty files, \
             4 another version was accepted first",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(apply::command())
        .subcommand(status::command())
}

/// Runs the chosen command.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    match matches.subcommand() {
        Some(("check", args)) => check::run(args),
        Some(("apply", args)) => apply::run(args),
        Some(("status", args)) => status::run(args),
        _ => Ok(ExitCode::from(EXIT_FAILURE)),
    }
}
