//! A backend server behind the gate of its daemon.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{Demand, Refusal, SlotQueue, Ticket};

use crate::pattern::Service;
use crate::policy::Waiting;

/// Slots of each backend server.
pub(crate) const SLOTS: u32 = 12;

/// What came of a request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Started,
    Waits(Option<Ticket>),
    Refused(Refusal),
}

/// A backend server behind the gate of its daemon.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) service: Service,
    pub(crate) zone: usize,
    pub(crate) speed: f64,
    waiting: Waiting,
    queue: SlotQueue<usize>,
    in_order: VecDeque<(usize, Demand)>,
    in_use: u32,
}

impl Server {
    pub(crate) fn new(service: Service, zone: usize, speed: f64, waiting: Waiting) -> Self {
        Self {
            service,
            zone,
            speed,
            waiting,
            queue: SlotQueue::default(),
            in_order: VecDeque::new(),
            in_use: 0,
        }
    }

    /// Requests that run or wait.
    pub(crate) fn load(&self) -> u32 {
        self.in_use + (self.queue.len() + self.in_order.len()) as u32
    }

    /// Takes in a request.
    pub(crate) fn offer(
        &mut self,
        request: usize,
        demand: Demand,
        may_wait: bool,
        now: Timestamp,
    ) -> Admission {
        let is_by_rank = self.waiting == Waiting::ByRank;
        let reserved = match is_by_rank && demand.priority > 0 {
            true => self.queue.reserved(&demand, SLOTS, now),
            false => 0,
        };
        let is_queue_empty = self.queue.is_empty() && self.in_order.is_empty();
        if self.in_use + reserved < SLOTS && is_queue_empty {
            self.in_use += 1;
            return Admission::Started;
        }
        let refused = Admission::Refused(self.queue.refusal(SLOTS));
        if !may_wait {
            return refused;
        }
        match self.waiting {
            Waiting::Limited(most) if self.in_order.len() >= most => refused,
            Waiting::InOrder | Waiting::Limited(_) => {
                self.in_order.push_back((request, demand));
                Admission::Waits(None)
            }
            Waiting::ByRank => match self.queue.offer(request, demand, SLOTS, now) {
                Ok(ticket) => Admission::Waits(Some(ticket)),
                Err(refusal) => Admission::Refused(refusal),
            },
        }
    }

    /// Until when a request waits here.
    pub(crate) fn latest_start(&self, demand: &Demand) -> Timestamp {
        match self.waiting {
            Waiting::ByRank => demand.latest_start(self.queue.service_time(demand.class)),
            _ => demand.deadline,
        }
    }

    /// The next request that starts, if a slot is free for one.
    pub(crate) fn start_next(&mut self, now: Timestamp) -> Option<usize> {
        if self.in_use >= SLOTS {
            return None;
        }
        let next = match self.waiting {
            Waiting::ByRank => {
                let at = self.queue.next(SLOTS - self.in_use, SLOTS, now)?;
                self.queue.take(at)
            }
            _ => self.in_order.pop_front()?.0,
        };
        self.in_use += 1;
        Some(next)
    }

    /// Removes a request that no longer waits.
    pub(crate) fn remove(&mut self, request: usize, ticket: Option<Ticket>) {
        match ticket {
            Some(ticket) => {
                self.queue.remove(ticket);
            }
            None => self.in_order.retain(|(waiting, _)| *waiting != request),
        }
    }

    /// What a request is told that gets no slot.
    pub(crate) fn refusal(&self) -> Refusal {
        self.queue.refusal(SLOTS)
    }

    /// Frees the slot of a request.
    pub(crate) fn leave(&mut self) {
        self.in_use -= 1;
    }

    /// Takes in the time that a request held its slot. Returns the mean of its kind.
    pub(crate) fn record(&mut self, demand: &Demand, took: Duration, now: Timestamp) -> Duration {
        self.queue.record(demand.class, demand.priority, took, now);
        self.queue.service_time(demand.class)
    }
}
