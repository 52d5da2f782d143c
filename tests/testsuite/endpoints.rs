//! Ejection of failing backend servers.

use std::time::Duration;

use lavenderhatch_standin::Behaviour;

use crate::support::{Cluster, poll};

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.4 } },
  "services": { "orders": { "slots": 12 } },
  "routes": { "place-order": { "path": "/orders", "service": "orders", "rank": "urgent",
              "timeout_ms": 2000, "idempotent": false } },
}"#;

/// Guards against a server that keeps its share of calls although all of them fail, because it
/// reports itself as healthy and idle.
#[test]
fn failing_server_that_claims_health_is_ejected() {
    let cluster = Cluster::start(&["orders"; 3]);
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    cluster.nodes[0].backend.set_behaviour(Behaviour {
        fail_every: 1,
        claims_healthy: true,
        claimed_load: Some(0),
        ..Behaviour::default()
    });
    // The calls enter in the zone of the failing server, because a daemon of another zone would
    // send this server no calls at low load.
    let entry = &cluster.nodes[2];
    poll(Duration::from_secs(15), "an ejection", || {
        for _ in 0..50 {
            let _ = ureq::post(format!("http://{}/orders", entry.caller_addr)).send("x");
        }
        let audit = ureq::get(format!("http://{}/audit", entry.admin_addr)).call();
        let audit = audit.unwrap().body_mut().read_to_string().unwrap();
        audit.contains("endpoint-ejected").then_some(())
    });
    let before = cluster.nodes[0].backend.counts().total;
    for _ in 0..50 {
        let res = ureq::post(format!("http://{}/orders", entry.caller_addr)).send("x");
        assert_eq!(res.unwrap().status(), 200);
    }
    assert_eq!(cluster.nodes[0].backend.counts().total, before);
}
