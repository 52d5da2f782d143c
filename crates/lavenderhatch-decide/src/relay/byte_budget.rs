//! The bytes that a daemon holds for requests and answers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::byte_budget_limits::{ByteBudgetLimits, SMALL_BYTES};
use super::byte_holder::{ByteUse, Holder, HolderId};

/// Time for which a reservation waits before room is taken from the holder that has the most, even
/// if all holders make progress or wait themselves.
const PREEMPTION_TIME: Duration = Duration::from_secs(4);

/// The result of asking for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// The holder waits until [`Changes::granted`] or [`Changes::evicted`] names it.
    Waits,
    /// The bytes never fit, or too many holders wait.
    Refused,
}

/// Holders whose state has changed by an event other than their own request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Waiting holders whose bytes are now reserved.
    pub granted: Vec<HolderId>,
    /// Holders that must give up their request and release their bytes.
    pub evicted: Vec<HolderId>,
}

/// The budget of the bytes that a daemon holds for requests and answers.
///
/// Bodies whose size is known reserve all of it before they are read, so that bodies that have
/// started can end. Others reserve more as they arrive. While a reservation waits, its bytes stay
/// unread on the connection. Each use has a part that the other uses cannot take, because a request
/// that waits for another daemon must not keep that daemon's requests from ending here.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limits: ByteBudgetLimits,
    /// Reserved bytes by use, in the order of [`ByteUse`]. Invariant: their sum is the sum over
    /// `holders`, and at most the capacity.
    reserved: [usize; 3],
    holders: BTreeMap<HolderId, Holder>,
    /// Holders that wait, oldest first.
    queue: VecDeque<HolderId>,
    next_id: u64,
}

impl ByteBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(limits: ByteBudgetLimits) -> Self {
        Self {
            limits,
            reserved: [0; 3],
            holders: BTreeMap::new(),
            queue: VecDeque::new(),
            next_id: 0,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ByteBudgetLimits {
        &self.limits
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.reserved.iter().sum()
    }

    /// Returns the number of holders that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, byte_use: ByteUse, now: Timestamp) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.holders.insert(id, Holder::new(byte_use, now));
        id
    }

    /// Reserves further bytes for a holder.
    pub fn reserve(&mut self, id: HolderId, bytes: usize, now: Timestamp) -> Reservation {
        let Some(holder) = self.holders.get(&id) else {
            return Reservation::Refused;
        };
        let total = holder.reserved + bytes;
        let is_possible = total <= self.limits.max_of(holder.byte_use, total <= SMALL_BYTES);
        if holder.is_evicted || !is_possible {
            return Reservation::Refused;
        }
        let is_next = total <= SMALL_BYTES || !self.has_large_waiter(holder.byte_use);
        if is_next && self.fits(holder, bytes) {
            self.grant(id, bytes, now);
            return Reservation::Granted;
        }
        if self.queue.len() >= self.limits.max_waiting {
            return Reservation::Refused;
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waiting = Some((bytes, now));
        }
        self.queue.push_back(id);
        Reservation::Waits
    }

    /// Returns a part of a holder's bytes.
    pub fn shrink(&mut self, id: HolderId, bytes: usize, now: Timestamp) -> Changes {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.reserved);
            holder.reserved -= bytes;
            self.reserved[holder.byte_use as usize] -= bytes;
        }
        self.grant_waiting(now)
    }

    /// Records that bytes of a holder have arrived.
    pub fn record_progress(&mut self, id: HolderId, bytes: usize, now: Timestamp) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.received += bytes;
            holder.last_progress = now;
        }
    }

    /// Records that all bytes of a holder have arrived.
    pub fn complete(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_complete = true;
        }
    }

    /// Removes a holder and its bytes.
    pub fn release(&mut self, id: HolderId, now: Timestamp) -> Changes {
        if let Some(holder) = self.holders.remove(&id) {
            self.reserved[holder.byte_use as usize] -= holder.reserved;
            if holder.waiting.is_some() {
                self.queue.retain(|waiting| *waiting != id);
            }
        }
        self.grant_waiting(now)
    }

    /// Grants waiting reservations that fit, and takes room back from senders that are too slow
    /// while others wait.
    pub fn tick(&mut self, now: Timestamp) -> Changes {
        let mut changes = self.grant_waiting(now);
        let Some(longest_wait) = self.longest_wait(now) else {
            return changes;
        };
        let stalled = self.holders.iter_mut();
        let stalled = stalled.filter(|(_, holder)| !holder.is_evicted && holder.is_stalled(now));
        for (id, holder) in stalled {
            holder.is_evicted = true;
            changes.evicted.push(*id);
        }
        if changes.evicted.is_empty() && longest_wait >= PREEMPTION_TIME {
            changes.evicted.extend(self.preempt(now));
        }
        changes
    }

    /// Evicts the incomplete holder that has held the most bytes for longest. A complete request
    /// frees its bytes when it ends, within its deadline.
    fn preempt(&mut self, now: Timestamp) -> Option<HolderId> {
        let held = self.holders.iter_mut();
        let candidates = held.filter(|(_, holder)| {
            !holder.is_evicted && !holder.is_complete && holder.reserved > SMALL_BYTES
        });
        let (id, holder) =
            candidates.max_by(|(_, a), (_, b)| a.weight(now).total_cmp(&b.weight(now)))?;
        holder.is_evicted = true;
        Some(*id)
    }

    fn longest_wait(&self, now: Timestamp) -> Option<Duration> {
        let oldest = self.holders.get(self.queue.front()?)?;
        Some(now.since(oldest.waiting?.1))
    }

    fn has_large_waiter(&self, byte_use: ByteUse) -> bool {
        let waiting = self.queue.iter().filter_map(|id| self.holders.get(id));
        let mut of_use = waiting.filter(|holder| holder.byte_use == byte_use);
        of_use.any(|holder| !holder.is_small())
    }

    fn fits(&self, holder: &Holder, bytes: usize) -> bool {
        let is_small = holder.reserved + bytes <= SMALL_BYTES;
        let of_use = self.reserved[holder.byte_use as usize] + bytes;
        let total = self.reserved() + bytes;
        let bodies = total - self.reserved[ByteUse::Answer as usize];
        let is_body = holder.byte_use != ByteUse::Answer;
        of_use <= self.limits.max_of(holder.byte_use, is_small)
            && total <= self.limits.max_total(is_small)
            && (!is_body || bodies <= self.limits.max_bodies())
    }

    fn grant(&mut self, id: HolderId, bytes: usize, now: Timestamp) {
        if let Some(holder) = self.holders.get_mut(&id) {
            if holder.reserved == 0 {
                holder.since = now;
            }
            holder.reserved += bytes;
            holder.waiting = None;
            holder.last_progress = now;
            self.reserved[holder.byte_use as usize] += bytes;
        }
    }

    /// Grants the waiting reservations that fit. Within one use, large ones keep their order.
    fn grant_waiting(&mut self, now: Timestamp) -> Changes {
        let mut changes = Changes::default();
        let mut is_blocked = [false; 3];
        for id in std::mem::take(&mut self.queue) {
            let Some(holder) = self.holders.get(&id) else {
                continue;
            };
            let Some((bytes, _)) = holder.waiting else {
                continue;
            };
            let byte_use = holder.byte_use as usize;
            let is_behind = is_blocked[byte_use] && !holder.is_small();
            if !is_behind && self.fits(holder, bytes) {
                self.grant(id, bytes, now);
                changes.granted.push(id);
                continue;
            }
            is_blocked[byte_use] |= !holder.is_small();
            self.queue.push_back(id);
        }
        changes
    }
}
