//! At-most-once execution of orders.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use lavenderhatch_platform::Faults;
use lavenderhatch_standin::Behaviour;
use rstest::rstest;
use ureq::Agent;
use ureq::http::HeaderMap;

use crate::support::{Cluster, Node, poll};

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.4 } },
  "services": { "orders": { "slots": 12 }, "front": { "slots": 12 } },
  "routes": {
    "place-order": { "path": "/orders", "methods": ["POST"], "service": "orders",
                     "rank": "urgent", "timeout_ms": 4000, "idempotent": false },
  },
}"#;
/// Time within which each claim range must have an owner that has read its claims.
const OWNERSHIP_LIMIT: Duration = Duration::from_secs(20);
/// Number of claim ranges, into which idempotency keys are divided by their hash.
const RANGE_COUNT: usize = 64;

struct Response {
    status: u16,
    headers: HeaderMap,
    body: String,
}

impl Response {
    /// Returns a header with the prefix `lavenderhatch-`, or an empty string if it is missing.
    fn header(&self, name: &str) -> &str {
        let value = self.headers.get(format!("lavenderhatch-{name}"));
        value.map_or("", |value| value.to_str().unwrap())
    }

    fn outcome(&self) -> &str {
        self.header("outcome")
    }
}

/// Starts two daemons that run orders and one that only forwards them, and waits until all claim
/// ranges have an owner.
fn start_cluster() -> Cluster {
    let cluster = Cluster::start(&["orders", "orders", "front"]);
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    poll(OWNERSHIP_LIMIT, "owners of all ranges", || {
        let owned = |node: &Node| {
            let ranges = &node.status()?["claims"]["owned_ranges"];
            Some(ranges.as_array()?.len())
        };
        let owned: usize = cluster.nodes.iter().map(owned).sum::<Option<_>>()?;
        (owned == RANGE_COUNT).then_some(())
    });
    cluster
}

fn post(addr: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Response {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{addr}{path}");
    let mut req = agent.post(url);
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    let mut res = req.send(body).unwrap();
    Response {
        status: res.status().as_u16(),
        headers: res.headers().clone(),
        body: res.body_mut().read_to_string().unwrap(),
    }
}

fn place_order(cluster: &Cluster, node: usize, key: &str) -> Response {
    post(
        cluster.nodes[node].caller_addr,
        "/orders",
        Some(key),
        "one pallet",
    )
}

/// Requests an idempotency key that the daemon issues, instead of one that the caller chooses.
fn issue_key(cluster: &Cluster, node: usize) -> String {
    let path = "/.well-known/lavenderhatch/keys?route=place-order";
    let response = post(cluster.nodes[node].caller_addr, path, None, "");
    assert_eq!(response.status, 200, "{}", response.body);
    response.body
}

fn run_count(cluster: &Cluster, key: &str) -> u64 {
    let counts = cluster.nodes.iter().map(|node| node.backend.counts());
    counts
        .filter_map(|counts| counts.by_key.get(key).copied())
        .sum()
}

/// Guards against a second run when a caller repeats an order at the same or another daemon, and
/// against an outcome that differs from the first.
#[rstest]
#[case::chosen(false)]
#[case::issued(true)]
fn repeated_key_gets_the_recorded_outcome(#[case] is_issued: bool) {
    let cluster = start_cluster();
    let key = if is_issued {
        issue_key(&cluster, 2)
    } else {
        "invoice-7".to_owned()
    };
    let first = place_order(&cluster, 2, &key);
    assert_eq!(
        (first.status, first.outcome()),
        (200, "ran"),
        "{}",
        first.body
    );
    assert_eq!(first.header("recorded"), "");
    for node in [0, 1, 2, 0, 1] {
        let again = place_order(&cluster, node, &key);
        match (again.header("recorded"), again.header("error")) {
            ("whole", "") => assert_eq!(again.body, first.body),
            ("status", "") => assert!(!is_issued && again.body.is_empty()),
            // The owner of the key's claim range may not have received the outcome yet.
            (recorded, error) => assert_eq!((recorded, error), ("", "key-in-flight")),
        }
        if again.header("error").is_empty() {
            assert_eq!((again.status, again.outcome()), (200, "ran"));
        }
    }
    let other = post(
        cluster.nodes[1].caller_addr,
        "/orders",
        Some(&key),
        "two pallets",
    );
    assert_eq!(other.header("error"), "key-conflict", "{}", other.body);
    assert_eq!(run_count(&cluster, &key), 1);
}

/// Guards against a second run when the same key arrives at several daemons at the same time.
#[test]
fn same_key_at_two_daemons_at_once_runs_once() {
    let cluster = start_cluster();
    let keys: Vec<String> = (0..20).map(|n| format!("order-{n}")).collect();
    thread::scope(|scope| {
        for (key, node) in keys.iter().flat_map(|key| [(key, 0), (key, 1), (key, 2)]) {
            let cluster = &cluster;
            scope.spawn(move || {
                let response = place_order(cluster, node, key);
                let is_refused = response.header("error") == "key-in-flight";
                assert!(
                    is_refused || response.outcome() == "ran",
                    "{}",
                    response.body
                );
            });
        }
    });
    for key in &keys {
        assert_eq!(run_count(&cluster, key), 1, "{key}");
    }
}

/// Guards against a false `not-run` during a platform outage, and against orders with issued keys
/// that depend on the platform.
#[test]
fn platform_outage_refuses_chosen_keys_and_keeps_issued_keys() {
    let cluster = start_cluster();
    let is_down = true;
    cluster.platform.set_faults(Faults {
        is_down,
        ..Faults::default()
    });
    let refused = place_order(&cluster, 0, "during-outage");
    assert_eq!(
        refused.header("error"),
        "claim-unavailable",
        "{}",
        refused.body
    );
    assert_eq!(refused.outcome(), "not-run");
    assert_eq!(run_count(&cluster, "during-outage"), 0);
    let key = issue_key(&cluster, 2);
    assert_eq!(place_order(&cluster, 0, &key).outcome(), "ran");
    assert_eq!(run_count(&cluster, &key), 1);
    cluster.platform.set_faults(Faults::default());
    let response = place_order(&cluster, 1, "during-outage");
    assert_eq!(response.outcome(), "ran", "{}", response.body);
    assert_eq!(run_count(&cluster, "during-outage"), 1);
}

/// Guards against an order that is abandoned or run twice because the platform's response to the
/// write of its claim was lost after the write took effect.
#[test]
fn lost_platform_response_is_resolved_by_reading_back() {
    let cluster = start_cluster();
    let lost_answers = 1;
    cluster.platform.set_faults(Faults {
        lost_answers,
        ..Faults::default()
    });
    let response = place_order(&cluster, 0, "lost");
    assert_eq!(response.outcome(), "ran", "{}", response.body);
    assert_eq!(cluster.platform.faults().lost_answers, 0);
    assert_eq!(place_order(&cluster, 0, "lost").status, 200);
    assert_eq!(run_count(&cluster, "lost"), 1);
}

/// Guards against a second run of an order whose executor was killed while the order ran, and
/// against `not-run` from a daemon that does not know the outcome of the key.
#[rstest]
#[case::chosen(false)]
#[case::issued(true)]
fn killed_executor_leaves_outcome_unknown(#[case] is_issued: bool) {
    let mut cluster = start_cluster();
    let behaviour = Behaviour {
        service_ms: 1000,
        ..Behaviour::default()
    };
    cluster
        .nodes
        .iter()
        .for_each(|node| node.backend.set_behaviour(behaviour.clone()));
    let key = if is_issued {
        issue_key(&cluster, 2)
    } else {
        "pallet-9".to_owned()
    };
    let (addr, sent) = (cluster.nodes[2].caller_addr, key.clone());
    let first = thread::spawn(move || post(addr, "/orders", Some(&sent), "one pallet"));
    let executor = poll(Duration::from_secs(4), "the order to run", || {
        let mut nodes = cluster.nodes.iter();
        nodes.position(|node| node.backend.in_flight() == 1)
    });
    cluster.nodes[executor].kill();
    let first = first.join().unwrap();
    assert_eq!(first.outcome(), "unknown", "{}", first.body);
    for node in (0..3).filter(|node| *node != executor) {
        let again = place_order(&cluster, node, &key);
        assert_eq!(again.outcome(), "unknown", "{}", again.body);
    }
    cluster.nodes[executor].start();
    let again = place_order(&cluster, executor, &key);
    assert_eq!(again.outcome(), "unknown", "{}", again.body);
    assert_eq!(run_count(&cluster, &key), 1);
}

/// Guards against `not-run` for a key that may have run before, when there is no backend server
/// that knows its outcome.
#[rstest]
#[case::keyed(Some("order-1"), "outcome-unknown", "unknown")]
#[case::without_key(None, "no-backend", "not-run")]
fn order_without_a_backend_server_names_its_outcome(
    #[case] key: Option<&str>,
    #[case] error: &str,
    #[case] outcome: &str,
) {
    let cluster = Cluster::start(&["front"]);
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    let response = post(cluster.nodes[0].caller_addr, "/orders", key, "one pallet");
    assert_eq!(response.header("error"), error, "{}", response.body);
    assert_eq!(response.outcome(), outcome);
}
