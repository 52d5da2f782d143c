//! Backend servers in need that name the requests per second that they take.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::support::{Backend, Mesh, Reply, RouteSpec};

/// Requests per second that the backend server takes.
const LIMIT: f64 = 10.0;
/// Window in which the requests of a backend server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Number of callers of each daemon.
const CALLERS: usize = 6;

const LIMITED: &str = "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\nrate-limit: 10.0\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a backend server in need that gets far more requests than the limit that it has
/// named, from its own daemon and from others.
#[test]
fn a_backend_server_gets_no_more_requests_than_its_limit() {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let for_rule = Arc::clone(&arrivals);
    let limited = Backend::bind(move |_| {
        for_rule.lock().unwrap().push(Instant::now());
        Reply::Raw(LIMITED)
    });
    let idle = Backend::hello();
    let mesh = Mesh::spawn(&[&limited, &idle], &[RouteSpec::SAFE]);
    // Leaves the limited backend server alone with the requests of both daemons.
    mesh.daemons[1].report(lavenderhatch_decide::relay::BackendPhase::Draining, 2);
    let end = Instant::now() + WINDOW + Duration::from_secs(1);
    let callers: Vec<_> = (0..2 * CALLERS)
        .map(|at| {
            let mut caller = mesh.daemons[at % 2].caller();
            thread::spawn(move || {
                let mut statuses = Vec::new();
                while Instant::now() < end {
                    caller.get("/safe/1");
                    statuses.push(caller.read().unwrap().status);
                }
                statuses
            })
        })
        .collect();
    let statuses: Vec<u16> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    let arrivals = arrivals.lock().unwrap();
    let start = arrivals[0] + Duration::from_millis(500);
    let arrived = arrivals
        .iter()
        .filter(|at| **at >= start && **at < start + WINDOW);
    let arrived = arrived.count() as f64;
    let allowed = LIMIT * WINDOW.as_secs_f64();
    assert!(arrived <= 1.5 * allowed + 5.0, "{arrived}");
    assert!(arrived >= 0.8 * allowed, "what it takes is used: {arrived}");
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)));
}

/// Guards against a limit that stays after the backend server has stopped naming it.
#[test]
fn a_limit_ends_when_it_is_no_longer_named() {
    let backend = Backend::bind(|seen| match seen.path() {
        "/safe/limited" => Reply::Raw(LIMITED),
        _ => Reply::Signed(200, "hello"),
    });
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    for path in ["/safe/limited", "/safe/1"] {
        caller.get(path);
        assert_eq!(caller.read().unwrap().status, 200);
    }
    let start = Instant::now();
    for _ in 0..50 {
        caller.get("/safe/1");
        assert_eq!(caller.read().unwrap().status, 200);
    }
    assert!(start.elapsed() < Duration::from_secs_f64(50.0 / LIMIT));
}
