//! `lavenderhatch check`: validates mesh files without contacting the platform.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use eyre::Result;

use super::{EXIT_INVALID_FILES, common};

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Checks mesh files, offline")
        .arg(common::dir_arg())
        .arg(common::output_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let is_json = common::is_json_output(args);
    match common::read_mesh(args)? {
        Ok(_) if is_json => {
            common::print_faults_json(&[])?;
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
            common::print_faults(&faults, is_json)?;
            Ok(ExitCode::from(EXIT_INVALID_FILES))
        }
    }
}
