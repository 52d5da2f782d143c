//! The shares that are delegated to a coordinator, and the tokens that it grants.

use std::collections::{BTreeSet, HashMap};

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::routing::AccountLimit;

use super::account_bucket::AccountBucket;
use super::account_id::{AccountId, GROUPS, GroupSet};
use super::message::{AccountAsk, AccountGrant, Lease, QuotaRequest, QuotaResponse};
use super::recent_max::RecentMax;
use super::{LEASE, TOKEN_LIFETIME};

/// Unit of a share: all shares together are this number.
const WHOLE: u64 = 1_000_000_000;

/// A lease that a daemon has given.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    incarnation: u32,
    sequence: u64,
    until: Timestamp,
    groups: GroupSet,
    /// Share in parts of [`WHOLE`].
    share: u64,
}

/// The state of a coordinator. All times are on its own clock, which must count suspensions.
#[derive(Clone, Debug)]
pub struct CoordinatorLedger {
    /// Tells this process from earlier ones. Leases for another process are void.
    epoch: u32,
    /// By identity of the daemon. A lease without groups stays until its end, so that an earlier
    /// message that arrives late is recognized.
    leases: HashMap<u64, HeldLease>,
    /// Ends of the leases, with the identity of the daemon.
    ends: BTreeSet<(Timestamp, u64)>,
    /// Sum of the delegated shares of each group, in parts of [`WHOLE`].
    shares: [u64; GROUPS],
    /// Buckets of the accounts of each group.
    buckets: Vec<HashMap<AccountId, AccountBucket>>,
    heard_daemons: RecentMax,
    is_leaving: bool,
}

impl CoordinatorLedger {
    /// Creates the ledger of a process. `epoch` must differ from that of earlier processes.
    pub fn new(epoch: u32) -> Self {
        Self {
            epoch,
            leases: HashMap::new(),
            ends: BTreeSet::new(),
            shares: [0; GROUPS],
            buckets: vec![HashMap::new(); GROUPS],
            heard_daemons: RecentMax::default(),
            is_leaving: false,
        }
    }

    /// Sets the accounts with a limit. Buckets of new accounts start empty.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (AccountId, AccountLimit)>,
        now: Timestamp,
    ) {
        self.end_leases(now);
        let mut before = std::mem::replace(&mut self.buckets, vec![HashMap::new(); GROUPS]);
        for (account, limit) in limits {
            let group = account.group();
            let bucket = match before[group].remove(&account) {
                Some(mut bucket) => {
                    bucket.set_limit(limit, self.share(group), now);
                    bucket
                }
                None => AccountBucket::new(limit, now),
            };
            self.buckets[group].insert(account, bucket);
        }
    }

    /// Gives up all leases and takes no more, because the process is about to end.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.leases.clear();
        self.ends.clear();
        self.shares = [0; GROUPS];
        self.buckets.iter_mut().for_each(HashMap::clear);
    }

    /// Handles a message. `own_daemons` is the number of daemons that the coordinator knows of.
    pub fn handle(
        &mut self,
        request: &QuotaRequest,
        own_daemons: u32,
        now: Timestamp,
    ) -> QuotaResponse {
        self.end_leases(now);
        self.heard_daemons.report(request.daemons, now);
        let lease = request
            .lease
            .filter(|lease| self.is_valid(request, lease, now));
        if let Some(lease) = lease {
            self.apply_lease(request, &lease, now);
        }
        // A late answer would bring tokens that are no longer valid.
        let is_in_time = lease.is_some_and(|lease| now < lease.sent_at + TOKEN_LIFETIME);
        let grants = match is_in_time {
            true => request
                .asks
                .iter()
                .map(|ask| self.grant(ask, now))
                .collect(),
            false => Vec::new(),
        };
        QuotaResponse {
            epoch: self.epoch,
            now,
            daemons: self.heard_daemons.get(now).max(own_daemons),
            is_leaving: self.is_leaving,
            grants,
        }
    }

    /// Returns the delegated share of a group.
    fn share(&self, group: usize) -> f64 {
        self.shares[group].min(WHOLE) as f64 / WHOLE as f64
    }

    /// Whether a lease is for this process, has not ended, and is not older than another one.
    fn is_valid(&self, request: &QuotaRequest, lease: &Lease, now: Timestamp) -> bool {
        let is_superseded = self.leases.get(&request.from).is_some_and(|held| {
            held.incarnation == request.incarnation && held.sequence >= request.sequence
        });
        !self.is_leaving
            && lease.epoch == self.epoch
            && now < lease.sent_at + LEASE
            && !is_superseded
    }

    fn apply_lease(&mut self, request: &QuotaRequest, lease: &Lease, now: Timestamp) {
        let share = match lease.divisor {
            0 => 0,
            divisor => WHOLE / u64::from(divisor),
        };
        let held = HeldLease {
            incarnation: request.incarnation,
            sequence: request.sequence,
            until: lease.sent_at + LEASE,
            groups: lease.groups,
            share,
        };
        let before = self.leases.insert(request.from, held);
        self.ends.insert((held.until, request.from));
        if let Some(before) = before {
            if before.until != held.until {
                self.ends.remove(&(before.until, request.from));
            }
            if before.groups == held.groups && before.share == held.share {
                return;
            }
        }
        self.change_shares(before, Some(held), now);
    }

    fn end_leases(&mut self, now: Timestamp) {
        while let Some((until, from)) = self.ends.first().copied()
            && until <= now
        {
            self.ends.pop_first();
            let ended = self.leases.remove(&from);
            self.change_shares(ended, None, until);
        }
    }

    /// Replaces one lease by another one at `now`. Tokens are gained for the shares before.
    fn change_shares(&mut self, old: Option<HeldLease>, new: Option<HeldLease>, now: Timestamp) {
        let share_of = |lease: Option<HeldLease>, group: usize| {
            let lease = lease.filter(|lease| lease.groups & (1 << group) != 0);
            lease.map_or(0, |lease| lease.share)
        };
        for group in 0..GROUPS {
            let (removed, added) = (share_of(old, group), share_of(new, group));
            if removed == added {
                continue;
            }
            let before = self.share(group);
            self.shares[group] = self.shares[group] - removed + added;
            let after = self.share(group);
            for bucket in self.buckets[group].values_mut() {
                bucket.advance(before, now);
                bucket.clamp(after);
            }
        }
    }

    fn grant(&mut self, ask: &AccountAsk, now: Timestamp) -> AccountGrant {
        let group = ask.account.group();
        let share = self.share(group);
        let mut grant = AccountGrant {
            account: ask.account,
            count: 0,
            retry_after_ms: 0,
        };
        let Some(bucket) = self.buckets[group].get_mut(&ask.account) else {
            // The configuration of the daemon is ahead of the coordinator's.
            grant.retry_after_ms = LEASE.as_millis() as u32;
            return grant;
        };
        bucket.advance(share, now);
        for returned in &ask.returned {
            bucket.take_back(*returned, share);
        }
        grant.count = bucket.grant(ask.needed, ask.wanted, now);
        if grant.count < ask.needed {
            grant.retry_after_ms = bucket.time_to_ms(ask.needed - grant.count, share);
        }
        grant
    }
}
