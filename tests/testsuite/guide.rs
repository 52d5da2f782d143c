//! Tests that the guide and the README match the programs.
//!
//! The shell blocks of a page are run in order, in a directory that contains `examples/`. The info
//! string of a block can have attributes, as in `sh,exit=3`:
//!
//! - `exit=CODE`: the block exits with this code instead of 0.
//! - `long-running`, `ready=WORD`: the block consists of one command, which is ready once it prints
//!   WORD and is ended after the page. Lines `export NAME=VALUE` of its output set environment
//!   variables of later blocks.
//! - `ci`: the command runs the tests, so the tests do not run it.

use std::fs;
use std::path::Path;

use lavenderhatch_files::{Diagnostic, Source, parse_mesh, parse_settings};
use rstest::rstest;

use crate::support::{Cluster, Shell, read_blocks};

fn read_repo_file(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

/// Returns the sorted file names of the guide's pages.
fn chapter_files() -> Vec<String> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("guide/src");
    let entries = fs::read_dir(dir).unwrap();
    let mut names: Vec<String> = entries
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

/// Runs the commands of a page in order. Starts a cluster for a page that does not start a mesh
/// itself.
fn run_page(path: &str) {
    let blocks = read_blocks(path);
    let Some(first) = blocks.first() else { return };
    let cluster = (!first.has_attribute("long-running"))
        .then(|| Cluster::start(&["orders", "orders", "catalogue"]));
    let env = cluster.as_ref().map_or_else(Vec::new, Cluster::env);
    let mut shell = Shell::open(&path.replace('/', "-"), env);
    for block in blocks.iter().filter(|block| !block.has_attribute("ci")) {
        shell.run(block);
    }
}

/// Guards against commands in the guide that fail when they are run in the order of the page, and
/// against a chapter that is missing from the summary.
#[test]
fn commands_of_the_guide_run() {
    let summary = read_repo_file("guide/src/SUMMARY.md");
    for name in chapter_files().iter().filter(|name| *name != "SUMMARY.md") {
        assert!(summary.contains(&format!("]({name})")), "{name}");
        run_page(&format!("guide/src/{name}"));
    }
}

/// Guards against commands in the README that fail. The block with the attribute `ci` would run
/// this test, so the test checks only that `.ci/run` contains it.
#[test]
fn commands_of_the_readme_run() {
    let blocks = read_blocks("README.md");
    let ci_block = blocks.iter().filter(|block| block.has_attribute("ci"));
    let [ci_block] = ci_block.collect::<Vec<_>>().try_into().ok().unwrap();
    assert!(
        read_repo_file(".ci/run").contains(&ci_block.text),
        "{}",
        ci_block.text
    );
    run_page("README.md");
}

/// Guards against keys of mesh files that are missing from the reference.
#[rstest]
#[case::sections(r#"{ "unknown": {} }"#)]
#[case::services(r#"{ "services": { "a": { "unknown": 1 } } }"#)]
#[case::routes(r#"{ "routes": { "a": { "unknown": 1 } } }"#)]
#[case::ranks(r#"{ "ranks": { "a": { "unknown": 1 } } }"#)]
#[case::stops(r#"{ "stops": { "a": { "unknown": 1 } } }"#)]
#[case::limits(r#"{ "limits": { "unknown": 1 } }"#)]
fn reference_lists_each_key_of_mesh_files(#[case] text: &str) {
    let faults = parse_mesh(&[Source::new("f", text)]).unwrap_err();
    assert_page_lists_keys("guide/src/mesh-files.md", &faults);
}

/// Guards against settings that are missing from the reference.
#[test]
fn reference_lists_each_setting() {
    let faults = parse_settings(&Source::new("f", r#"{ "unknown": 1 }"#)).unwrap_err();
    assert_page_lists_keys("guide/src/daemons.md", &faults);
}

/// Asserts that a page lists all valid keys of an object. The remedy in the diagnostic of an
/// unknown key names them.
fn assert_page_lists_keys(path: &str, faults: &[Diagnostic]) {
    let page = read_repo_file(path);
    let remedies = faults.iter().map(|fault| fault.remedy.as_str());
    let mut keys = remedies.filter_map(|remedy| remedy.strip_prefix("use one of: "));
    for key in keys.next().unwrap().split(", ") {
        assert!(page.contains(&format!("\n| `{key}` |")), "{key}");
    }
}
