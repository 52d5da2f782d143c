//! Admission queue of a backend server.

use std::time::Duration;

use lavenderhatch_core::{ErrorKind, Timestamp};

use super::policy::{RankPolicy, RankTable};
use super::rank_queue::{Entry, RankQueue};
use super::service_time::ServiceTimes;
use super::share_window::ShareWindow;

/// Minimum rate at which a rank is expected to be served, in requests per millisecond.
const MIN_RATE_PER_MS: f64 = 0.001;

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Request<T> {
    /// Value that identifies the waiting request to the caller, such as the channel of a thread.
    pub item: T,
    /// Position of its rank in the [`RankTable`].
    pub rank: usize,
    /// Time at which the request arrived at this backend server.
    pub arrived: Timestamp,
    /// Time after which an answer is useless.
    pub deadline: Timestamp,
}

/// A request that gets a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted<T> {
    /// Value that was queued with the request.
    pub item: T,
    /// Position of its rank.
    pub rank: usize,
}

/// A request that gets no slot and did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// Value that was queued with the request.
    pub item: T,
    /// Position of its rank.
    pub rank: usize,
    /// Reason: `Overloaded` or `DeadlineUnmeetable`.
    pub kind: ErrorKind,
}

/// Queue of requests that wait for a slot, with one queue per rank.
///
/// Ranks below their guaranteed share go first, the most urgent of them before the others. The
/// remaining slots go to the request with the highest worth per slack. The order within a rank is
/// described in `rank_queue.rs`.
///
/// The order of late requests follows adaptive LIFO and controlled delay: Maurer, "Fail at Scale",
/// ACM Queue 13(8), 2015.
#[derive(Clone, Debug)]
pub struct AdmissionQueue<T> {
    table: RankTable,
    queues: Vec<RankQueue<T>>,
    window: ShareWindow,
    service: ServiceTimes,
    limit: u32,
    max_queue: usize,
    refused: Vec<Refused<T>>,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue for `limit` slots and at most `max_queue` waiting requests per rank.
    pub fn new(table: RankTable, limit: u32, max_queue: usize) -> Self {
        let ranks = table.ranks().len();
        Self {
            table,
            queues: (0..ranks).map(|_| RankQueue::new()).collect(),
            window: ShareWindow::new(ranks),
            service: ServiceTimes::new(ranks),
            limit,
            max_queue,
            refused: Vec::new(),
        }
    }

    /// Returns the ranks.
    pub fn table(&self) -> &RankTable {
        &self.table
    }

    /// Returns the number of waiting requests by rank.
    pub fn lengths(&self) -> impl Iterator<Item = usize> {
        self.queues.iter().map(RankQueue::len)
    }

    /// Changes the number of slots that the ranks share.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Charges a rank for requests that got a free slot without queueing.
    pub fn charge_unqueued(&mut self, rank: usize, count: u32, now: Timestamp) {
        self.window.advance(now);
        self.window
            .charge(rank, count, self.service.of(rank) as u64);
    }

    /// Records the sum of `count` service times of a rank. A count of zero counts as a sample too.
    pub fn record(&mut self, rank: usize, count: u64, sum_us: u64) {
        self.service.record(rank, count, sum_us);
    }

    /// Returns the number of requests that can be served per second, or zero while no service time
    /// is known.
    pub fn served_per_s(&self) -> u32 {
        let service_us = self.service.overall();
        match service_us > 0.0 {
            true => (f64::from(self.limit) * 1e6 / service_us) as u32,
            false => 0,
        }
    }

    /// Queues a request, or refuses it immediately if it cannot be served in time.
    pub fn offer(&mut self, req: Request<T>, now: Timestamp) {
        self.window.advance(now);
        if let Some(kind) = self.refusal_reason(&req, now) {
            return self.refused.push(Refused {
                item: req.item,
                rank: req.rank,
                kind,
            });
        }
        self.queues[req.rank].push(Entry {
            item: req.item,
            arrived: req.arrived,
            deadline: req.deadline,
        });
    }

    /// Removes and returns the request that gets the next free slot.
    pub fn next(&mut self, now: Timestamp) -> Option<Granted<T>> {
        self.window.advance(now);
        loop {
            let rank = self
                .most_urgent_below_share()
                .or_else(|| self.highest_score(now))?;
            let completes_at = self.completion_time(rank, now);
            let entry = self.queues[rank].pop(&self.table.ranks()[rank], completes_at)?;
            if entry.deadline < completes_at {
                self.refuse(rank, ErrorKind::DeadlineUnmeetable, [entry.item]);
                continue;
            }
            let slot_us = self.service.of(rank).max(1.0) as u64;
            self.window.charge(rank, 1, slot_us);
            return Some(Granted {
                item: entry.item,
                rank,
            });
        }
    }

    /// Refuses waiting requests that cannot meet their deadline, and late ones in a standing queue.
    ///
    /// Must be called every few milliseconds.
    pub fn expire(&mut self, now: Timestamp) {
        for rank in 0..self.queues.len() {
            let completes_at = self.completion_time(rank, now);
            let unmeetable = self.queues[rank].remove_unmeetable(completes_at);
            self.refuse(rank, ErrorKind::DeadlineUnmeetable, unmeetable);
            let policy = &self.table.ranks()[rank];
            let standing = self.queues[rank].remove_standing(policy, completes_at, now);
            self.refuse(rank, ErrorKind::Overloaded, standing);
        }
    }

    /// Returns the requests refused since the last call.
    pub fn take_refused(&mut self) -> Vec<Refused<T>> {
        std::mem::take(&mut self.refused)
    }

    /// Removes all requests, so that they can be queued again under other ranks.
    pub fn drain(&mut self) -> Vec<Request<T>> {
        let mut drained = Vec::new();
        for (rank, queue) in self.queues.iter_mut().enumerate() {
            drained.extend(queue.drain().map(|entry| Request {
                item: entry.item,
                rank,
                arrived: entry.arrived,
                deadline: entry.deadline,
            }));
        }
        drained
    }

    fn policy(&self, rank: usize) -> &RankPolicy {
        &self.table.ranks()[rank]
    }

    /// Returns the time at which a request is answered if it gets a slot now.
    fn completion_time(&self, rank: usize, now: Timestamp) -> Timestamp {
        now + Duration::from_micros(self.service.of(rank) as u64)
    }

    /// Returns why a request cannot be queued, or `None` if it can.
    fn refusal_reason(&self, req: &Request<T>, now: Timestamp) -> Option<ErrorKind> {
        let queue = &self.queues[req.rank];
        let wait = self.expected_wait(req.rank);
        let target = Duration::from_millis(self.policy(req.rank).target_ms);
        if self.completion_time(req.rank, now) + wait > req.deadline {
            return Some(ErrorKind::DeadlineUnmeetable);
        }
        let is_overload = queue.is_standing() && wait > target / 2;
        match queue.len() >= self.max_queue || is_overload {
            true => Some(ErrorKind::Overloaded),
            false => None,
        }
    }

    /// Returns the expected time until the queue of a rank is served.
    ///
    /// The rank is served at its guaranteed rate, or at the rate that the other ranks left it in
    /// the last second if that is higher. Returns zero while no service time is known.
    fn expected_wait(&self, rank: usize) -> Duration {
        let ahead = self.queues[rank].len() as f64;
        let service_ms = self.service.of(rank) / 1000.0;
        if ahead == 0.0 || service_ms == 0.0 {
            return Duration::ZERO;
        }
        let limit = f64::from(self.limit);
        let left = 1.0 - self.window.used_by_others(rank) / limit;
        let slots = limit * left.max(self.policy(rank).share);
        // A rank without a share still gets slots that other ranks leave free for short times.
        let rate = (slots / service_ms).max(MIN_RATE_PER_MS);
        Duration::from_micros((ahead / rate * 1000.0) as u64)
    }

    /// Returns the most urgent rank that has waiting requests and is below its share.
    fn most_urgent_below_share(&self) -> Option<usize> {
        let is_first = |rank: &usize| {
            let share = self.policy(*rank).share;
            self.queues[*rank].len() > 0 && self.window.is_below_share(*rank, share, self.limit)
        };
        (0..self.queues.len()).find(is_first)
    }

    /// Returns the rank whose next request has the highest worth per slack.
    fn highest_score(&self, now: Timestamp) -> Option<usize> {
        let score = |rank: usize| {
            let completes_at = self.completion_time(rank, now);
            let score = self.queues[rank].score(self.policy(rank), completes_at)?;
            Some((rank, score))
        };
        let scored = (0..self.queues.len()).filter_map(score);
        // On a tie, the more urgent rank wins, which comes first.
        let best = scored.reduce(|best, next| if next.1 > best.1 { next } else { best });
        best.map(|(rank, _)| rank)
    }

    fn refuse(&mut self, rank: usize, kind: ErrorKind, items: impl IntoIterator<Item = T>) {
        let refused = items.into_iter().map(|item| Refused { item, rank, kind });
        self.refused.extend(refused);
    }
}
