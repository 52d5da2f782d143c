//! Locations of the errors that the parsers report.

use lavenderhatch_files::{Diagnostic, Source, parse_mesh, parse_settings};
use rstest::rstest;

/// Marks the expected location of the error in a text.
const MARKER: char = '^';

/// Removes the marker from a text and returns the text with the line and column of the marker.
fn split_marker(text: &str) -> (String, (usize, usize)) {
    let (before, after) = text.split_once(MARKER).unwrap();
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap().chars().count() + 1;
    (format!("{before}{after}"), (line, column))
}

fn assert_reported_at(diagnostics: &[Diagnostic], location: (usize, usize), message: &str) {
    let found = diagnostics
        .iter()
        .any(|diag| (diag.line, diag.column) == location && diag.message.contains(message));
    assert!(
        found,
        "no diagnostic {message:?} at {location:?}: {diagnostics:#?}"
    );
}

const RANK: &str = r#""ranks": { "r": { "target_ms": 1, "worth": 1, "share": 0.5 } }"#;
const SERVICE: &str = r#""services": { "s": { "slots": 1 } }"#;

/// Returns a mesh file with a route of these fields, a rank `r` and a service `s`.
fn route(fields: &str) -> String {
    format!("{{ {RANK}, {SERVICE},\n \"routes\": {{ \"é\": 1, \"a\": {{ {fields} }} }} }}")
        .replace("\"é\": 1, ", "")
}

/// Guards against mesh errors that are reported at another location than that of the mistake.
#[rstest]
#[case::syntax("{ \"ranks\": ^} }", "")]
#[case::no_object("^[1]", "no object")]
#[case::unknown_section("{\n  ^\"rank\": {} }", "unknown key \"rank\"")]
#[case::unknown_key(
    r#"{ "services": { "s": { "slots": 1, ^"slot": 2 } } }"#,
    "unknown key"
)]
#[case::after_wide_character("{ /* é */ ^\"rank\": {} }", "unknown key")]
#[case::missing_key(r#"{ "services": { "s": ^{ } } }"#, "\"slots\" is missing")]
#[case::duplicate_key(
    r#"{ "services": { "s": { "slots": 1, ^"slots": 2 } } }"#,
    "occurs twice"
)]
#[case::duplicate_name(
    r#"{ "services": { "s": { "slots": 1 }, ^"s": { "slots": 1 } } }"#,
    "twice"
)]
#[case::wrong_type(r#"{ "services": { "s": { "slots": ^"1" } } }"#, "whole number")]
#[case::negative(r#"{ "services": { "s": { "slots": ^-1 } } }"#, "whole number")]
#[case::large_number(
    r#"{ "limits": { "max_queue": 1 }, "services": { "s": { "slots": ^9999999999 } } }"#,
    ""
)]
#[case::infinite_number(r#"{ "limits": { "max_queue": 1, "retry_budget": ^1e999 } }"#, "")]
#[case::out_of_range(
    r#"{ "services": { "s": { "slots": ^0 } } }"#,
    "slots 0 is out of range"
)]
#[case::bad_name(r#"{ "services": { ^"S": { "slots": 1 } } }"#, "name \"S\"")]
#[case::not_an_object(r#"{ "services": { "s": ^1 } }"#, "not an object")]
#[case::bad_time(r#"{ "stops": { "s": { "backend_server": "o", "start": ^"x", "deadline": "2026-01-01T00:00:00Z" } } }"#, "not a time")]
#[case::early_deadline(r#"{ "stops": { "s": { "backend_server": "o", "start": "2026-01-02T00:00:00Z", "deadline": ^"2026-01-01T00:00:00Z" } } }"#, "not after")]
#[case::sum_of_shares(r#"{ "ranks": { "r": { "target_ms": 1, "worth": 1, "share": ^0.6 }, "q": { "target_ms": 1, "worth": 1, "share": 0.6 } } }"#, "add up to 1.200")]
#[case::limits(
    r#"{ "limits": { "retry_budget": ^2 } }"#,
    "retry_budget 2 is out of range"
)]
#[case::dangling_service(&route(r#""path": "/", "service": ^"gone", "rank": "r", "timeout_ms": 1, "idempotent": true"#), "\"gone\" is not defined")]
#[case::dangling_rank(&route(r#""path": "/", "service": "s", "rank": ^"gone", "timeout_ms": 1, "idempotent": true"#), "\"gone\" is not defined")]
#[case::path(&route(r#""path": ^"x", "service": "s", "rank": "r", "timeout_ms": 1, "idempotent": true"#), "path \"x\"")]
#[case::method(&route(r#""path": "/", "methods": ^["get"], "service": "s", "rank": "r", "timeout_ms": 1, "idempotent": true"#), "A-Z")]
#[case::timeout(&route(r#""path": "/", "service": "s", "rank": "r", "timeout_ms": ^0, "idempotent": true"#), "timeout_ms 0 is out of range")]
#[case::key(&route(r#""path": "/", "service": "s", "rank": "r", "timeout_ms": 1, "idempotent": true, "key": ^"x""#), "not known")]
fn mesh_error_is_reported_at_its_location(#[case] marked: &str, #[case] message: &str) {
    let (text, location) = split_marker(marked);
    let diagnostics = parse_mesh(&[Source::new("f", text)]).unwrap_err();
    assert_reported_at(&diagnostics, location, message);
}

/// Guards against errors across several files that are reported for the wrong file.
#[test]
fn duplicate_object_is_reported_with_both_files() {
    let source = |name: &str| Source::new(name, format!("{{ {SERVICE} }}"));
    let diagnostics = parse_mesh(&[source("a"), source("b")]).unwrap_err();
    assert_eq!(diagnostics.len(), 1);
    assert_eq!(diagnostics[0].file, "b");
    assert!(
        diagnostics[0].message.contains("defined at a:1:"),
        "{}",
        diagnostics[0]
    );
}

/// Guards against settings errors that are reported at another location than that of the mistake.
#[rstest]
#[case::unknown_key(r#"^"nod": "x","#, "unknown key")]
#[case::address(r#""caller_addr": ^"localhost","#, "not an address")]
#[case::url(r#""platform": ^["https://127.0.0.1:1"],"#, "not a URL")]
#[case::no_url(r#""platform": ^[],"#, "is empty")]
#[case::range(r#"^"peer_threads": 65,"#, "out of range")]
#[case::large_number(r#""idle_timeout_ms": ^99999999999999999999,"#, "whole number")]
fn settings_error_is_reported_at_its_location(#[case] line: &str, #[case] message: &str) {
    let rest = r#""node": "n", "zone": "z", "region": "r", "service": "s", "peer_addr": "[::1]:1",
        "admin_addr": "[::1]:2", "backend_addr": "[::1]:3""#;
    let mut other = String::new();
    for (key, value) in [
        ("caller_addr", "\"[::1]:4\""),
        ("platform", "[\"http://[::1]:5\"]"),
    ] {
        if !line.contains(key) {
            other += &format!(", \"{key}\": {value}");
        }
    }
    let (text, location) = split_marker(&format!("{{\n {line}\n {rest}{other} }}"));
    let diagnostics = parse_settings(&Source::new("f", text)).unwrap_err();
    assert_eq!(diagnostics.len(), 1, "{diagnostics:?}");
    assert_reported_at(&diagnostics, location, message);
}
