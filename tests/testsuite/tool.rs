//! The operator's tool with running daemons.

use std::time::Duration;

use rstest::rstest;
use serde_json::Value as Json;

use crate::support::{Cluster, poll};

const AUDIT_LIMIT: Duration = Duration::from_secs(20);

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.4 } },
  "services": { "orders": { "slots": 12 }, "catalogue": { "slots": 12 } },
  "routes": { "search": { "path": "/search", "service": "catalogue", "rank": "urgent",
                          "timeout_ms": 2000, "idempotent": true } },
}"#;

fn json(cluster: &Cluster, args: &[&str]) -> Json {
    let args = [args, &["--output", "json"]].concat();
    let output = cluster.run_tool(&args);
    assert!(output.status.success(), "{args:?}: {output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Guards against a set that reads back differently from what was applied, and against a `diff`
/// that misses a change.
#[test]
fn shown_set_round_trips_and_diff_lists_only_changes() {
    let cluster = Cluster::start(&["orders"]);
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    let dir = cluster.write_mesh("unused", MESH).with_file_name("back");
    let dir = dir.to_str().unwrap();
    assert!(cluster.run_tool(&["show", "--into", dir]).status.success());
    assert_eq!(
        json(&cluster, &["diff", dir])["changes"],
        Json::Array(vec![])
    );
    let changed = cluster.write_mesh("changed", &MESH.replace("2000", "3000"));
    let diff = json(&cluster, &["diff", changed.to_str().unwrap()]);
    let expected = serde_json::json!([
        { "path": "routes.search.timeout_ms", "from": 2000, "to": 3000 }
    ]);
    assert_eq!(diff["changes"], expected);
    assert!(
        !cluster.run_tool(&["show", "--into", dir]).status.success(),
        "not empty"
    );
}

/// Guards against an audit trail that loses who changed what and why, and against filters that let
/// other events through.
#[test]
fn history_names_accepted_and_rejected_sets() {
    let cluster = Cluster::start(&["orders"]);
    let good = cluster.write_mesh("good", MESH);
    let bad = cluster.write_mesh("bad", r#"{ "services": { "a": { "slots": 0 } } }"#);
    let apply = |dir: &std::path::Path, author: &str| {
        let dir = dir.to_str().unwrap();
        let args = [
            "apply",
            dir,
            "--author",
            author,
            "--reason",
            "a good reason",
        ];
        cluster.run_tool(&args).status.code()
    };
    assert_eq!(apply(&good, "ada"), Some(0));
    assert_eq!(apply(&bad, "bob"), Some(3));
    assert_eq!(apply(&good, "cyd"), Some(4));
    let operator_events = |args: &[&str]| -> Vec<(String, String)> {
        let history = json(&cluster, &[&["history"], args].concat());
        let events = history["events"].as_array().unwrap().clone();
        let operators = events.iter().filter(|event| event["actor"] != "n0");
        let text = |event: &Json, key: &str| event[key].as_str().unwrap().to_owned();
        operators
            .map(|event| (text(event, "actor"), text(event, "action")))
            .collect()
    };
    let event = |actor: &str, action: &str| (actor.to_owned(), action.to_owned());
    let all = [
        event("ada", "accepted"),
        event("bob", "rejected"),
        event("cyd", "rejected"),
    ];
    assert_eq!(operator_events(&[]), all);
    assert_eq!(operator_events(&["--version", "1"]), all);
    assert_eq!(operator_events(&["--version", "0"]), all[..1]);
    assert_eq!(operator_events(&["--since", "1h", "--object", "mesh"]), all);
    assert_eq!(operator_events(&["--until", "1h"]), []);
    assert_eq!(operator_events(&["--object", "other"]), []);
    let description = "events of the daemon in the stored audit trail";
    poll(AUDIT_LIMIT, description, || {
        let history = json(&cluster, &["history"]);
        let events = history["events"].as_array()?.clone();
        let switched = events.iter().find(|event| event["actor"] == "n0")?;
        assert_eq!(switched["action"], "version-switched");
        Some(())
    });
}

/// Guards against a refused call that `explain` cannot find or gives no reason for.
#[test]
fn refused_call_is_explained() {
    let cluster = Cluster::start(&["orders"]);
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    let url = format!("http://{}/search", cluster.nodes[0].caller_addr);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let res = agent.get(&url).call().unwrap();
    let id = res.headers()["lavenderhatch-call-id"].to_str().unwrap();
    assert!(id.starts_with("n0-"), "{id}");
    let call = json(&cluster, &["explain", "call", id]);
    assert_eq!(call["record"]["error"], "no-backend");
    assert_eq!(call["route"]["refusal"], "no-backend");
    let route = json(&cluster, &["explain", "route", "search"]);
    assert_eq!(route["candidates"], Json::Array(vec![]));
    let chosen = "order 7/50%/?x#y";
    let req = agent.get(&url).header("lavenderhatch-call-id", chosen);
    req.call().unwrap();
    assert_eq!(
        json(&cluster, &["explain", "call", chosen])["record"]["id"],
        chosen
    );
    let unknown = cluster.run_tool(&["explain", "call", "none/such"]);
    assert_eq!(unknown.status.code(), Some(1));
}

/// Guards against `wait` that returns before the version is in force, or that never returns.
#[rstest]
#[case::in_force("1", Some(0))]
#[case::never("2", Some(5))]
fn wait_ends_when_the_version_is_in_force_everywhere(
    #[case] version: &str,
    #[case] expected: Option<i32>,
) {
    let cluster = Cluster::start(&["orders", "catalogue"]);
    // `wait` covers the members that the queried daemon knows, so the daemons must know each other.
    cluster.wait_for_version(0);
    cluster.apply(MESH);
    let timeout = if expected == Some(0) { "20s" } else { "1s" };
    let output = cluster.run_tool(&["wait", version, "--timeout", timeout]);
    assert_eq!(output.status.code(), expected, "{output:?}");
    if expected == Some(0) {
        let status = json(&cluster, &["status"]);
        assert_eq!(status["zones"]["zone-a"]["held"], 1);
        assert_eq!(status["zones"]["zone-b"]["held"], 1);
        assert_eq!(status["platform"]["is_reachable"], true);
    }
}

/// Guards against `wait` that times out although the version is in force, because a daemon learns
/// the versions of at most 10 other members by itself.
#[test]
fn wait_covers_members_that_are_not_linked() {
    let cluster = Cluster::start(&["orders"; 14]);
    cluster.wait_for_version(0);
    cluster.apply(MESH);
    let output = cluster.run_tool(&["wait", "1", "--timeout", "20s"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("14 of 14 daemons"), "{text}");
}

/// Guards against daemons that cannot read a set that is stored in several parts, and against a
/// parser with quadratic run time, which took 34 s to check a set of this size.
#[test]
fn large_set_takes_effect_on_each_daemon() {
    let cluster = Cluster::start(&["orders", "catalogue"]);
    let services: Vec<String> = (0..30_000)
        .map(|n| format!(r#""service-{n:08}": {{ "slots": 12 }}"#))
        .collect();
    cluster.apply(&format!(
        r#"{{ "services": {{ {} }} }}"#,
        services.join(", ")
    ));
    cluster.wait_for_version(1);
    let shown = json(&cluster, &["show"]);
    assert_eq!(
        shown["mesh"]["services"].as_object().unwrap().len(),
        services.len()
    );
}
