//! `lavenderhatch show`: reads back the configuration in force on a daemon, as mesh files.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, bail};
use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Digest, Mesh, Version};
use lavenderhatch_files::render_mesh;
use serde::{Deserialize, Serialize};

use super::common;

pub(super) fn command() -> Command {
    Command::new("show")
        .about("Reads back the configuration in force on a daemon, as files")
        .arg(
            Arg::new("into")
                .long("into")
                .value_name("DIR")
                .help("Write the files into this directory, which must be absent or empty")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(common::daemon_arg())
        .arg(common::output_arg())
}

/// Response to `GET /config`.
#[derive(Debug, Serialize, Deserialize)]
struct ConfigResponse {
    version: Version,
    digest: Digest,
    mesh: MeshSpec,
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let config: ConfigResponse = common::get_json(common::daemon_addr(args)?, "/config")?;
    let Ok(mesh) = Mesh::validate(config.mesh.clone()) else {
        bail!("the daemon returned an invalid configuration");
    };
    if mesh.digest() != config.digest {
        bail!("the daemon returned a configuration that does not match its digest");
    }
    if let Some(dir) = args.get_one::<PathBuf>("into") {
        write_files(dir, &mesh)?;
        println!("version {} is written to {}", config.version, dir.display());
    } else if common::is_json_output(args) {
        common::print_json(&config)?;
    } else {
        println!("// Version {}, digest {}", config.version, config.digest);
        for source in render_mesh(&mesh) {
            println!("// {}", source.name);
            print!("{}", source.text);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Writes one file per section into `dir`.
///
/// Returns an error if `dir` is not empty, because its files would be mixed with this set.
fn write_files(dir: &PathBuf, mesh: &Mesh) -> Result<()> {
    let context = || format!("cannot write to {}", dir.display());
    fs::create_dir_all(dir).wrap_err_with(context)?;
    if fs::read_dir(dir).wrap_err_with(context)?.next().is_some() {
        bail!("{} is not empty", dir.display());
    }
    for source in render_mesh(mesh) {
        fs::write(dir.join(&source.name), &source.text).wrap_err_with(context)?;
    }
    Ok(())
}
