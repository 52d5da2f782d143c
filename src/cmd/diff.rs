//! `lavenderhatch diff`: what would change against the accepted set.

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;
use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Mesh, Version};
use lavenderhatch_platform::accept::read_accepted;
use serde::Serialize;
use serde_json::Value as Json;

use super::{EXIT_BAD_FILES, EXIT_DIFFERS, target, time};

pub(super) fn command() -> Command {
    Command::new("diff")
        .about("Shows what would change against the accepted set")
        .arg(target::dir_arg())
        .arg(
            Arg::new("exit-code")
                .long("exit-code")
                .help("Exit with 6 if anything would change")
                .action(ArgAction::SetTrue),
        )
        .arg(target::platform_arg())
        .arg(target::output_arg())
}

/// One value that would change.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Change {
    /// Section, object and key, joined by dots.
    path: String,
    /// Value in the accepted set; absent if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<Json>,
    /// Value in the files; absent if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<Json>,
}

/// What the command prints.
#[derive(Debug, Serialize)]
struct Report {
    accepted: Version,
    changes: Vec<Change>,
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let mesh = match target::mesh(args)? {
        Ok(mesh) => mesh,
        Err(faults) => {
            target::print_faults(&faults, target::is_json(args))?;
            return Ok(ExitCode::from(EXIT_BAD_FILES));
        }
    };
    let accepted = read_accepted(&target::platform(args))?;
    let version = accepted
        .as_ref()
        .map_or(Version::NONE, |(root, _)| root.version);
    let before = accepted.map_or_else(MeshSpec::default, |(_, mesh)| mesh.spec().clone());
    let report = Report {
        accepted: version,
        changes: changes(&before, &mesh)?,
    };
    match target::is_json(args) {
        true => target::print_json(&report)?,
        false => print(&report),
    }
    let differs = args.get_flag("exit-code") && !report.changes.is_empty();
    Ok(ExitCode::from(if differs { EXIT_DIFFERS } else { 0 }))
}

fn changes(before: &MeshSpec, after: &Mesh) -> Result<Vec<Change>> {
    let from = leaves(before)?;
    let to = leaves(after.spec())?;
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

/// Values by path. Lists are compared as a whole.
fn leaves(parts: &MeshSpec) -> Result<BTreeMap<String, Json>> {
    let mut found = BTreeMap::new();
    collect("", &serde_json::to_value(parts)?, &mut found);
    for (name, stop) in &parts.stops {
        for (key, at) in [("start", stop.start), ("deadline", stop.deadline)] {
            found.insert(format!("stops.{name}.{key}"), Json::from(time::format(at)));
        }
    }
    Ok(found)
}

fn collect(path: &str, value: &Json, found: &mut BTreeMap<String, Json>) {
    let Json::Object(map) = value else {
        found.insert(path.to_owned(), value.clone());
        return;
    };
    for (key, value) in map {
        let path = match path {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        collect(&path, value, found);
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
