//! `lavenderhatch check`: checks mesh files without the platform.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use eyre::Result;

use super::{EXIT_BAD_FILES, target};

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Checks mesh files, offline")
        .arg(target::dir_arg())
        .arg(target::output_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let is_json = target::is_json(args);
    match target::mesh(args)? {
        Ok(_) if is_json => {
            target::print_faults_json(&[])?;
            Ok(ExitCode::SUCCESS)
        }
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
            target::print_faults(&faults, is_json)?;
            Ok(ExitCode::from(EXIT_BAD_FILES))
        }
    }
}
