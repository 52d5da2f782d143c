//! Arguments that several commands share.

use std::path::Path;

use clap::{Arg, ArgMatches, value_parser};
use eyre::{Result, WrapErr, eyre};
use lavenderhatch_core::Mesh;
use lavenderhatch_files::{FileFault, parse_mesh, read_dir};
use lavenderhatch_platform::HttpPlatform;

/// The directory of mesh files.
pub(crate) fn dir_arg() -> Arg {
    Arg::new("dir")
        .value_name("DIR")
        .help("Directory of mesh files (*.jsonc)")
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
}

/// The URLs of the platform.
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

/// The administration port of a daemon.
pub(crate) fn daemon_arg() -> Arg {
    Arg::new("daemon")
        .long("daemon")
        .value_name("IP:PORT")
        .help("Administration port of any daemon")
        .env("LAVENDERHATCH_DAEMON")
        .required(true)
        .value_parser(value_parser!(std::net::SocketAddr))
}

/// The format of the output.
pub(crate) fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("Format of the output")
        .value_parser(["text", "json"])
        .default_value("text")
}

/// Whether the output is JSON.
pub(crate) fn is_json(args: &ArgMatches) -> bool {
    args.get_one::<String>("output")
        .is_some_and(|format| format == "json")
}

/// A client of the platform.
pub(crate) fn platform(args: &ArgMatches) -> HttpPlatform {
    let urls: Vec<String> = args
        .get_many::<String>("platform")
        .unwrap_or_default()
        .cloned()
        .collect();
    HttpPlatform::open(&urls)
}

/// Reads the mesh files of the directory argument.
pub(crate) fn mesh(args: &ArgMatches) -> Result<Result<Mesh, Vec<FileFault>>> {
    let dir: &std::path::PathBuf = args.get_one("dir").ok_or_else(|| eyre!("no directory"))?;
    let sources = read_dir(Path::new(dir))?;
    Ok(parse_mesh(&sources))
}

/// Prints faults, one a line, and their number.
pub(crate) fn print_faults(faults: &[FileFault]) {
    for fault in faults {
        eprintln!("{fault}");
    }
    eprintln!("{} faults; nothing was changed", faults.len());
}

/// Reads JSON from the administration port of a daemon.
pub(crate) fn get_json<T: serde::de::DeserializeOwned>(args: &ArgMatches, path: &str) -> Result<T> {
    let addr: &std::net::SocketAddr = args
        .get_one("daemon")
        .ok_or_else(|| eyre!("no daemon is given"))?;
    let mut res = ureq::get(format!("http://{addr}{path}"))
        .call()
        .wrap_err_with(|| format!("daemon {addr} does not answer {path}"))?;
    let body = res.body_mut().read_to_vec()?;
    serde_json::from_slice(&body).wrap_err_with(|| format!("answer of {addr}{path}"))
}
