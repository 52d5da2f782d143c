//! Which daemons count, and which of them coordinate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::account_id::{AccountId, GROUPS};
use crate::stable_hash::{stable_hash, stable_hash_u64};

/// Largest number of coordinators.
pub const MAX_COORDINATORS: usize = 4;

/// Time between the first sight of a daemon's record and the use of its share, and for which a
/// record that is gone still counts. Other daemons learn of a record within this time.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Salt for the identities of daemons.
const DAEMON_SALT: u64 = 0x64_61_65_6d;
/// Salt for the choice of coordinators.
const COORDINATOR_SALT: u64 = 0x63_6f_6f_72;
/// Salt for the order of coordinators of a group.
const GROUP_SALT: u64 = 0x67_72_6f_75;

/// Returns the identity of the daemon that listens for other daemons at `addr`.
pub fn daemon_id(addr: SocketAddr) -> u64 {
    stable_hash(DAEMON_SALT, &addr.to_string())
}

#[derive(Clone, Copy, Debug)]
struct Member {
    id: u64,
    /// `None` if the record was among the first that this daemon has read.
    first_seen: Option<Timestamp>,
    /// Time at which the record was found to be gone.
    gone_since: Option<Timestamp>,
}

impl Member {
    fn has_settled(&self, now: Timestamp) -> bool {
        self.first_seen
            .is_none_or(|seen| now.since(seen) >= SETTLE_TIME)
    }
}

/// The daemons with a record in the store.
///
/// A record counts towards the number of daemons from its first sight, which makes all shares
/// smaller, but its daemon uses its share only after it has settled. A record that is gone counts
/// for the same time. So daemons that learn of a change at different times never exceed a limit
/// together. The phase of the backend server does not matter: a daemon whose backend server has left
/// still receives requests of callers, and keeps its share as long as it has a record.
#[derive(Clone, Debug, Default)]
pub struct DaemonSet {
    members: HashMap<SocketAddr, Member>,
    is_loaded: bool,
    /// Time of the last change.
    changed_at: Timestamp,
}

/// What a daemon knows of all daemons at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Number of daemons that share each limit.
    pub daemons: u32,
    /// Whether this daemon may use its own share.
    pub is_entitled: bool,
    /// Coordinators, by group of accounts, in the order of preference.
    pub coordinators: Vec<Vec<SocketAddr>>,
    /// Identities of all daemons that count.
    pub ids: Vec<u64>,
    /// Identity of this daemon.
    pub own_id: u64,
}

impl DaemonSet {
    /// Records the daemons that have a record.
    pub fn observe(&mut self, daemons: &[SocketAddr], now: Timestamp) {
        if daemons.is_empty() && !self.is_loaded {
            return;
        }
        let first_seen = self.is_loaded.then_some(now);
        self.is_loaded = true;
        self.changed_at = now;
        for member in self.members.values_mut() {
            member.gone_since = member.gone_since.or(Some(now));
        }
        for addr in daemons {
            let member = self.members.entry(*addr).or_insert_with(|| Member {
                id: daemon_id(*addr),
                first_seen,
                gone_since: None,
            });
            member.gone_since = None;
        }
    }

    /// Whether the view may differ from an earlier one, because a record has appeared or gone in the
    /// last seconds.
    pub fn is_settling(&self, now: Timestamp) -> bool {
        now.since(self.changed_at) <= SETTLE_TIME * 2
    }

    /// Returns the view of the daemon that listens at `own`.
    pub fn view(&mut self, own: SocketAddr, now: Timestamp) -> FleetView {
        let is_gone = |since: Timestamp| now.since(since) >= SETTLE_TIME;
        self.members
            .retain(|_, member| !member.gone_since.is_some_and(is_gone));
        let mut ids: Vec<u64> = self.members.values().map(|member| member.id).collect();
        ids.sort_unstable();
        let present = self.members.iter();
        let settled = present
            .filter(|(_, member)| member.gone_since.is_none() && member.has_settled(now))
            .map(|(addr, member)| (*addr, member.id));
        let mut ranked: Vec<(u64, SocketAddr, u64)> = settled
            .map(|(addr, id)| (stable_hash_u64(COORDINATOR_SALT, id), addr, id))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_COORDINATORS);
        let order = |group: usize| {
            let mut order: Vec<(u64, SocketAddr)> = ranked
                .iter()
                .map(|(_, addr, id)| (stable_hash_u64(GROUP_SALT + group as u64, *id), *addr))
                .collect();
            order.sort_unstable();
            order.into_iter().map(|(_, addr)| addr).collect()
        };
        let own_member = self.members.get(&own);
        FleetView {
            daemons: ids.len() as u32,
            is_entitled: own_member.is_some_and(|member| member.has_settled(now)),
            coordinators: (0..GROUPS).map(order).collect(),
            ids,
            own_id: daemon_id(own),
        }
    }
}

impl FleetView {
    /// Returns how many tokens this daemon may hold of its own share, if all daemons together may
    /// hold `total`. The sum over all daemons is at most `total`.
    pub(super) fn whole_share(&self, account: AccountId, total: f64) -> f64 {
        let own = (stable_hash_u64(account.0, self.own_id), self.own_id);
        let hashes = self.ids.iter();
        let rank = hashes.filter(|id| (stable_hash_u64(account.0, **id), **id) < own);
        let (rank, daemons) = (rank.count() as f64, self.ids.len().max(1) as f64);
        (total * (rank + 1.0) / daemons).floor() - (total * rank / daemons).floor()
    }
}
