//! A simulated backend server with the admission queue of its daemon.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{ConcurrencyLimit, Demand, Refusal, SlotQueue, Ticket};

use crate::pattern::Service;
use crate::policy::{Policy, QueueDiscipline};

/// Slots of each backend server.
pub(crate) const SLOTS: u32 = 12;

/// Decision on a request that arrives at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The request holds a slot.
    Started,
    /// The request waits, with a ticket if the queue is by rank.
    Queued(Option<Ticket>),
    Refused(Refusal),
}

/// A backend server with the admission queue of its daemon.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) service: Service,
    pub(crate) zone: usize,
    /// Divisor of the service times.
    pub(crate) speed: f64,
    queue_discipline: QueueDiscipline,
    /// Queue of [`QueueDiscipline::ByRank`].
    queue: SlotQueue<usize>,
    /// Queue of the other disciplines.
    fifo: VecDeque<(usize, Demand)>,
    in_use: u32,
    /// The learnt limit, if the policy has one.
    limit: Option<ConcurrencyLimit>,
}

impl Server {
    pub(crate) fn new(service: Service, zone: usize, speed: f64, policy: &Policy) -> Self {
        Self {
            service,
            zone,
            speed,
            queue_discipline: policy.queue_discipline,
            queue: SlotQueue::default(),
            fifo: VecDeque::new(),
            in_use: 0,
            limit: policy.learns_limit.then(|| ConcurrencyLimit::new(SLOTS)),
        }
    }

    /// Returns the number of requests that run or wait, and of slots that are withheld from them.
    pub(crate) fn load(&self) -> u32 {
        let advertised = self
            .limit
            .as_ref()
            .map_or(SLOTS, ConcurrencyLimit::advertised);
        self.in_use + (self.queue.len() + self.fifo.len()) as u32 + SLOTS - advertised
    }

    /// Returns the number of requests that run.
    pub(crate) fn in_use(&self) -> u32 {
        self.in_use
    }

    fn usable_slots(&self) -> u32 {
        self.limit.as_ref().map_or(SLOTS, ConcurrencyLimit::limit)
    }

    /// Starts, queues or refuses a request.
    pub(crate) fn offer(
        &mut self,
        request: usize,
        demand: Demand,
        may_wait: bool,
        now: Timestamp,
    ) -> Admission {
        if let Some(limit) = &mut self.limit {
            limit.end_probe(now);
        }
        let slots = self.usable_slots();
        let is_by_rank = self.queue_discipline == QueueDiscipline::ByRank;
        let reserved = match is_by_rank && demand.priority > 0 {
            true => self.queue.reserved(&demand, slots, now),
            false => 0,
        };
        let is_queue_empty = self.queue.is_empty() && self.fifo.is_empty();
        if self.in_use + reserved < slots && is_queue_empty {
            self.in_use += 1;
            return Admission::Started;
        }
        let refused = Admission::Refused(self.refusal(now));
        if !may_wait {
            return refused;
        }
        match self.queue_discipline {
            QueueDiscipline::BoundedFifo(max_len) if self.fifo.len() >= max_len => refused,
            QueueDiscipline::Fifo | QueueDiscipline::BoundedFifo(_) => {
                self.fifo.push_back((request, demand));
                Admission::Queued(None)
            }
            QueueDiscipline::ByRank => match self.queue.offer(request, demand, slots, now) {
                Ok(ticket) => Admission::Queued(Some(ticket)),
                Err(refusal) => Admission::Refused(refusal),
            },
        }
    }

    /// Returns the time until which a request waits in the queue.
    pub(crate) fn latest_start(&self, demand: &Demand) -> Timestamp {
        match self.queue_discipline {
            QueueDiscipline::ByRank => demand.latest_start(self.queue.service_time(demand.class)),
            _ => demand.deadline,
        }
    }

    /// Takes the next request from the queue and gives it a slot, if one is free for it.
    pub(crate) fn start_next(&mut self, now: Timestamp) -> Option<usize> {
        let slots = self.usable_slots();
        if self.in_use >= slots {
            return None;
        }
        let next = match self.queue_discipline {
            QueueDiscipline::ByRank => {
                let at = self.queue.next(slots - self.in_use, slots, now)?;
                self.queue.take(at)
            }
            _ => self.fifo.pop_front()?.0,
        };
        self.in_use += 1;
        Some(next)
    }

    /// Removes a request from the queue.
    pub(crate) fn remove(&mut self, request: usize, ticket: Option<Ticket>) {
        match ticket {
            Some(ticket) => {
                self.queue.remove(ticket);
            }
            None => self.fifo.retain(|(waiting, _)| *waiting != request),
        }
    }

    /// Returns the refusal for a request that gets no slot.
    pub(crate) fn refusal(&self, now: Timestamp) -> Refusal {
        self.queue.refusal(self.usable_slots(), now)
    }

    /// Releases the slot of a request.
    pub(crate) fn release_slot(&mut self) {
        self.in_use -= 1;
    }

    /// Records the service time of a request that started with `in_progress` requests, itself
    /// included. Returns the mean service time of its kind.
    pub(crate) fn record(
        &mut self,
        demand: &Demand,
        in_progress: u32,
        took: Duration,
        now: Timestamp,
    ) -> Duration {
        if let Some(limit) = &mut self.limit {
            limit.record(demand.class, in_progress, took, now);
        }
        self.queue.record(demand.class, demand.priority, took, now);
        self.queue.service_time(demand.class)
    }
}
