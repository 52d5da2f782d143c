//! Well-formed messages as bytes.

use capnp::message::Builder;
use capnp::serialize::write_message_to_words;
use lavenderhatch_core::call::{CallAnswer, Header, StoredCall};
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::mesh::MeshChanges;
use lavenderhatch_core::{
    Digest, ErrorKind, Incarnation, MemberRecord, MemberState, NodeId, Region, ServiceName,
    Version, Zone,
};
use lavenderhatch_decide::message::{
    Claim, ClaimVerdict, Delta, HeldReport, Hello, OutcomeRecord, RecordedOutcome, Suspicion,
    Update,
};
use lavenderhatch_wire::{
    write_answer, write_call, write_claim, write_hello, write_outcome, write_update, write_verdict,
};

pub(crate) fn hello() -> Hello {
    let node = NodeId::new("orders-1").unwrap();
    let record = MemberRecord {
        id: node.clone(),
        incarnation: Incarnation(7),
        seq: 3,
        zone: Zone::new("zone-a").unwrap(),
        region: Region::new("region-1").unwrap(),
        service: ServiceName::new("orders").unwrap(),
        peer_addr: "127.0.0.1:7001".parse().unwrap(),
        admin_addr: "[::1]:7002".parse().unwrap(),
        slots: 12,
        state: MemberState::Leaving,
    };
    Hello {
        node: node.clone(),
        incarnation: Incarnation(7),
        version: Version(5),
        digest: Digest::of(b"mesh"),
        records: vec![record.clone(), record],
        suspects: vec![Suspicion {
            node: node.clone(),
            incarnation: Incarnation(7),
            observer: node.clone(),
            is_withdrawn: true,
        }],
        held_by_receiver: Version(4),
        in_flight: 2,
        limit: 12,
        reports: vec![HeldReport {
            lowest: Version(4),
            members: 9,
            lagging: vec![node],
        }],
    }
}

pub(crate) fn call() -> StoredCall {
    StoredCall {
        id: "orders-1-2a".to_owned(),
        method: "POST".to_owned(),
        target: "/orders?q=1".to_owned(),
        route: "place-order".to_owned(),
        rank: "urgent".to_owned(),
        service: "orders".to_owned(),
        headers: vec![Header {
            name: "accept".to_owned(),
            value: "text/plain".to_owned(),
        }],
        body: b"two reams".to_vec(),
        key: Some("k".to_owned()),
        is_idempotent: false,
        time_left_ms: 2000,
        depth: 1,
    }
}

pub(crate) fn answer() -> CallAnswer {
    CallAnswer {
        retry_after_ms: Some(250),
        outcome: Outcome::NotRun,
        ..CallAnswer::from_error(ErrorKind::Overloaded, "full")
    }
}

pub(crate) fn update() -> Update {
    let base_digest = Digest::of(b"base");
    let changes = r#"{"services":{"orders":{"slots":12},"gone":null}}"#;
    Update::Delta(Delta {
        base_version: Version(4),
        base_digest,
        version: Version(5),
        digest: Digest::of(b"mesh"),
        changes: serde_json::from_str::<MeshChanges>(changes).unwrap(),
    })
}

pub(crate) fn claim() -> Claim {
    Claim {
        key_hash: Digest::of(b"key"),
        request_digest: Digest::of(b"request"),
        executor: NodeId::new("orders-1").unwrap(),
        incarnation: Incarnation(7),
        attempt: 1,
    }
}

pub(crate) fn outcome() -> OutcomeRecord {
    OutcomeRecord {
        key_hash: Digest::of(b"key"),
        executor: NodeId::new("orders-1").unwrap(),
        incarnation: Incarnation(7),
        attempt: 1,
        outcome: Some(recorded()),
    }
}

pub(crate) fn recorded() -> RecordedOutcome {
    RecordedOutcome {
        status: 200,
        body_digest: Digest::of(b"body"),
    }
}

fn bytes(fill: impl FnOnce(&mut Builder<capnp::message::HeapAllocator>)) -> Vec<u8> {
    let mut message = Builder::new_default();
    fill(&mut message);
    write_message_to_words(&message)
}

/// One message of each kind, in the order of `malformed::read_all`.
pub(crate) fn all() -> Vec<Vec<u8>> {
    vec![
        bytes(|message| write_hello(&hello(), message.init_root())),
        bytes(|message| write_call(&call().view(), message.init_root())),
        bytes(|message| write_answer(&answer(), message.init_root())),
        bytes(|message| write_update(&update(), message.init_root())),
        bytes(|message| write_claim(&claim(), message.init_root())),
        bytes(|message| write_verdict(&ClaimVerdict::Recorded(recorded()), message.init_root())),
        bytes(|message| write_outcome(&outcome(), message.init_root())),
    ]
}
