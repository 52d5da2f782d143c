//! `lavenderhatch apply`: submits a set of mesh files, which is accepted or rejected as a whole.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::{ErrorKind, Timestamp, Version};
use lavenderhatch_decide::audit::{MAX_ZONE_EVENTS, OPERATOR_AUDIT_NAME};
use lavenderhatch_platform::HttpPlatform;
use lavenderhatch_platform::accept::{Proposal, accept, read_root};
use lavenderhatch_platform::audit::append;

use super::{EXIT_CONFLICT, EXIT_INVALID_FILES, common};

pub(super) fn command() -> Command {
    Command::new("apply")
        .about("Has a set of mesh files accepted as a whole")
        .arg(common::dir_arg())
        .arg(common::platform_arg())
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
        .arg(common::output_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let text = |name: &str| args.get_one::<String>(name).map_or("", String::as_str);
    let now = Timestamp::from_system_clock();
    let is_json = common::is_json_output(args);
    let platform = common::platform_client(args);
    let mesh = match common::read_mesh(args)? {
        Ok(mesh) => mesh,
        Err(faults) => {
            common::print_faults(&faults, is_json)?;
            let first = faults.first().map_or(String::new(), ToString::to_string);
            let reason = format!("{} faults, the first: {first}", faults.len());
            record_rejection(&platform, text("author"), reason, now);
            return Ok(ExitCode::from(EXIT_INVALID_FILES));
        }
    };
    let nonce = format!("{}-{}", now.as_millis(), std::process::id());
    let proposal = Proposal {
        mesh: &mesh,
        author: text("author"),
        reason: text("reason"),
        nonce: &nonce,
    };
    match accept(&platform, &proposal, now) {
        Ok(version) => {
            print_accepted(version, is_json)?;
            Ok(ExitCode::SUCCESS)
        }
        Err(err) if err.kind() == ErrorKind::Conflict => {
            eprintln!("error: {err}");
            record_rejection(&platform, proposal.author, err.message().to_owned(), now);
            Ok(ExitCode::from(EXIT_CONFLICT))
        }
        Err(err) => Err(err.into()),
    }
}

fn print_accepted(version: Version, is_json: bool) -> Result<()> {
    match is_json {
        true => common::print_json(&serde_json::json!({ "version": version }))?,
        false => println!("version {version} accepted"),
    }
    Ok(())
}

/// Records a rejection in the audit trail, with the version that remains accepted.
///
/// If this fails, the tool prints the error and its exit code stays the same.
fn record_rejection(platform: &HttpPlatform, author: &str, reason: String, now: Timestamp) {
    let accepted = read_root(platform).ok().flatten();
    let event = AuditEvent {
        at: now,
        actor: author.to_owned(),
        action: AuditAction::Rejected,
        object: "mesh".to_owned(),
        from: accepted.map(|(root, _)| root.version),
        to: None,
        reason,
    };
    if let Err(err) = append(platform, OPERATOR_AUDIT_NAME, &[event], MAX_ZONE_EVENTS) {
        eprintln!("audit: cannot record the rejection: {err}");
    }
}
