//! The subcommands of the operator's tool, one file each.

mod apply;
mod check;
mod common;
mod completions;
mod demo;
mod diff;
mod explain;
mod history;
mod rollout;
mod show;
mod status;
mod time;
mod wait;

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use eyre::Result;

/// Exit code when the command failed.
pub(crate) const EXIT_FAILURE: u8 = 1;
/// Exit code when the mesh files are invalid.
pub(crate) const EXIT_INVALID_FILES: u8 = 3;
/// Exit code when another operator's version was accepted first.
pub(crate) const EXIT_CONFLICT: u8 = 4;
/// Exit code when the version was not in force on every daemon before the timeout.
pub(crate) const EXIT_TIMEOUT: u8 = 5;
/// Exit code of `diff --exit-code` when the files differ from the accepted set.
pub(crate) const EXIT_DIFFERS: u8 = 6;

/// Builds the command line of the tool.
pub(crate) fn command() -> Command {
    Command::new("lavenderhatch")
        .version(clap::crate_version!())
        .about("Describes a service mesh in files and reads back what is in force")
        .after_help(
            "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 faulty files, \
             4 another version was accepted first, 5 not in force everywhere in time, \
             6 the files differ from the accepted set (diff --exit-code)",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(diff::command())
        .subcommand(apply::command())
        .subcommand(wait::command())
        .subcommand(show::command())
        .subcommand(status::command())
        .subcommand(history::command())
        .subcommand(explain::command())
        .subcommand(demo::command())
        .subcommand(completions::command())
}

/// Runs the selected subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    match matches.subcommand() {
        Some(("check", args)) => check::run(args),
        Some(("diff", args)) => diff::run(args),
        Some(("apply", args)) => apply::run(args),
        Some(("wait", args)) => wait::run(args),
        Some(("show", args)) => show::run(args),
        Some(("status", args)) => status::run(args),
        Some(("history", args)) => history::run(args),
        Some(("explain", args)) => explain::run(args),
        Some(("demo", args)) => demo::run(args),
        Some(("completions", args)) => completions::run(args),
        _ => Ok(ExitCode::from(EXIT_FAILURE)),
    }
}
