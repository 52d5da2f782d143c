//! Calls that are forwarded to another daemon.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, bounded, never};
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_daemon::peer::{
    ControlTraffic, ForwardRequest, Inboxes, PeerError, PeerLinks, PeerPort,
};

const TIME_LEFT: Duration = Duration::from_millis(40);

fn call() -> Arc<StoredCall> {
    Arc::new(StoredCall {
        id: "c".to_owned(),
        method: "GET".to_owned(),
        target: "/archive".to_owned(),
        route: "archive".to_owned(),
        rank: "background".to_owned(),
        service: "catalogue".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        key: None,
        is_idempotent: true,
        time_left_ms: TIME_LEFT.as_millis() as u64,
        hop_count: 1,
    })
}

/// Starts a peer port whose forwarded calls arrive at the receiver.
fn bind_peer() -> (PeerPort, Receiver<ForwardRequest>) {
    let (forwarded_calls, rx) = bounded(8);
    let inboxes = Inboxes {
        members: bounded(1).0,
        distribution: bounded(1).0,
        orders: bounded(1).0,
        forwarded_calls,
    };
    let addr = "127.0.0.1:0".parse().unwrap();
    let port = PeerPort::bind(addr, 1, &inboxes, &ControlTraffic::default()).unwrap();
    (port, rx)
}

/// Guards against the answer "unknown" for a call that has not run: the refusal of the other daemon
/// arrives after the deadline if the machine is busy.
#[test]
fn a_refusal_that_is_late_still_tells_that_the_call_has_not_run() {
    let (port, rx) = bind_peer();
    thread::spawn(move || {
        for ForwardRequest { reply, .. } in rx {
            let _ = never::<()>().recv_timeout(2 * TIME_LEFT);
            let kind = ErrorKind::DeadlineUnmeetable;
            reply.send(CallResponse::from_error(kind, "no slot is free in time"));
        }
    });
    let links = PeerLinks::spawn(1, &ControlTraffic::default()).unwrap();
    let answer = links.forward(port.addr(), &call(), TIME_LEFT).unwrap();
    assert_eq!(answer.error, Some(ErrorKind::DeadlineUnmeetable));
}

/// Guards against a caller that waits for a peer which never answers.
#[test]
fn a_peer_without_an_answer_is_given_up_soon_after_the_deadline() {
    let (port, rx) = bind_peer();
    let held = thread::spawn(move || rx.recv().unwrap());
    let links = PeerLinks::spawn(1, &ControlTraffic::default()).unwrap();
    let start = Instant::now();
    let result = links.forward(port.addr(), &call(), TIME_LEFT);
    assert_eq!(result.unwrap_err(), PeerError::TimedOut);
    assert!(start.elapsed() < Duration::from_secs(1));
    drop(held.join());
}
