//! Measures how long a daemon takes to determine the owners of all claim ranges.

use std::sync::Arc;
use std::time::Instant;

use eyre::{Result, bail};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{
    Incarnation, MemberRecord, MemberState, NodeId, Region, ServiceName, Zone,
};
use lavenderhatch_decide::orders::RangeOwners;
use serde::Serialize;

const ROUNDS: u32 = 100;

/// Mean times for all ranges, in milliseconds.
#[derive(Debug, Serialize)]
pub(crate) struct OwnersRow {
    pub(crate) members: u64,
    /// Time to rank the members for all ranges, needed after a membership change.
    pub(crate) rank_ms: f64,
    /// Time to find that the same members are live.
    pub(crate) unchanged_ms: f64,
}

/// Ranks `members` members for all ranges, and checks the ranking without a change.
pub(crate) fn measure(members: u64) -> Result<OwnersRow> {
    let mut known = Members::default();
    for n in 0..members {
        let record = record(n)?;
        Arc::make_mut(&mut known.by_id).insert(record.id.clone(), Arc::new(record));
    }
    let mut owners = RangeOwners::default();
    let rank_ms = mean_ms(|| owners = RangeOwners::from_members(&known));
    let mut is_same = true;
    let unchanged_ms = mean_ms(|| is_same &= owners.is_current_for(&known));
    if !is_same {
        bail!("a ranking was reported stale although its members had not changed");
    }
    Ok(OwnersRow {
        members,
        rank_ms,
        unchanged_ms,
    })
}

fn mean_ms(mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(|_| run());
    start.elapsed().as_secs_f64() * 1000.0 / f64::from(ROUNDS)
}

fn record(n: u64) -> Result<MemberRecord> {
    Ok(MemberRecord {
        id: NodeId::new(&format!("orders-eu-west-1-{n:05}"))?,
        incarnation: Incarnation(1),
        seq: 1,
        zone: Zone::new("zone-a")?,
        region: Region::new("region-1")?,
        service: ServiceName::new("orders")?,
        peer_addr: ([127, 0, 0, 1], 1).into(),
        admin_addr: ([127, 0, 0, 1], 2).into(),
        slots: 12,
        state: MemberState::Serving,
    })
}
