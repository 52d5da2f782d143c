//! The admission gate with its load controller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, tick};
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::call::StoredCall;
use lavenderhatch_core::drain::InFlightCounter;
use lavenderhatch_core::{ErrorKind, ServiceName};
use lavenderhatch_daemon::controller::{ControllerHandle, LoadController};
use lavenderhatch_daemon::peer::{ForwardRequest, Reply};
use lavenderhatch_daemon::request::admission_gate::{AdmissionGate, DecidedCall, ForwardedCall};
use rstest::{fixture, rstest};

const SLOTS: u16 = 3;
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    gate: Arc<AdmissionGate>,
    decided: Receiver<DecidedCall>,
    _controller: ControllerHandle,
}

#[fixture]
fn setup() -> Fixture {
    let (board, writers) = Blackboard::open();
    let (gate, inbox, decided) = AdmissionGate::open(SLOTS, board.load.clone());
    let controller = LoadController {
        service: ServiceName::new("orders").unwrap(),
        config: board.config.clone(),
        load: writers.load,
        gate: Arc::clone(&gate),
        inbox,
    };
    // The controller needs the writer of the configuration section to stay alive while it runs.
    std::mem::forget(writers.config);
    Fixture {
        gate,
        decided,
        _controller: controller.spawn().unwrap(),
    }
}

fn wait_until_empty(gate: &AdmissionGate) {
    let end = Instant::now() + LONG_TIMEOUT;
    let ticks = tick(Duration::from_millis(1));
    while (gate.state().in_flight, gate.state().waiting) != (0, 0) {
        assert!(Instant::now() < end, "{:?}", gate.state());
        ticks.recv().unwrap();
    }
}

/// Guards against slots that are lost or granted twice when requests pass through the queue.
#[rstest]
fn contended_gate_admits_each_request_within_its_limit(setup: Fixture) {
    let inside = AtomicU32::new(0);
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                for _ in 0..300 {
                    let deadline = setup.gate.deadline(LONG_TIMEOUT);
                    let permit = setup.gate.acquire("urgent", deadline).unwrap();
                    let now_inside = inside.fetch_add(1, Ordering::SeqCst) + 1;
                    // The adaptive limit never exceeds twice the number of slots.
                    assert!(now_inside <= 2 * u32::from(SLOTS), "{now_inside}");
                    inside.fetch_sub(1, Ordering::SeqCst);
                    permit.finish(false);
                }
            });
        }
    });
    wait_until_empty(&setup.gate);
}

/// Guards against a request that gets no slot in time and is not refused as "not run", and against
/// a slot that stays taken because it was granted to a thread that no longer waits.
#[rstest]
fn request_out_of_time_is_refused_as_not_run_and_holds_no_slot(setup: Fixture) {
    let held: Vec<_> = (0..SLOTS)
        .map(|_| {
            setup
                .gate
                .acquire("urgent", setup.gate.deadline(LONG_TIMEOUT))
                .unwrap()
        })
        .collect();
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let deadline = setup.gate.deadline(Duration::from_millis(30));
                let err = setup.gate.acquire("urgent", deadline).unwrap_err();
                assert_eq!(err.kind(), ErrorKind::DeadlineUnmeetable);
                assert!(err.kind().is_not_run());
            });
        }
    });
    drop(held);
    wait_until_empty(&setup.gate);
}

fn forwarded_call(time_left_ms: u64) -> Box<ForwardedCall> {
    let call = StoredCall {
        id: "n0-1".to_owned(),
        method: "GET".to_owned(),
        target: "/orders".to_owned(),
        route: "order-status".to_owned(),
        rank: "urgent".to_owned(),
        service: "orders".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        key: None,
        is_idempotent: true,
        time_left_ms,
        hop_count: 1,
    };
    let (reply, _) = Reply::channel();
    let guard = Arc::new(InFlightCounter::default()).enter().unwrap();
    Box::new(ForwardedCall {
        req: ForwardRequest { call, reply },
        guard,
    })
}

/// Guards against forwarded calls that block a thread while they wait for a slot: this one thread
/// queues a hundred of them, and each is admitted later.
#[rstest]
fn calls_of_peers_wait_without_threads(setup: Fixture) {
    let held: Vec<_> = (0..SLOTS)
        .map(|_| {
            setup
                .gate
                .acquire("urgent", setup.gate.deadline(LONG_TIMEOUT))
                .unwrap()
        })
        .collect();
    for _ in 0..100 {
        let deadline = setup.gate.deadline(LONG_TIMEOUT);
        assert!(
            setup
                .gate
                .admit_forwarded(forwarded_call(20_000), deadline)
                .is_none()
        );
    }
    drop(held);
    for _ in 0..100 {
        let decided = setup.decided.recv_timeout(LONG_TIMEOUT).unwrap();
        assert!(decided.admission.is_ok());
    }
    wait_until_empty(&setup.gate);
}
