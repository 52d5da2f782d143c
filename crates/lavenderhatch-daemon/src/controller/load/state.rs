//! State of the load controller: queue, concurrency limit and counters of each rank.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use lavenderhatch_core::load::{LoadSnapshot, RankCounters, RankLoad, SharedCounters};
use lavenderhatch_core::mesh::Limits;
use lavenderhatch_core::{ConfigSnapshot, Error, ErrorKind, ServiceName, Timestamp};
use lavenderhatch_decide::ranks::{
    AdaptiveLimit, AdmissionQueue, LatencySample, RankTable, Refused, Request,
};
use tracing::info;

use super::meter::Meter;
use crate::request::admission_gate::{
    AdmissionGate, AdmissionResult, DecidedCall, QueuedRequest, Waiter,
};

/// Least interval between two publications of the `load` section.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Last readings of the shared counters of a rank, and counts that the controller keeps itself.
#[derive(Debug)]
struct RankState {
    counters: Arc<RankCounters>,
    immediate_admissions: u64,
    finished: u64,
    failed: u64,
    latency_sum_us: u64,
    granted: u64,
    refused: u64,
}

impl RankState {
    fn new(counters: Arc<RankCounters>) -> Self {
        Self {
            immediate_admissions: counters.immediate_admissions(),
            finished: counters.finished(),
            failed: counters.failed(),
            latency_sum_us: counters.latency_sum_us(),
            counters,
            granted: 0,
            refused: 0,
        }
    }

    fn admitted(&self) -> u64 {
        self.counters.immediate_admissions() + self.granted
    }

    /// Returns the number of requests that were admitted without queueing since the last call.
    fn take_immediate_admissions(&mut self) -> u32 {
        let before = self.immediate_admissions;
        self.immediate_admissions = self.counters.immediate_admissions();
        (self.immediate_admissions - before) as u32
    }

    /// Returns the number and latency of requests that finished since the last call.
    fn take_sample(&mut self) -> LatencySample {
        // The request path writes `finished` last and it is read first here, so the other counters
        // include at least the requests that it counts.
        let finished = self.counters.finished();
        let failed = self.counters.failed();
        let latency_sum_us = self.counters.latency_sum_us();
        let sample = LatencySample {
            finished: finished - self.finished,
            failed: failed - self.failed,
            latency_sum_us: latency_sum_us - self.latency_sum_us,
        };
        self.finished = finished;
        self.failed = failed;
        self.latency_sum_us = latency_sum_us;
        sample
    }
}

/// Admission queue, concurrency limit and counters, which the load controller's thread owns.
pub(super) struct LoadState {
    service: ServiceName,
    gate: Arc<AdmissionGate>,
    decided: Sender<DecidedCall>,
    queue: AdmissionQueue<QueuedRequest>,
    adaptive_limit: AdaptiveLimit,
    slots: u32,
    max_queue: usize,
    /// Invariant: one entry for each rank of the queue, in the same order.
    ranks: Vec<RankState>,
    meter: Meter,
    last_snapshot_at: Timestamp,
}

impl LoadState {
    pub(super) fn new(
        service: ServiceName,
        gate: Arc<AdmissionGate>,
        decided: Sender<DecidedCall>,
    ) -> Self {
        let slots = u32::from(gate.state().limit);
        let table = RankTable::new(&BTreeMap::new());
        let max_queue = Limits::default().max_queue as usize;
        let unknown = RankState::new(Arc::clone(gate.unknown_rank_counters()));
        Self {
            service,
            decided,
            queue: AdmissionQueue::new(table, slots, max_queue),
            adaptive_limit: AdaptiveLimit::new(slots, 1, gate.now()),
            gate,
            slots,
            max_queue,
            ranks: vec![unknown],
            meter: Meter::default(),
            last_snapshot_at: Timestamp::default(),
        }
    }

    /// Applies the ranks, slots and queue length of a configuration.
    ///
    /// Queued requests keep waiting in the new queue; those that no longer fit are refused.
    pub(super) fn configure(&mut self, config: Option<&ConfigSnapshot>) {
        let Some(config) = config else { return };
        let table = RankTable::new(config.mesh.ranks());
        let service = config.mesh.services().get(&self.service);
        let slots = service.map_or(self.slots, |service| service.slots);
        let max_queue = config.mesh.limits().max_queue as usize;
        if table == *self.queue.table() && slots == self.slots && max_queue == self.max_queue {
            return;
        }
        info!("rank: {} ranks, {slots} slots", table.ranks().len() - 1);
        let now = self.gate.now();
        self.slots = slots;
        self.adaptive_limit = AdaptiveLimit::new(slots, table.ranks().len(), now);
        self.gate.set_limit(self.adaptive_limit.limit());
        self.max_queue = max_queue;
        self.ranks = self.rank_states(&table);
        let queue = AdmissionQueue::new(table, self.adaptive_limit.limit(), max_queue);
        let mut before = std::mem::replace(&mut self.queue, queue);
        for request in before.drain() {
            self.offer(request.item);
        }
        self.answer_refused(before.take_refused());
    }

    /// Offers a request to the queue, which may refuse it.
    pub(super) fn offer(&mut self, queued: QueuedRequest) {
        let rank = self.queue.table().position(queued.counters.name().as_str());
        let request = Request {
            rank,
            arrived: queued.arrived,
            deadline: queued.deadline,
            item: queued,
        };
        self.queue.offer(request, self.gate.now());
    }

    /// Grants free slots to queued requests and answers the refused ones.
    pub(super) fn dispatch(&mut self) {
        let now = self.gate.now();
        self.charge_immediate_admissions(now);
        while self.gate.has_free_slot() {
            let Some(granted) = self.queue.next(now) else {
                break;
            };
            let Some(permit) = self.gate.grant(&granted.item) else {
                break;
            };
            self.ranks[granted.rank].granted += 1;
            self.send_admission(granted.item, Ok(permit));
        }
        let refused = self.queue.take_refused();
        self.answer_refused(refused);
    }

    /// Updates the concurrency limit from the finished requests, and refuses queued requests that
    /// cannot meet their deadline any more.
    pub(super) fn tick(&mut self) {
        let now = self.gate.now();
        let samples: Vec<LatencySample> =
            self.ranks.iter_mut().map(RankState::take_sample).collect();
        for (rank, sample) in samples.iter().enumerate() {
            self.queue
                .record(rank, sample.finished, sample.latency_sum_us);
        }
        let in_flight = u32::from(self.gate.state().in_flight);
        self.adaptive_limit.observe(&samples, in_flight, now);
        self.queue.set_limit(self.adaptive_limit.limit());
        self.gate.set_limit(self.adaptive_limit.limit());
        self.queue.expire(now);
    }

    /// Returns whether the `load` section is due for publication.
    pub(super) fn is_snapshot_due(&self) -> bool {
        self.gate.now().since(self.last_snapshot_at) >= PUBLISH_INTERVAL
    }

    /// Returns the current content of the `load` section.
    pub(super) fn snapshot(&mut self) -> LoadSnapshot {
        let now = self.gate.now();
        self.last_snapshot_at = now;
        let admitted = self.ranks.iter().map(RankState::admitted).sum();
        let refused = self.ranks.iter().map(|rank| rank.refused).sum();
        self.meter.record(admitted, refused, now);
        let load = |(rank, queued): (&RankState, usize)| {
            let load = RankLoad {
                queued: queued as u32,
                admitted: rank.admitted(),
                refused: rank.refused,
            };
            (rank.counters.name().clone(), load)
        };
        let state = self.gate.state();
        LoadSnapshot {
            limit: u32::from(state.limit),
            in_flight: u32::from(state.in_flight),
            ranks: self
                .ranks
                .iter()
                .zip(self.queue.lengths())
                .map(load)
                .collect(),
            refused_per_s: self.meter.refused(),
            served_per_s: self.meter.admitted().max(self.queue.served_per_s()),
            counters: self.shared_counters(),
        }
    }

    fn shared_counters(&self) -> SharedCounters {
        let named = self.ranks.iter().map(|rank| {
            let counters = Arc::clone(&rank.counters);
            (counters.name().clone(), counters)
        });
        SharedCounters(named.collect())
    }

    /// Returns the states of the ranks of `table`. Ranks that exist already keep their counts.
    fn rank_states(&mut self, table: &RankTable) -> Vec<RankState> {
        let mut before: Vec<RankState> = self.ranks.drain(..).collect();
        let unknown = Arc::clone(self.gate.unknown_rank_counters());
        let mut state = |name: Option<&lavenderhatch_core::RankName>| {
            let name = name.unwrap_or(unknown.name());
            let at = before.iter().position(|rank| rank.counters.name() == name);
            match at {
                Some(at) => before.swap_remove(at),
                None => RankState::new(Arc::new(RankCounters::new(name.clone()))),
            }
        };
        let policies = table.ranks().iter();
        policies.map(|policy| state(policy.name.as_ref())).collect()
    }

    fn charge_immediate_admissions(&mut self, now: Timestamp) {
        for (at, rank) in self.ranks.iter_mut().enumerate() {
            let count = rank.take_immediate_admissions();
            if count > 0 {
                self.queue.charge_unqueued(at, count, now);
            }
        }
    }

    fn answer_refused(&mut self, refused: Vec<Refused<QueuedRequest>>) {
        for Refused { item, rank, kind } in refused {
            self.ranks[rank].refused += 1;
            self.gate.remove_waiting();
            self.send_admission(item, Err(Error::new(kind, refusal_message(kind))));
        }
    }

    /// Sends the admission result to the waiting request. If nobody receives it, the permit is
    /// dropped, which frees its slot.
    fn send_admission(&self, queued: QueuedRequest, admission: AdmissionResult) {
        match queued.waiter {
            Waiter::Thread(tx) => {
                let _ = tx.send(admission);
            }
            Waiter::Peer(call) => {
                let _ = self.decided.send(DecidedCall { call, admission });
            }
        }
    }
}

fn refusal_message(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::DeadlineUnmeetable => "the deadline cannot be met given the work ahead",
        _ => "too many requests of this rank wait",
    }
}
