//! `lavenderhatch completions`: prints a shell completion script.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};
use eyre::{Result, eyre};

pub(super) fn command() -> Command {
    Command::new("completions")
        .about("Writes completions for a shell to the standard output")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .help("The shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let shell: &Shell = args
        .get_one("shell")
        .ok_or_else(|| eyre!("missing argument: shell"))?;
    let mut command = super::command();
    let name = command.get_name().to_owned();
    generate(*shell, &mut command, name, &mut std::io::stdout());
    Ok(ExitCode::SUCCESS)
}
