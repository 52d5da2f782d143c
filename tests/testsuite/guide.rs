//! The guide and the README say what the programs do.

use std::fs;
use std::path::Path;

use lavenderhatch_files::{FileFault, Source, parse_mesh, parse_settings};
use rstest::rstest;

use crate::support::{Cluster, Page, Shell};

/// Pages of the guide.
fn chapters() -> Vec<String> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("guide/src");
    let entries = fs::read_dir(dir).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".md")).collect();
    names.sort();
    names
}

/// Runs the commands of a page in order. A page that starts no mesh itself gets one.
fn run_page(path: &str, name: &str) {
    let page = Page::read(path);
    let starts_mesh = page
        .blocks
        .first()
        .is_some_and(|block| block.is_marked("long-running"));
    let cluster = (!page.blocks.is_empty() && !starts_mesh)
        .then(|| Cluster::start(&["orders", "orders", "catalogue"]));
    let env = cluster.as_ref().map_or_else(Vec::new, Cluster::env);
    let mut shell = Shell::open(name, env);
    for block in page.blocks.iter().filter(|block| !block.is_marked("ci")) {
        shell.run(block);
    }
}

/// Guards against commands in the guide that fail, or that a reader cannot run in the order of the
/// page.
#[test]
fn commands_of_the_guide_run() {
    for name in chapters() {
        run_page(&format!("guide/src/{name}"), &name);
    }
}

/// Guards against commands in the README that fail. Those marked `ci` are the ones that run this
/// test; `.ci/run` must hold them.
#[test]
fn commands_of_the_readme_run() {
    let page = Page::read("README.md");
    let ci = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/run")).unwrap();
    let marked: Vec<_> = page
        .blocks
        .iter()
        .filter(|block| block.is_marked("ci"))
        .collect();
    assert_eq!(marked.len(), 1);
    assert!(ci.contains(&marked[0].text), "{}", marked[0].text);
    run_page("README.md", "readme");
}

/// Guards against a chapter that no reader finds.
#[test]
fn summary_lists_each_chapter() {
    let summary = Page::read("guide/src/SUMMARY.md").text;
    for name in chapters().iter().filter(|name| *name != "SUMMARY.md") {
        assert!(summary.contains(&format!("]({name})")), "{name}");
    }
}

/// The keys that an object may have, from the remedy for an unknown one.
fn known_keys(faults: &[FileFault]) -> Vec<String> {
    let remedies = faults.iter().map(|fault| fault.remedy.as_str());
    let keys = remedies.filter_map(|remedy| remedy.strip_prefix("use one of: "));
    let keys = keys.flat_map(|keys| keys.split(", "));
    keys.map(str::to_owned).collect()
}

/// Guards against keys that the reference leaves out.
#[rstest]
#[case::sections(r#"{ "unknown": {} }"#)]
#[case::services(r#"{ "services": { "a": { "unknown": 1 } } }"#)]
#[case::routes(r#"{ "routes": { "a": { "unknown": 1 } } }"#)]
#[case::ranks(r#"{ "ranks": { "a": { "unknown": 1 } } }"#)]
#[case::stops(r#"{ "stops": { "a": { "unknown": 1 } } }"#)]
#[case::limits(r#"{ "limits": { "unknown": 1 } }"#)]
fn reference_lists_each_key_of_mesh_files(#[case] text: &str) {
    let faults = parse_mesh(&[Source::new("f", text)]).unwrap_err();
    assert_lists(
        &Page::read("guide/src/mesh-files.md").text,
        &known_keys(&faults),
    );
}

/// Guards against settings that the reference leaves out.
#[test]
fn reference_lists_each_setting() {
    let faults = parse_settings(&Source::new("f", r#"{ "unknown": 1 }"#)).unwrap_err();
    assert_lists(
        &Page::read("guide/src/daemons.md").text,
        &known_keys(&faults),
    );
}

fn assert_lists(page: &str, keys: &[String]) {
    assert!(!keys.is_empty());
    for key in keys {
        assert!(page.contains(&format!("\n| `{key}` |")), "{key}");
    }
}
