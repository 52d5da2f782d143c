//! `lavenderhatch apply`: has a set of mesh files accepted as a whole.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_platform::accept::{Proposal, accept};

use super::{EXIT_BAD_FILES, EXIT_CONFLICT, target};

pub(super) fn command() -> Command {
    Command::new("apply")
        .about("Has a set of mesh files accepted as a whole")
        .arg(target::dir_arg())
        .arg(target::platform_arg())
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Who applies the set, for the audit trail")
                .env("USER")
                .default_value("unknown"),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .help("Why, for the audit trail")
                .default_value(""),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let mesh = match target::mesh(args)? {
        Ok(mesh) => mesh,
        Err(faults) => {
            target::print_faults(&faults);
            return Ok(ExitCode::from(EXIT_BAD_FILES));
        }
    };
    let text = |name: &str| args.get_one::<String>(name).map_or("", String::as_str);
    let now = Timestamp::from_system_clock();
    let nonce = format!("{}-{}", now.as_millis(), std::process::id());
    let proposal = Proposal {
        mesh: &mesh,
        author: text("author"),
        reason: text("reason"),
        nonce: &nonce,
    };
    match accept(&target::platform(args), &proposal, now) {
        Ok(version) => {
            println!("version {version} accepted");
            Ok(ExitCode::SUCCESS)
        }
        Err(err) if err.kind() == ErrorKind::Conflict => {
            eprintln!("error: {err}");
            Ok(ExitCode::from(EXIT_CONFLICT))
        }
        Err(err) => Err(err.into()),
    }
}
