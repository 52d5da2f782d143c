//! Admission of requests by the decision code and by simple baselines.

use std::collections::VecDeque;

use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::ranks::{
    AdaptiveLimit, AdmissionQueue, Granted, LatencySample, RankTable, Refused, Request,
};

use crate::scenario::{MAX_QUEUE, SLOTS};

/// Index of a call in the model.
pub(crate) type CallNumber = usize;

/// A combination of admission and routing to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    /// The decision code as the daemon uses it, with an adaptive concurrency limit.
    Chosen,
    /// Like [`Variant::Chosen`], with the limit fixed at the number of slots.
    FixedLimit,
    /// Like [`Variant::Chosen`], with backend servers chosen at random.
    RandomChoice,
    /// One queue for all ranks, first come first served.
    FirstCome,
    /// One queue for each rank, the most urgent rank always first.
    StrictPriority,
}

impl Variant {
    pub(crate) const ALL: [Variant; 5] = [
        Variant::Chosen,
        Variant::FixedLimit,
        Variant::RandomChoice,
        Variant::FirstCome,
        Variant::StrictPriority,
    ];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Variant::Chosen => "chosen",
            Variant::FixedLimit => "fixed-limit",
            Variant::RandomChoice => "random-choice",
            Variant::FirstCome => "first-come",
            Variant::StrictPriority => "strict-priority",
        }
    }
}

/// Admission control of one backend server.
pub(crate) enum Admission {
    /// The decision code. The limit is fixed if there is no `adaptive_limit`.
    Ranks {
        queue: Box<AdmissionQueue<CallNumber>>,
        adaptive_limit: Option<AdaptiveLimit>,
    },
    /// The baselines.
    Simple(SimpleQueue),
}

impl Admission {
    pub(crate) fn new(variant: Variant, table: &RankTable) -> Self {
        let ranks = table.ranks().len();
        let adaptive_limit = AdaptiveLimit::new(SLOTS, ranks, Timestamp(0));
        match variant {
            Variant::FirstCome => Admission::Simple(SimpleQueue::new(1)),
            Variant::StrictPriority => Admission::Simple(SimpleQueue::new(ranks)),
            _ => Admission::Ranks {
                queue: Box::new(AdmissionQueue::new(table.clone(), SLOTS, MAX_QUEUE)),
                adaptive_limit: (variant != Variant::FixedLimit).then_some(adaptive_limit),
            },
        }
    }

    /// Returns how many requests may be in flight.
    pub(crate) fn limit(&self) -> u32 {
        match self {
            Admission::Ranks {
                adaptive_limit: Some(adaptive_limit),
                ..
            } => adaptive_limit.limit(),
            _ => SLOTS,
        }
    }

    pub(crate) fn queue_length(&self) -> usize {
        match self {
            Admission::Ranks { queue, .. } => queue.lengths().sum(),
            Admission::Simple(queue) => queue.queues.iter().map(VecDeque::len).sum(),
        }
    }

    /// Charges a rank for a request that is admitted without queueing.
    pub(crate) fn charge_unqueued(&mut self, rank: usize, now: Timestamp) {
        if let Admission::Ranks { queue, .. } = self {
            queue.charge_unqueued(rank, 1, now);
        }
    }

    pub(crate) fn offer(&mut self, req: Request<CallNumber>, now: Timestamp) {
        match self {
            Admission::Ranks { queue, .. } => queue.offer(req, now),
            Admission::Simple(queue) => queue.offer(req),
        }
    }

    pub(crate) fn next(&mut self, now: Timestamp) -> Option<Granted<CallNumber>> {
        match self {
            Admission::Ranks { queue, .. } => queue.next(now),
            Admission::Simple(queue) => queue.next(now),
        }
    }

    pub(crate) fn take_refused(&mut self) -> Vec<Refused<CallNumber>> {
        match self {
            Admission::Ranks { queue, .. } => queue.take_refused(),
            Admission::Simple(queue) => std::mem::take(&mut queue.refused),
        }
    }

    /// Runs the periodic work of the load controller: records latencies, adapts the limit and
    /// refuses requests that cannot meet their deadline.
    pub(crate) fn tick(&mut self, samples: &[LatencySample], in_flight: u32, now: Timestamp) {
        let Admission::Ranks {
            queue,
            adaptive_limit,
        } = self
        else {
            return;
        };
        for (rank, sample) in samples.iter().enumerate() {
            queue.record(rank, sample.finished, sample.latency_sum_us);
        }
        if let Some(adaptive_limit) = adaptive_limit {
            adaptive_limit.observe(samples, in_flight, now);
            queue.set_limit(adaptive_limit.limit());
        }
        queue.expire(now);
    }
}

/// Queues of bounded length with strict priority, the first queue first.
///
/// A request past its deadline is refused when it reaches the front of its queue.
pub(crate) struct SimpleQueue {
    queues: Vec<VecDeque<Request<CallNumber>>>,
    refused: Vec<Refused<CallNumber>>,
}

impl SimpleQueue {
    fn new(queues: usize) -> Self {
        Self {
            queues: (0..queues).map(|_| VecDeque::new()).collect(),
            refused: Vec::new(),
        }
    }

    fn offer(&mut self, req: Request<CallNumber>) {
        let at = req.rank.min(self.queues.len() - 1);
        if self.queues[at].len() >= MAX_QUEUE {
            return self.refuse(&req, ErrorKind::Overloaded);
        }
        self.queues[at].push_back(req);
    }

    fn next(&mut self, now: Timestamp) -> Option<Granted<CallNumber>> {
        while let Some(req) = self.queues.iter_mut().find_map(VecDeque::pop_front) {
            if req.deadline > now {
                return Some(Granted {
                    item: req.item,
                    rank: req.rank,
                });
            }
            self.refuse(&req, ErrorKind::DeadlineUnmeetable);
        }
        None
    }

    fn refuse(&mut self, req: &Request<CallNumber>, kind: ErrorKind) {
        self.refused.push(Refused {
            item: req.item,
            rank: req.rank,
            kind,
        });
    }
}
