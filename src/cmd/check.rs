//! `lavenderhatch check`: checks mesh files without the platform.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use eyre::Result;

use super::{EXIT_BAD_FILES, target};

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Checks mesh files, offline")
        .arg(target::dir_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    match target::mesh(args)? {
        Ok(mesh) => {
            println!(
                "no faults: {} services, {} routes, {} ranks, {} stops",
                mesh.services().len(),
                mesh.routes().len(),
                mesh.ranks().len(),
                mesh.stops().len()
            );
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => {
            target::print_faults(&faults);
            Ok(ExitCode::from(EXIT_BAD_FILES))
        }
    }
}
