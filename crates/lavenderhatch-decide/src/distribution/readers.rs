//! Selects the daemons that read the accepted configuration from the platform.

use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Zone};

use crate::membership::{jittered, reader_hash};

/// Number of readers in each zone.
pub const READERS_PER_ZONE: usize = 2;
/// Backoff after the first failed call, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff after failed calls, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// How a daemon reads the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// The daemon watches the root object on behalf of its zone.
    Watch,
    /// The daemon has lost all its peers and reads the root object at long intervals.
    Isolated,
    /// The daemon does not read the platform, because others in its zone do.
    Idle,
}

/// The live members of a zone that watch the platform, which are those with the smallest rendezvous
/// hashes.
pub fn zone_readers<'m>(members: &'m Members, zone: &Zone) -> Vec<&'m NodeId> {
    let of_zone = members.live().filter(|record| record.zone == *zone);
    let mut readers: Vec<(u64, &NodeId)> = Vec::with_capacity(READERS_PER_ZONE + 1);
    for record in of_zone {
        readers.push((reader_hash(&record.id), &record.id));
        readers.sort_unstable();
        readers.truncate(READERS_PER_ZONE);
    }
    readers.into_iter().map(|(_, id)| id).collect()
}

/// How the daemon of `own` reads the platform.
///
/// There is no lease. Daemons with different views of the membership may both watch, which only
/// costs an additional read. A daemon that knows no other member watches.
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

/// Backoff with jitter after `failures` failed calls in a row.
pub fn reader_backoff(failures: u32, random: u64) -> Duration {
    let wait = MIN_BACKOFF.saturating_mul(1 << failures.clamp(1, 16).saturating_sub(1));
    jittered(wait.min(MAX_BACKOFF), random)
}
