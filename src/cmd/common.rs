//! Arguments, requests and output formats that several subcommands share.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::{Arg, ArgMatches, value_parser};
use eyre::{Result, WrapErr, bail, eyre};
use lavenderhatch_core::Mesh;
use lavenderhatch_files::{Diagnostic, parse_mesh, read_source_dir};
use lavenderhatch_platform::HttpPlatform;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a daemon's response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;
/// Timeout for a response of the daemon that the command line names.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Argument for the directory of mesh files.
pub(crate) fn dir_arg() -> Arg {
    Arg::new("dir")
        .value_name("DIR")
        .help("Directory of mesh files (*.jsonc)")
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
}

/// Argument for the URLs of the platform.
pub(crate) fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("URL")
        .help("URL of the platform; give it again for more, tried in order")
        .env("LAVENDERHATCH_PLATFORM")
        .value_delimiter(',')
        .required(true)
        .action(clap::ArgAction::Append)
}

/// Argument for the administration address of a daemon.
pub(crate) fn daemon_arg() -> Arg {
    Arg::new("daemon")
        .long("daemon")
        .value_name("IP:PORT")
        .help("Administration port of any daemon")
        .env("LAVENDERHATCH_DAEMON")
        .required(true)
        .value_parser(value_parser!(std::net::SocketAddr))
}

/// Argument for the output format.
pub(crate) fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("Format of the output")
        .value_parser(["text", "json"])
        .default_value("text")
}

/// Returns whether the output format is JSON.
pub(crate) fn is_json_output(args: &ArgMatches) -> bool {
    args.get_one::<String>("output")
        .is_some_and(|format| format == "json")
}

/// Creates a client of the platform from the command line.
pub(crate) fn platform_client(args: &ArgMatches) -> HttpPlatform {
    let urls: Vec<String> = args
        .get_many::<String>("platform")
        .unwrap_or_default()
        .cloned()
        .collect();
    HttpPlatform::open(&urls)
}

/// Reads and validates the mesh files in the directory argument.
///
/// The outer result is an error if the files cannot be read, the inner one if they are invalid.
pub(crate) fn read_mesh(args: &ArgMatches) -> Result<Result<Mesh, Vec<Diagnostic>>> {
    let dir: &std::path::PathBuf = args
        .get_one("dir")
        .ok_or_else(|| eyre!("missing argument: directory"))?;
    let sources = read_source_dir(Path::new(dir))?;
    Ok(parse_mesh(&sources))
}

/// Prints faults as text on standard error, or as JSON on standard output.
pub(crate) fn print_faults(faults: &[Diagnostic], is_json: bool) -> Result<()> {
    if is_json {
        return print_faults_json(faults);
    }
    for fault in faults {
        eprintln!("{fault}");
    }
    eprintln!("{} faults; nothing was changed", faults.len());
    Ok(())
}

/// Prints faults as a JSON object on standard output.
pub(crate) fn print_faults_json(faults: &[Diagnostic]) -> Result<()> {
    let as_json = |fault: &Diagnostic| {
        serde_json::json!({
            "file": fault.file,
            "line": fault.line,
            "column": fault.column,
            "message": fault.message,
            "remedy": fault.remedy,
        })
    };
    let faults: Vec<_> = faults.iter().map(as_json).collect();
    print_json(&serde_json::json!({ "faults": faults }))
}

/// Prints a value as JSON on standard output.
pub(crate) fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Returns the administration address of the daemon that the command line names.
pub(crate) fn daemon_addr(args: &ArgMatches) -> Result<SocketAddr> {
    let addr = args.get_one("daemon").copied();
    addr.ok_or_else(|| eyre!("missing argument: daemon"))
}

/// Reads JSON that must exist from the administration port of a daemon.
///
/// Returns an error if the daemon has no object at `path`.
pub(crate) fn get_json<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T> {
    find_json(addr, path, RESPONSE_TIMEOUT)?
        .ok_or_else(|| eyre!("daemon {addr} does not know {path}"))
}

/// Reads JSON that may be absent from the administration port of a daemon.
///
/// Returns `None` if the daemon has no object at `path`.
pub(crate) fn find_json<T: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Option<T>> {
    let req = ureq::get(format!("http://{addr}{path}"))
        .config()
        .timeout_global(Some(timeout))
        .build();
    let mut res = match req.call() {
        Ok(res) => res,
        Err(ureq::Error::StatusCode(404)) => return Ok(None),
        Err(ureq::Error::StatusCode(503)) => bail!("daemon {addr} has no configuration yet"),
        Err(err) => {
            return Err(err).wrap_err_with(|| format!("daemon {addr} does not answer {path}"));
        }
    };
    let body = res
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec()?;
    let value = serde_json::from_slice(&body)
        .wrap_err_with(|| format!("invalid JSON from daemon {addr} at {path}"))?;
    Ok(Some(value))
}
