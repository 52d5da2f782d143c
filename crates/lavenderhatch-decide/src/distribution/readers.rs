//! Who reads the accepted configuration from the platform.

use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Zone};

use crate::membership::{jittered, reader_order};

/// Readers of each zone.
pub const READERS_PER_ZONE: usize = 2;
/// Wait after the first failed call, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest wait after failed calls, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// How a daemon reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// It watches the root object for its zone.
    Watch,
    /// It has lost all its peers and reads the root object now and then.
    Isolated,
    /// Others read.
    Idle,
}

/// The live members of a zone that watch the platform: those with the smallest rendezvous hashes.
pub fn zone_readers<'m>(members: &'m Members, zone: &Zone) -> Vec<&'m NodeId> {
    let of_zone = members.live().filter(|record| record.zone == *zone);
    let mut readers: Vec<(u64, &NodeId)> = Vec::with_capacity(READERS_PER_ZONE + 1);
    for record in of_zone {
        readers.push((reader_order(&record.id), &record.id));
        readers.sort_unstable();
        readers.truncate(READERS_PER_ZONE);
    }
    readers.into_iter().map(|(_, id)| id).collect()
}

/// How the daemon of `own` reads the platform.
///
/// There is no lease: two daemons that see different members may both watch, which costs a read
/// and nothing else. A daemon that knows nobody else is alone and watches.
pub fn reader_role(members: &Members, own: &MemberRecord) -> ReaderRole {
    let is_other = |record: &&Arc<MemberRecord>| {
        let has_gone = matches!(record.state, MemberState::Left | MemberState::Failed);
        record.id != own.id && !has_gone
    };
    if members.reported_versions.is_empty()
        && members.by_id.values().any(|record| is_other(&record))
    {
        return ReaderRole::Isolated;
    }
    match zone_readers(members, &own.zone).contains(&&own.id) {
        true => ReaderRole::Watch,
        false => ReaderRole::Idle,
    }
}

/// Wait after `failures` failed calls in a row.
pub fn reader_backoff(failures: u32, random: u64) -> Duration {
    let wait = MIN_BACKOFF.saturating_mul(1 << failures.clamp(1, 16).saturating_sub(1));
    jittered(wait.min(MAX_BACKOFF), random)
}
