//! The path from an operator's mesh files to the response to a call.

use std::collections::BTreeSet;

use crate::support::Cluster;

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.4 } },
  "services": { "orders": { "slots": 12 }, "catalogue": { "slots": 12 } },
  "routes": {
    "place-order": { "path": "/orders", "methods": ["POST"], "service": "orders",
                     "rank": "urgent", "timeout_ms": 2000, "idempotent": false },
    "read-stock": { "path": "/stock", "service": "catalogue", "rank": "urgent",
                    "timeout_ms": 2000, "idempotent": true },
  },
}"#;

/// Guards against a broken step between `apply` and the response to a caller. A call may enter at
/// any daemon and must run on a backend server of its service.
#[test]
fn call_entering_at_any_daemon_runs_on_its_service() {
    let cluster = Cluster::start(&["orders", "orders", "catalogue"]);
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    for node in &cluster.nodes {
        let url = format!("http://{}/orders/7?q=1", node.caller_addr);
        let mut res = ureq::post(url).send("two reams of vellum").unwrap();
        assert_eq!(res.headers()["lavenderhatch-outcome"], "ran");
        let body = res.body_mut().read_to_string().unwrap();
        let (head, rest) = body.split_once('\n').unwrap();
        assert!(
            ["n0 POST /orders/7?q=1", "n1 POST /orders/7?q=1"].contains(&head),
            "{head}"
        );
        assert_eq!(rest, "two reams of vellum");
    }
    let url = format!("http://{}/stock", cluster.nodes[0].caller_addr);
    let body = ureq::get(url)
        .call()
        .unwrap()
        .body_mut()
        .read_to_string()
        .unwrap();
    assert_eq!(body, "n2 GET /stock\n");
    let ran: u64 = cluster
        .nodes
        .iter()
        .map(|node| node.backend.counts().total)
        .sum();
    assert_eq!(ran, cluster.nodes.len() as u64 + 1);
}

/// Guards against files that are applied in part, and against reporting only the first fault.
#[test]
fn faulty_files_change_nothing_and_list_each_fault() {
    let cluster = Cluster::start(&["orders"]);
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    let dir = cluster.write_mesh(
        "faulty",
        r#"{ "routes": { "a": { "path": "x", "service": "gone", "rank": "none",
             "timeout_ms": 0, "idempotent": true } } }"#,
    );
    let output = cluster.run_tool(&["apply", dir.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(3));
    let stderr = String::from_utf8(output.stderr).unwrap();
    let lines: BTreeSet<&str> = stderr
        .lines()
        .filter(|line| line.contains(".jsonc:"))
        .collect();
    assert_eq!(lines.len(), 4, "{stderr}");
    assert_eq!(cluster.nodes[0].status().unwrap()["version"], 1);
}
