//! Planned stops and termination signals.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lavenderhatch_standin::Behaviour;

use crate::support::{Call, Callers, Cluster, RawCaller, poll};

/// Time after the start of a stop within which the last new request may reach the back end.
const NEW_WORK_LIMIT: Duration = Duration::from_secs(3);
/// Time within which a stop must reach an expected phase.
const PHASE_LIMIT: Duration = Duration::from_secs(15);
const SERVICE_MS: u64 = 20;

fn mesh(stop: &str) -> String {
    format!(
        r#"{{
  "ranks": {{ "urgent": {{ "target_ms": 50, "worth": 100, "share": 0.4 }} }},
  "services": {{ "orders": {{ "slots": 12 }} }},
  "routes": {{ "place-order": {{ "path": "/orders", "methods": ["POST"], "service": "orders",
                "rank": "urgent", "timeout_ms": 20000, "idempotent": false }} }},
  "stops": {{ {stop} }},
}}"#
    )
}

/// Renders a stop of `n0` that starts at `start` and has its deadline `deadline` after that.
fn stop_of_n0(start: SystemTime, deadline: Duration) -> String {
    let text = |time| humantime::format_rfc3339_millis(time).to_string();
    let (start, deadline) = (text(start), text(start + deadline));
    format!(
        r#""replace": {{ "backend_server": "n0", "start": "{start}", "deadline": "{deadline}" }}"#
    )
}

fn start_cluster(servers: usize) -> Cluster {
    let cluster = Cluster::start(&vec!["orders"; servers]);
    cluster.apply(&mesh(""));
    cluster.wait_for_version(1);
    cluster
}

fn set_service_ms(cluster: &Cluster, node: usize, service_ms: u64) {
    cluster.nodes[node].backend.set_behaviour(Behaviour {
        service_ms,
        ..Behaviour::default()
    });
}

fn addrs(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.nodes.iter().map(|node| node.caller_addr).collect()
}

fn wait_for_phase(cluster: &Cluster, phase: &str) {
    poll(PHASE_LIMIT, &format!("phase {phase}"), || {
        let status = cluster.nodes[0].status()?;
        (status["stops"]["replace"]["phase"] == phase).then_some(())
    });
}

fn wait_for_in_flight(cluster: &Cluster, node: usize, count: u32) {
    poll(PHASE_LIMIT, "requests in flight", || {
        (cluster.nodes[node].backend.in_flight() == count).then_some(())
    });
}

fn failures(calls: &[Call]) -> Vec<&String> {
    calls
        .iter()
        .filter_map(|call| call.result.as_ref().err())
        .collect()
}

/// Returns when the last call that ran on a backend server ended.
fn last_call_on(calls: &[Call], node: &str) -> Option<Instant> {
    let ran_there = |call: &&Call| {
        call.result
            .as_ref()
            .is_ok_and(|body| body.starts_with(node))
    };
    calls.iter().filter(ran_there).map(|call| call.end).max()
}

fn post(addr: SocketAddr) -> Vec<u8> {
    format!("POST /orders HTTP/1.1\r\nHost: {addr}\r\nContent-Length: 1\r\n\r\nx").into_bytes()
}

/// Returns when a server began to leave according to its audit trail, in milliseconds since the
/// Unix epoch.
fn left_at(cluster: &Cluster, node: usize) -> u64 {
    let addr = cluster.nodes[node].admin_addr;
    let mut res = ureq::get(format!("http://{addr}/audit")).call().unwrap();
    let audit = res.body_mut().read_to_vec().unwrap();
    let audit: serde_json::Value = serde_json::from_slice(&audit).unwrap();
    let events = audit["events"].as_array().unwrap();
    let is_leave = |event: &&serde_json::Value| {
        let reason = event["reason"].as_str().unwrap();
        event["action"] == "stop-changed" && reason.starts_with("leaving")
    };
    events.iter().find(is_leave).unwrap()["at"]
        .as_u64()
        .unwrap()
}

/// Guards against requests that a planned stop interrupts, and against new requests that reach the
/// leaving server through any daemon later than 3 s after the start.
#[test]
fn planned_stop_cuts_no_request_and_gets_no_new_work() {
    let cluster = start_cluster(3);
    (0..3).for_each(|node| set_service_ms(&cluster, node, SERVICE_MS));
    let callers = Callers::start(&addrs(&cluster), 2, "/orders");
    let start = SystemTime::now() + Duration::from_secs(2);
    let start_instant = Instant::now() + Duration::from_secs(2);
    cluster.apply(&mesh(&stop_of_n0(start, Duration::from_secs(60))));
    wait_for_phase(&cluster, "drained");
    let drained = cluster.nodes[0].backend.counts().total;
    poll(
        PHASE_LIMIT,
        "the other members see the server as left",
        || {
            let status = cluster.nodes[1].status()?;
            let state = &status["members"][0]["record"]["state"];
            (state == "left").then_some(())
        },
    );
    let calls = callers.stop();
    assert_eq!(failures(&calls), Vec::<&String>::new());
    let last = last_call_on(&calls, "n0").unwrap();
    let service = Duration::from_millis(SERVICE_MS);
    let left_at = left_at(&cluster, 0);
    let start_ms = start.duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    assert!(
        left_at >= start_ms,
        "the server left before the start of the stop"
    );
    assert!(last - service <= start_instant + NEW_WORK_LIMIT);
    assert_eq!(cluster.nodes[0].backend.counts().total, drained);
}

/// Guards against a request in flight that is interrupted at the start or the deadline of a stop,
/// and against a status that does not report it.
#[test]
fn request_in_flight_completes_after_the_deadline() {
    let cluster = start_cluster(2);
    set_service_ms(&cluster, 0, 6000);
    let callers = Callers::start(&addrs(&cluster)[1..], 4, "/orders");
    poll(PHASE_LIMIT, "a request on n0", || {
        (cluster.nodes[0].backend.in_flight() > 0).then_some(())
    });
    let stop = stop_of_n0(SystemTime::now(), Duration::from_secs(1));
    cluster.apply(&mesh(&stop));
    wait_for_phase(&cluster, "overdue");
    let status = cluster.nodes[0].status().unwrap();
    assert!(status["stops"]["replace"]["in_flight"].as_u64() > Some(0));
    wait_for_phase(&cluster, "drained");
    let calls = callers.stop();
    assert_eq!(failures(&calls), Vec::<&String>::new());
    assert!(last_call_on(&calls, "n0").is_some());
}

/// Guards against a connection that stays open after a response with `Connection: close`, and
/// against lost requests when a caller ignores that header. Each request gets a response, on a new
/// connection if necessary, and none runs twice.
#[test]
fn caller_that_ignores_connection_close_loses_no_request() {
    let cluster = start_cluster(2);
    cluster.apply(&mesh(&stop_of_n0(
        SystemTime::now(),
        Duration::from_secs(60),
    )));
    wait_for_phase(&cluster, "drained");
    let addr = cluster.nodes[0].caller_addr;
    let before: u64 = cluster.nodes.iter().map(|n| n.backend.counts().total).sum();
    for _ in 0..5 {
        let mut caller = RawCaller::connect(addr);
        assert!(caller.send(&post(addr)));
        let response = caller.read_response().unwrap();
        assert!(
            response.starts_with("HTTP/1.1 200") && response.contains("n1 POST"),
            "{response}"
        );
        assert!(
            response.to_lowercase().contains("connection: close"),
            "{response}"
        );
        caller.send(&post(addr));
        assert!(caller.is_closed());
    }
    let after: u64 = cluster.nodes.iter().map(|n| n.backend.counts().total).sum();
    assert_eq!(after - before, 5);
}

/// Guards against a server that gets no requests after its stop was withdrawn.
#[test]
fn withdrawn_stop_returns_the_server_to_service() {
    let cluster = start_cluster(2);
    cluster.apply(&mesh(&stop_of_n0(
        SystemTime::now(),
        Duration::from_secs(60),
    )));
    wait_for_phase(&cluster, "drained");
    let drained = cluster.nodes[0].backend.counts().total;
    cluster.apply(&mesh(""));
    cluster.wait_for_version(3);
    let addr = cluster.nodes[0].caller_addr;
    poll(PHASE_LIMIT, "a new request on n0", || {
        let _ = ureq::post(format!("http://{addr}/orders")).send("x");
        (cluster.nodes[0].backend.counts().total > drained).then_some(())
    });
    let audit = ureq::get(format!("http://{}/audit", cluster.nodes[0].admin_addr)).call();
    let audit = audit.unwrap().body_mut().read_to_string().unwrap();
    assert!(audit.contains("withdrawn after drained"), "{audit}");
}

/// Guards against SIGTERM that interrupts requests, and against a process that never exits.
#[test]
fn sigterm_drains_and_ends_the_process() {
    let mut cluster = start_cluster(3);
    (0..3).for_each(|node| set_service_ms(&cluster, node, SERVICE_MS));
    set_service_ms(&cluster, 0, 5000);
    let callers = Callers::start(&addrs(&cluster), 2, "/orders");
    poll(PHASE_LIMIT, "a request on n0", || {
        (cluster.nodes[0].backend.in_flight() > 0).then_some(())
    });
    cluster.nodes[0].terminate();
    assert_eq!(cluster.nodes[0].wait_for_exit(PHASE_LIMIT), Some(0));
    assert_eq!(cluster.nodes[0].backend.in_flight(), 0);
    let calls = callers.stop();
    assert_eq!(failures(&calls), Vec::<&String>::new());
    assert!(last_call_on(&calls, "n0").is_some());
}

/// Guards against a daemon that cannot be ended while its requests take too long.
#[test]
fn second_signal_ends_the_process_at_once() {
    let mut cluster = start_cluster(1);
    set_service_ms(&cluster, 0, 15_000);
    let addr = cluster.nodes[0].caller_addr;
    let mut caller = RawCaller::connect(addr);
    assert!(caller.send(&post(addr)));
    wait_for_in_flight(&cluster, 0, 1);
    cluster.nodes[0].terminate();
    poll(PHASE_LIMIT, "the daemon leaves", || {
        let status = cluster.nodes[0].status()?;
        (status["members"][0]["record"]["state"] == "leaving").then_some(())
    });
    cluster.nodes[0].terminate();
    assert_eq!(
        cluster.nodes[0].wait_for_exit(Duration::from_secs(2)),
        Some(1)
    );
}
