//! Member records for the tests of orders.

use std::sync::Arc;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Incarnation, MemberRecord, MemberState, NodeId};

pub(super) fn node_id(text: &str) -> NodeId {
    NodeId::new(text).unwrap()
}

/// Adds or replaces a member.
pub(super) fn put_member(members: &mut Members, id: &str, incarnation: u64, state: MemberState) {
    let text = format!(
        r#"{{"id": "{id}", "incarnation": {incarnation}, "seq": 1, "zone": "a", "region": "r",
        "service": "orders", "peer_addr": "127.0.0.1:1", "admin_addr": "127.0.0.1:2",
        "slots": 1, "state": "failed"}}"#
    );
    let record: MemberRecord = serde_json::from_str(&text).unwrap();
    assert_eq!(record.incarnation, Incarnation(incarnation));
    let record = MemberRecord { state, ..record };
    Arc::make_mut(&mut members.by_id).insert(node_id(id), Arc::new(record));
}
