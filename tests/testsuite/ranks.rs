//! Admission by rank under overload.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lavenderhatch_standin::Behaviour;
use rstest::rstest;

use crate::support::{Cluster, poll};

const LATENCY_TARGET: Duration = Duration::from_millis(500);
const SLOTS: u32 = 4;
const SERVICE_MS: u64 = 50;
/// Number of callers that overload the back end. In first-come-first-served order, they would make
/// each call wait 80 / 4 x 50 ms = 1 s, twice the target latency.
const FLOOD_CALLERS: usize = 80;
const CALL_COUNT: usize = 20;
const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 500, "worth": 100, "share": 0.4 },
             "background": { "target_ms": 10000, "worth": 1, "share": 0.1 } },
  "services": { "orders": { "slots": 4 }, "catalogue": { "slots": 4 } },
  "routes": {
    "order-status": { "path": "/status", "service": "catalogue", "rank": "urgent",
                      "timeout_ms": 5000, "idempotent": true },
    "archive": { "path": "/archive", "service": "catalogue", "rank": "background",
                 "timeout_ms": 20000, "idempotent": true },
  },
}"#;

/// Starts two nodes: node 0 forwards calls to node 1, whose back end has a few slow slots.
fn start_slow_cluster() -> Cluster {
    let cluster = Cluster::start(&["orders", "catalogue"]);
    cluster.nodes[1].backend.set_behaviour(Behaviour {
        slots: SLOTS,
        service_ms: SERVICE_MS,
        ..Behaviour::default()
    });
    cluster.apply(MESH);
    cluster.wait_for_version(1);
    cluster
}

/// Sets a flag to true when dropped.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs `check` while callers of the least urgent rank keep the queue of node 1 filled.
fn during_flood(cluster: &Cluster, entry: usize, check: impl FnOnce()) {
    let is_over = AtomicBool::new(false);
    let url = format!("http://{}/archive", cluster.nodes[entry].caller_addr);
    thread::scope(|scope| {
        // If the check panics, the flag must still be set, or the scope waits for the callers
        // forever.
        let _over = SetOnDrop(&is_over);
        for _ in 0..FLOOD_CALLERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let _ = ureq::get(&url).call();
                }
            });
        }
        poll(Duration::from_secs(10), "a full queue", || {
            let status = cluster.nodes[1].status()?;
            let queued = status["load"]["ranks"]["background"]["queued"].as_u64()?;
            (queued > FLOOD_CALLERS as u64 / 2).then_some(())
        });
        check();
    });
}

/// Guards against urgent calls that wait behind a flood of calls of the least urgent rank, both
/// when calls enter at the daemon of the back end and when a peer forwards them.
#[rstest]
#[case::handed_over(0)]
#[case::direct(1)]
fn flood_of_the_least_urgent_rank_leaves_urgent_calls_served(#[case] entry: usize) {
    let cluster = start_slow_cluster();
    during_flood(&cluster, entry, || {
        let url = format!("http://{}/status/7", cluster.nodes[entry].caller_addr);
        for _ in 0..CALL_COUNT {
            let start = Instant::now();
            let res = ureq::get(&url).call().unwrap();
            assert_eq!(res.headers()["lavenderhatch-outcome"], "ran");
            assert!(start.elapsed() < LATENCY_TARGET, "{:?}", start.elapsed());
        }
    });
}

/// Guards against a call that cannot meet its deadline and is refused late instead of at once, and
/// against a call that runs although its outcome was `not-run`.
#[rstest]
#[case::handed_over(0)]
#[case::direct(1)]
fn call_that_cannot_meet_its_deadline_is_refused_at_once_and_never_runs(#[case] entry: usize) {
    let cluster = start_slow_cluster();
    let agent = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = agent.build().into();
    let time_left = Duration::from_millis(SERVICE_MS - 10);
    during_flood(&cluster, entry, || {
        let url = format!("http://{}/archive", cluster.nodes[entry].caller_addr);
        for n in 0..CALL_COUNT {
            let req = agent
                .get(&url)
                .header(
                    "lavenderhatch-deadline-ms",
                    time_left.as_millis().to_string(),
                )
                .header("idempotency-key", format!("late-{n}"));
            let res = req.call().unwrap();
            let header = |name: &str| res.headers()[name].to_str().unwrap().to_owned();
            assert_eq!(header("lavenderhatch-error"), "deadline-unmeetable");
            assert_eq!(header("lavenderhatch-outcome"), "not-run");
            assert_eq!(header("lavenderhatch-retry"), "exhausted");
            let advice: u64 = header("lavenderhatch-retry-after-ms").parse().unwrap();
            assert!((1..=10_000).contains(&advice));
        }
    });
    let late_runs = cluster.nodes[1].backend.counts().by_key;
    assert!(late_runs.is_empty(), "{late_runs:?}");
}
