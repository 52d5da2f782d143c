//! Admission of calls to the local back end.
//!
//! If a slot is free and no request waits, a call takes the slot by one compare-and-swap. Otherwise
//! it is queued for the load controller, which grants or refuses it.

mod slot_permit;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use lavenderhatch_core::blackboard::SectionReader;
use lavenderhatch_core::drain::InFlightGuard;
use lavenderhatch_core::load::{LoadSnapshot, RankCounters};
use lavenderhatch_core::{Error, ErrorKind, RankName, Timestamp};

use crate::peer::ForwardRequest;

pub use lavenderhatch_core::load::{Acquisition, AtomicWord, SemaphoreState, SlotSemaphore};
pub use slot_permit::SlotPermit;

/// Maximum number of requests that the load controller has not read yet. Further ones are refused.
const INBOX_CAPACITY: usize = 8192;
/// Name under which requests of ranks that are not in the configuration are counted.
const UNKNOWN_RANK: &str = "unknown";

/// A granted slot, or the reason for the refusal. A refused request did not run.
pub type AdmissionResult = Result<SlotPermit, Error>;

/// A call that a peer has forwarded. It counts as in flight until it is answered.
#[derive(Debug)]
pub struct ForwardedCall {
    /// The call and the channel for its answer.
    pub req: ForwardRequest,
    /// Counts the call as in flight, so that the daemon does not exit before it is answered.
    pub guard: InFlightGuard,
}

/// The receiver of an admission result.
#[derive(Debug)]
pub enum Waiter {
    /// A thread that blocks on the other end of the channel.
    Thread(Sender<AdmissionResult>),
    /// A forwarded call. No thread blocks while it is queued.
    Peer(Box<ForwardedCall>),
}

/// A request that waits for a slot.
///
/// Invariant: the slot semaphore counts it as waiting.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Counters of the rank of the request.
    pub counters: Arc<RankCounters>,
    /// When the request was queued, on the clock of the gate.
    pub arrived: Timestamp,
    /// When the caller no longer needs the answer, on the clock of the gate.
    pub deadline: Timestamp,
    /// The receiver of the admission result.
    pub waiter: Waiter,
}

/// A forwarded call that was admitted or refused.
#[derive(Debug)]
pub struct DecidedCall {
    /// The call.
    pub call: Box<ForwardedCall>,
    /// The slot, or the reason for the refusal.
    pub admission: AdmissionResult,
}

/// The load controller's ends of the channels of the gate.
#[derive(Debug)]
pub struct AdmissionInbox {
    /// Requests that wait for a slot.
    pub queued: Receiver<QueuedRequest>,
    /// Holds a message if a slot was freed while a request waited.
    pub slot_freed: Receiver<()>,
    /// Forwarded calls that were granted a slot or refused, for the threads that run them.
    pub decided: Sender<DecidedCall>,
}

/// The admission gate of this backend server.
#[derive(Debug)]
pub struct AdmissionGate {
    slots: SlotSemaphore<AtomicU64>,
    load: SectionReader<LoadSnapshot>,
    queued: Sender<QueuedRequest>,
    slot_freed: Sender<()>,
    unknown_rank: Arc<RankCounters>,
    /// Origin of the times in the queue. A change of the system clock must not affect them.
    start: Instant,
}

impl AdmissionGate {
    /// Creates a gate that admits `limit` requests at a time.
    ///
    /// The receiver gets the forwarded calls that were granted a slot or refused after a wait.
    pub fn open(
        limit: u16,
        load: SectionReader<LoadSnapshot>,
    ) -> (Arc<Self>, AdmissionInbox, Receiver<DecidedCall>) {
        let (queued_tx, queued) = bounded(INBOX_CAPACITY);
        let (slot_freed_tx, slot_freed) = bounded(1);
        let (decided, decided_rx) = unbounded();
        let word = AtomicU64::new(SlotSemaphore::<AtomicU64>::initial(limit));
        let gate = Self {
            slots: SlotSemaphore::new(word),
            load,
            queued: queued_tx,
            slot_freed: slot_freed_tx,
            unknown_rank: Arc::new(RankCounters::new(unknown_rank_name())),
            start: Instant::now(),
        };
        let inbox = AdmissionInbox {
            queued,
            slot_freed,
            decided,
        };
        (Arc::new(gate), inbox, decided_rx)
    }

    /// Returns the present time on the monotonic clock of the gate.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the deadline of a request that has `time_left`, on the clock of the gate.
    pub fn deadline(&self, time_left: Duration) -> Timestamp {
        self.now() + time_left
    }

    /// Acquires a slot, and blocks this thread while none is free.
    pub fn acquire(self: &Arc<Self>, rank: &str, deadline: Timestamp) -> AdmissionResult {
        let counters = self.counters(rank);
        if self.slots.acquire_or_wait() == Acquisition::Acquired {
            return Ok(self.admit_immediately(counters, deadline));
        }
        let (tx, rx) = bounded(1);
        let waiter = Waiter::Thread(tx);
        self.enqueue(counters, deadline, waiter)
            .map_err(|(_, err)| err)?;
        match rx.recv_timeout(deadline.since(self.now())) {
            Ok(admission) => admission,
            Err(_) => Err(Error::new(
                ErrorKind::DeadlineUnmeetable,
                "no slot was free before the deadline",
            )),
        }
    }

    /// Acquires a slot for a forwarded call, or queues the call without blocking a thread.
    ///
    /// Returns `None` if the call was queued.
    pub fn admit_forwarded(
        self: &Arc<Self>,
        call: Box<ForwardedCall>,
        deadline: Timestamp,
    ) -> Option<DecidedCall> {
        let counters = self.counters(&call.req.call.rank);
        if self.slots.acquire_or_wait() == Acquisition::Acquired {
            let admission = Ok(self.admit_immediately(counters, deadline));
            return Some(DecidedCall { call, admission });
        }
        match self.enqueue(counters, deadline, Waiter::Peer(call)) {
            Ok(()) => None,
            Err((Waiter::Peer(call), err)) => Some(DecidedCall {
                call,
                admission: Err(err),
            }),
            Err((Waiter::Thread(_), _)) => None,
        }
    }

    /// Returns the limit and the numbers of running and waiting requests.
    pub fn state(&self) -> SemaphoreState {
        self.slots.state()
    }

    /// Returns whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.slots.has_free_slot()
    }

    /// Sets the number of requests that may run at the same time.
    pub fn set_limit(&self, limit: u32) {
        self.slots
            .set_limit(u16::try_from(limit).unwrap_or(u16::MAX));
    }

    /// Takes a slot for a queued request, or returns `None` if no slot is free.
    pub fn grant(self: &Arc<Self>, queued: &QueuedRequest) -> Option<SlotPermit> {
        let counters = Arc::clone(&queued.counters);
        let is_granted = self.slots.grant_to_waiting();
        is_granted.then(|| SlotPermit::new(Arc::clone(self), counters, queued.deadline))
    }

    /// Stops counting a refused request as waiting.
    pub fn remove_waiting(&self) {
        self.slots.remove_waiting();
    }

    /// Returns the counters of requests whose rank is not in the configuration.
    pub fn unknown_rank_counters(&self) -> &Arc<RankCounters> {
        &self.unknown_rank
    }

    fn release(&self) {
        if self.slots.release() {
            // If the channel is full, the message in it wakes the load controller as well.
            let _ = self.slot_freed.try_send(());
        }
    }

    fn admit_immediately(
        self: &Arc<Self>,
        counters: Arc<RankCounters>,
        deadline: Timestamp,
    ) -> SlotPermit {
        counters.record_immediate_admission();
        SlotPermit::new(Arc::clone(self), counters, deadline)
    }

    fn counters(&self, rank: &str) -> Arc<RankCounters> {
        let load = self.load.load();
        let known = load.counters.0.get(rank);
        Arc::clone(known.unwrap_or(&self.unknown_rank))
    }

    fn enqueue(
        &self,
        counters: Arc<RankCounters>,
        deadline: Timestamp,
        waiter: Waiter,
    ) -> Result<(), (Waiter, Error)> {
        let queued = QueuedRequest {
            counters,
            arrived: self.now(),
            deadline,
            waiter,
        };
        self.queued.try_send(queued).map_err(|err| {
            self.remove_waiting();
            let error = Error::new(ErrorKind::Overloaded, "too many requests wait");
            (err.into_inner().waiter, error)
        })
    }
}

fn unknown_rank_name() -> RankName {
    // The constant consists only of characters that are allowed in a name.
    #[allow(clippy::expect_used)]
    RankName::new(UNKNOWN_RANK).expect("a constant name")
}
