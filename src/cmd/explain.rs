//! `lavenderhatch explain`: shows how calls of a route are routed, or why a call got its response.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use eyre::{Result, eyre};
use lavenderhatch_decide::explain::{CallExplanation, RouteExplanation};

use super::{EXIT_FAILURE, common, time};

pub(super) fn command() -> Command {
    Command::new("explain")
        .about("Says why a call goes where it goes, or why it was refused")
        .subcommand_required(true)
        .subcommand(explain_subcommand(
            "route",
            "NAME",
            "Why the calls of a route go where they go",
        ))
        .subcommand(explain_subcommand(
            "call",
            "ID",
            "Why a recent call was answered as it was; asks the daemon that took it",
        ))
}

fn explain_subcommand(
    name: &'static str,
    value_name: &'static str,
    about: &'static str,
) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("subject").value_name(value_name).required(true))
        .arg(common::daemon_arg())
        .arg(common::output_arg())
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let (kind, args) = args
        .subcommand()
        .ok_or_else(|| eyre!("missing argument: subject"))?;
    let subject: &String = args
        .get_one("subject")
        .ok_or_else(|| eyre!("missing argument: subject"))?;
    let daemon = common::daemon_addr(args)?;
    let is_json = common::is_json_output(args);
    match kind {
        "route" => explain_route(daemon, subject, is_json),
        _ => explain_call(daemon, subject, is_json),
    }
}

fn explain_route(daemon: SocketAddr, name: &str, is_json: bool) -> Result<ExitCode> {
    let path = format!("/explain/route/{}", percent_encode(name));
    let Some(route) =
        common::find_json::<RouteExplanation>(daemon, &path, common::RESPONSE_TIMEOUT)?
    else {
        eprintln!("error: no route {name:?} is in force on {daemon}");
        return Ok(ExitCode::from(EXIT_FAILURE));
    };
    match is_json {
        true => common::print_json(&route)?,
        false => print_route(&route),
    }
    Ok(ExitCode::SUCCESS)
}

fn explain_call(daemon: SocketAddr, id: &str, is_json: bool) -> Result<ExitCode> {
    let path = format!("/explain/call/{}", percent_encode(id));
    let Some(call) = common::find_json::<CallExplanation>(daemon, &path, common::RESPONSE_TIMEOUT)?
    else {
        eprintln!(
            "error: {daemon} has no record of call {id:?}; it keeps the latest calls of its callers"
        );
        return Ok(ExitCode::from(EXIT_FAILURE));
    };
    if is_json {
        common::print_json(&call)?;
        return Ok(ExitCode::SUCCESS);
    }
    let record = &call.record;
    println!(
        "{} at {}: {} {} -> {}, {} us",
        record.id,
        time::format(record.at),
        record.method,
        record.path,
        record.status,
        record.duration_us
    );
    call.reasons
        .iter()
        .for_each(|reason| println!("- {reason}"));
    if let Some(route) = &call.route {
        print_route(route);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_route(route: &RouteExplanation) {
    println!("route {} in version {}", route.name, route.version);
    route
        .reasons
        .iter()
        .for_each(|reason| println!("- {reason}"));
    if let Some(other) = &route.shadowed_by {
        println!(
            "- route {other} takes requests for {:?} first",
            route.route.path
        );
    }
    for candidate in &route.candidates {
        println!(
            "  {:<20} {:<12} weight {:>4}/1000, {} slots, {} in flight from here{}",
            candidate.node,
            candidate.zone,
            candidate.weight,
            candidate.slots,
            candidate.outstanding,
            if candidate.is_last_resort {
                ", last resort"
            } else {
                ""
            }
        );
    }
    match (&route.choice, route.refusal) {
        (Some(node), _) => println!("a call now goes to {node}"),
        (None, Some(kind)) => println!("a call now is refused: {kind}"),
        (None, None) => {}
    }
}

/// Percent-encodes a string for use as one segment of a URL path.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            true => encoded.push(char::from(byte)),
            false => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
