//! The request path of a daemon that is leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crossbeam::channel::bounded;
use lavenderhatch_core::blackboard::{Blackboard, Writers};
use lavenderhatch_core::call::{CallResponse, CallView, StoredCall};
use lavenderhatch_core::drain::{Drains, LeaveReason};
use lavenderhatch_core::endpoint::{Endpoint, Endpoints, FULL_WEIGHT};
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::{
    ConfigSnapshot, Error, ErrorKind, Incarnation, MemberRecord, MemberState, Mesh, NodeId, Region,
    ServiceName, Timestamp, Version, Zone,
};
use lavenderhatch_daemon::peer::{ControlTraffic, PeerError, PeerLinks};
use lavenderhatch_daemon::request::admission_gate::AdmissionGate;
use lavenderhatch_daemon::request::{
    Backend, CallForwarder, IncomingRequest, OrderClient, RequestPath,
};
use lavenderhatch_files::{Source, parse_mesh};
use rstest::rstest;

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.4 } },
  "services": { "orders": { "slots": 12 } },
  "routes": { "place-order": { "path": "/orders", "service": "orders", "rank": "urgent",
              "timeout_ms": 2000, "idempotent": false } },
}"#;

fn ran(body: &str) -> CallResponse {
    CallResponse {
        status: 200,
        headers: Vec::new(),
        body: body.into(),
        outcome: Outcome::Ran,
        error: None,
        retry_after_ms: None,
        is_retry_exhausted: false,
    }
}

struct LocalBackend;

impl Backend for LocalBackend {
    fn run(&self, _: &CallView<'_>, _: Duration) -> Result<CallResponse, Error> {
        Ok(ran("here"))
    }
}

/// The daemons of other servers. They refuse the first `refusals` calls that are forwarded to them.
struct FakePeers {
    refusals: u32,
    kind: ErrorKind,
    calls: Arc<AtomicU32>,
}

impl CallForwarder for FakePeers {
    fn forward(
        &self,
        _: SocketAddr,
        _: &Arc<StoredCall>,
        _: Duration,
    ) -> Result<CallResponse, PeerError> {
        match self.calls.fetch_add(1, Ordering::Relaxed) < self.refusals {
            true => Ok(CallResponse::from_error(self.kind, "refused")),
            false => Ok(ran("there")),
        }
    }
}

fn endpoint(node: &str) -> Endpoint {
    Endpoint {
        node: NodeId::new(node).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new("zone-a").unwrap(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        slots: 12,
        weight: FULL_WEIGHT,
        is_last_resort: false,
        counters: Arc::default(),
    }
}

/// Creates the request path of the daemon `n0`, whose endpoints `n0` to `n5` all count as serving.
fn setup(refusals: u32) -> (RequestPath<LocalBackend, FakePeers>, Blackboard, Writers) {
    let peers = FakePeers {
        refusals,
        kind: ErrorKind::Leaving,
        calls: Arc::default(),
    };
    setup_with(peers)
}

fn setup_with(peers: FakePeers) -> (RequestPath<LocalBackend, FakePeers>, Blackboard, Writers) {
    let (board, writers) = Blackboard::open();
    let mesh: Mesh = parse_mesh(&[Source::new("mesh.jsonc", MESH)]).unwrap();
    let config = ConfigSnapshot::new(Version(1), Arc::new(mesh), Timestamp(1));
    writers.config.publish(Some(config));
    let mut endpoints = Endpoints::default();
    let service_endpoints = endpoints
        .by_service
        .entry("orders".to_owned().try_into().unwrap());
    let service_endpoints = service_endpoints.or_default();
    service_endpoints
        .endpoints
        .extend((0..6).map(|n| endpoint(&format!("n{n}"))));
    writers.endpoints.publish(endpoints);
    let own = NodeId::new("n0").unwrap();
    let zone = Zone::new("zone-a").unwrap();
    let (gate, _, _) = AdmissionGate::open(12, board.load.clone());
    let path = RequestPath::new(
        own,
        zone,
        board.clone(),
        gate,
        LocalBackend,
        peers,
        order_client(),
    );
    (path, board, writers)
}

/// Creates a client without an order controller, so that every check of a key fails.
fn order_client() -> OrderClient {
    let addr = "127.0.0.1:1".parse().unwrap();
    let record = MemberRecord {
        id: NodeId::new("n0").unwrap(),
        incarnation: Incarnation(1),
        seq: 1,
        zone: Zone::new("zone-a").unwrap(),
        region: Region::new("region-1").unwrap(),
        service: ServiceName::new("orders").unwrap(),
        peer_addr: addr,
        admin_addr: addr,
        slots: 12,
        state: MemberState::Serving,
    };
    let (controller, _) = bounded(1);
    OrderClient::new(
        &record,
        controller,
        PeerLinks::spawn(1, &ControlTraffic::default()).unwrap(),
    )
}

fn start_leaving(writers: &Writers) {
    let in_flight = Arc::clone(&writers.drains.load().in_flight);
    writers.drains.publish(Drains {
        leave_reason: Some(LeaveReason::Signal),
        in_flight,
        ..Drains::default()
    });
}

fn forwarded_call() -> StoredCall {
    StoredCall {
        id: "1".into(),
        method: "POST".into(),
        target: "/orders".into(),
        route: "place-order".into(),
        rank: "urgent".into(),
        service: "orders".into(),
        headers: Vec::new(),
        body: Vec::new(),
        key: None,
        is_idempotent: false,
        time_left_ms: 1000,
        hop_count: 1,
    }
}

fn request() -> IncomingRequest<'static> {
    IncomingRequest {
        method: "POST",
        target: "/orders",
        headers: &[],
        body: &[],
        key: None,
        timeout: None,
        hop_count: 0,
        call_id: "1",
    }
}

/// Guards against a leaving daemon that runs calls of peers that have not learned of its stop yet.
#[test]
fn leaving_daemon_refuses_peers() {
    let (path, _board, writers) = setup(0);
    assert_eq!(path.run_forwarded(&forwarded_call()).body, b"here");
    start_leaving(&writers);
    let answer = path.run_forwarded(&forwarded_call());
    let refused = (Some(ErrorKind::Leaving), Outcome::NotRun);
    assert_eq!((answer.error, answer.outcome), refused);
}

/// Guards against a claim that is written for an order which the daemon then refuses, and against
/// "not run" from servers that have not checked the key. Every check of a key fails in this test.
#[test]
fn leaving_daemon_claims_no_order() {
    let key = Some("k".to_owned());
    let call = StoredCall {
        key,
        ..forwarded_call()
    };
    let (path, _board, writers) = setup(12);
    assert_eq!(
        path.run_forwarded(&call).error,
        Some(ErrorKind::OutcomeUnknown)
    );
    start_leaving(&writers);
    assert_eq!(path.run_forwarded(&call).error, Some(ErrorKind::Leaving));
    let req = IncomingRequest {
        key: Some("k"),
        ..request()
    };
    assert_eq!(path.handle(&req, &mut || 0).outcome, Outcome::Unknown);
    let answer = path.handle(&request(), &mut || 0);
    assert_eq!(
        (answer.error, answer.outcome),
        (Some(ErrorKind::Leaving), Outcome::NotRun)
    );
}

/// Guards against a restarted daemon that accepts calls before it knows its own planned stops.
#[test]
fn daemon_without_configuration_refuses_peers() {
    let (path, _board, writers) = setup(0);
    writers.config.publish(None);
    let answer = path.run_forwarded(&forwarded_call());
    assert_eq!(answer.error, Some(ErrorKind::NotReady));
}

/// Guards against calls that run on a leaving server or are refused by it, and against refusals by
/// other leaving servers that use up the attempts of a call.
#[rstest]
#[case(0)]
#[case(1)]
#[case(4)]
fn calls_are_forwarded_past_leaving_servers(#[case] refusals: u32) {
    for seed in 0..32_u64 {
        let (path, _board, writers) = setup(refusals);
        start_leaving(&writers);
        let mut random = || seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        assert_eq!(path.handle(&request(), &mut random).body, b"there");
    }
}

/// Guards against a process that exits while a request is in flight, and against a request that
/// starts after the process was allowed to exit.
#[test]
fn daemon_ends_only_without_requests() {
    let (path, board, _writers) = setup(0);
    let in_flight = Arc::clone(&board.drains.load().in_flight);
    let guard = path.enter().unwrap();
    assert_eq!((in_flight.count(), in_flight.try_close()), (1, false));
    drop(guard);
    assert!(in_flight.try_close());
    let refused = path.enter().map(drop).map_err(|err| err.kind());
    assert_eq!((refused, in_flight.count()), (Err(ErrorKind::Leaving), 0));
}

/// Guards against an order that is tried on a second server before the first has released the
/// claim. The second server would answer `key-in-flight`, whose outcome is `unknown`, although the
/// order did not run anywhere.
#[test]
fn order_refused_after_its_claim_is_not_tried_elsewhere() {
    let calls = Arc::new(AtomicU32::new(0));
    let peers = FakePeers {
        refusals: 12,
        kind: ErrorKind::Overloaded,
        calls: Arc::clone(&calls),
    };
    let (path, _board, writers) = setup_with(peers);
    start_leaving(&writers);
    let without_key = path.handle(&request(), &mut || 1);
    assert_eq!(without_key.error, Some(ErrorKind::Overloaded));
    assert_eq!(calls.swap(0, Ordering::Relaxed), 3);
    let req = IncomingRequest {
        key: Some("k"),
        ..request()
    };
    let answer = path.handle(&req, &mut || 1);
    assert_eq!(calls.load(Ordering::Relaxed), 1);
    let refused = (Some(ErrorKind::Overloaded), Outcome::NotRun);
    assert_eq!((answer.error, answer.outcome), refused);
}
