//! Member records for tests.

use std::sync::Arc;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{
    Incarnation, MemberRecord, MemberState, NodeId, Region, ServiceName, Timestamp, Zone,
};

/// The time `seconds` after the start of the test.
pub(crate) fn at(seconds: u64) -> Timestamp {
    Timestamp(1_000_000 + seconds * 1000)
}

/// The record of a member of service `orders` whose daemon started at `started`.
pub(crate) fn record(id: &str, state: MemberState, started: Timestamp) -> MemberRecord {
    let addr = "127.0.0.1:1".parse().unwrap();
    MemberRecord {
        id: NodeId::new(id).unwrap(),
        incarnation: Incarnation(started.as_millis()),
        seq: 1,
        zone: Zone::new("zone-a").unwrap(),
        region: Region::new("region-1").unwrap(),
        service: ServiceName::new("orders").unwrap(),
        peer_addr: addr,
        admin_addr: addr,
        slots: 12,
        state,
    }
}

/// The membership that consists of these records.
pub(crate) fn members(records: impl IntoIterator<Item = MemberRecord>) -> Members {
    let by_id = records.into_iter().map(|r| (r.id.clone(), Arc::new(r)));
    Members {
        by_id: Arc::new(by_id.collect()),
        is_joined: true,
        ..Members::default()
    }
}
