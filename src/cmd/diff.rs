//! `lavenderhatch diff`: shows what applying the files would change in the accepted set.

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;
use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Mesh, Version};
use lavenderhatch_platform::accept::read_accepted;
use serde::Serialize;
use serde_json::Value as Json;

use super::{EXIT_DIFFERS, EXIT_INVALID_FILES, common, time};

pub(super) fn command() -> Command {
    Command::new("diff")
        .about("Shows what would change against the accepted set")
        .arg(common::dir_arg())
        .arg(
            Arg::new("exit-code")
                .long("exit-code")
                .help("Exit with 6 if anything would change")
                .action(ArgAction::SetTrue),
        )
        .arg(common::platform_arg())
        .arg(common::output_arg())
}

/// One value that would change.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Change {
    /// Section, object and key, separated by dots.
    path: String,
    /// Value in the accepted set; absent if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<Json>,
    /// Value in the files; absent if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<Json>,
}

/// Output of `lavenderhatch diff`.
#[derive(Debug, Serialize)]
struct Report {
    accepted: Version,
    changes: Vec<Change>,
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let mesh = match common::read_mesh(args)? {
        Ok(mesh) => mesh,
        Err(faults) => {
            common::print_faults(&faults, common::is_json_output(args))?;
            return Ok(ExitCode::from(EXIT_INVALID_FILES));
        }
    };
    let accepted = read_accepted(&common::platform_client(args))?;
    let version = accepted
        .as_ref()
        .map_or(Version::NONE, |(root, _)| root.version);
    let before = accepted.map_or_else(MeshSpec::default, |(_, mesh)| mesh.spec().clone());
    let report = Report {
        accepted: version,
        changes: compare(&before, &mesh)?,
    };
    match common::is_json_output(args) {
        true => common::print_json(&report)?,
        false => print(&report),
    }
    let differs = args.get_flag("exit-code") && !report.changes.is_empty();
    Ok(ExitCode::from(if differs { EXIT_DIFFERS } else { 0 }))
}

fn compare(before: &MeshSpec, after: &Mesh) -> Result<Vec<Change>> {
    let from = flatten_spec(before)?;
    let to = flatten_spec(after.spec())?;
    let mut paths: Vec<&String> = from.keys().chain(to.keys()).collect();
    paths.sort();
    paths.dedup();
    let changed = paths
        .into_iter()
        .filter(|path| from.get(*path) != to.get(*path));
    let change = |path: &String| Change {
        path: path.clone(),
        from: from.get(path).cloned(),
        to: to.get(path).cloned(),
    };
    Ok(changed.map(change).collect())
}

/// Flattens a mesh into values by path.
///
/// A list is one value, so it is compared as a whole. Times of planned stops are formatted as
/// RFC 3339.
fn flatten_spec(spec: &MeshSpec) -> Result<BTreeMap<String, Json>> {
    let mut values = BTreeMap::new();
    flatten_value("", &serde_json::to_value(spec)?, &mut values);
    for (name, stop) in &spec.stops {
        for (key, at) in [("start", stop.start), ("deadline", stop.deadline)] {
            values.insert(format!("stops.{name}.{key}"), Json::from(time::format(at)));
        }
    }
    Ok(values)
}

fn flatten_value(path: &str, value: &Json, values: &mut BTreeMap<String, Json>) {
    let Json::Object(map) = value else {
        values.insert(path.to_owned(), value.clone());
        return;
    };
    for (key, value) in map {
        let path = match path {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        flatten_value(&path, value, values);
    }
}

fn print(report: &Report) {
    if report.changes.is_empty() {
        println!("no changes against version {}", report.accepted);
        return;
    }
    println!("changes against version {}:", report.accepted);
    for Change { path, from, to } in &report.changes {
        match (from, to) {
            (Some(from), Some(to)) => println!("~ {path}: {from} -> {to}"),
            (Some(from), None) => println!("- {path}: {from}"),
            (None, Some(to)) => println!("+ {path}: {to}"),
            (None, None) => {}
        }
    }
}
