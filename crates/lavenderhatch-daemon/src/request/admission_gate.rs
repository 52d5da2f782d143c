//! Admission of calls to the back end beside this daemon.
//!
//! If a slot is free and nobody waits, a call enters by one compare-and-swap. Otherwise it is
//! handed to the load controller, which grants or refuses it.

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

/// Requests on their way to the load controller. More are refused.
const INBOX_CAPACITY: usize = 8192;
/// Name under which requests of ranks that are not described are counted.
const UNKNOWN_RANK: &str = "unknown";

/// A granted slot, or why there is none. A refused request did not run.
pub type AdmissionResult = Result<SlotPermit, Error>;

/// A call that a peer has handed over, which counts as in flight until it is answered.
#[derive(Debug)]
pub struct ForwardedCall {
    /// The call and where its answer goes.
    pub job: ForwardRequest,
    /// Keeps the daemon from ending before the call is answered.
    pub guard: InFlightGuard,
}

/// Who waits for a slot.
#[derive(Debug)]
pub enum Waiter {
    /// A thread, at the other end of the channel.
    Thread(Sender<AdmissionResult>),
    /// A call that a peer has handed over. No thread waits for it.
    Peer(Box<ForwardedCall>),
}

/// A request that waits for a slot. It counts as waiting in the gate.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Counters of its rank.
    pub counters: Arc<RankCounters>,
    /// When it came to the gate.
    pub arrived: Timestamp,
    /// When its answer is of no use any more.
    pub deadline: Timestamp,
    /// Who waits.
    pub waiter: Waiter,
}

/// A call of a peer whose wait has ended.
#[derive(Debug)]
pub struct DecidedCall {
    /// The call.
    pub call: Box<ForwardedCall>,
    /// Its slot, or why there is none.
    pub verdict: AdmissionResult,
}

/// What the gate hands to the load controller.
#[derive(Debug)]
pub struct AdmissionInbox {
    /// Requests that wait.
    pub queued: Receiver<QueuedRequest>,
    /// Holds a message when a slot was freed while a request waited.
    pub slot_freed: Receiver<()>,
    /// Calls of peers whose wait has ended, to the threads that run them.
    pub decided: Sender<DecidedCall>,
}

/// The gate of this backend server.
#[derive(Debug)]
pub struct AdmissionGate {
    slots: SlotSemaphore<AtomicU64>,
    load: SectionReader<LoadSnapshot>,
    queued: Sender<QueuedRequest>,
    slot_freed: Sender<()>,
    unknown_rank: Arc<RankCounters>,
    /// Origin of the times in the queue, which a change of the system clock must not move.
    start: Instant,
}

impl AdmissionGate {
    /// Opens a gate for `limit` requests. The receiver gets calls of peers whose wait has ended.
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

    /// Present time on the gate's own clock.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_millis() as u64)
    }

    /// The deadline of a request that has `time_left`.
    pub fn deadline(&self, time_left: Duration) -> Timestamp {
        self.now() + time_left
    }

    /// Waits on this thread for a slot.
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
            Ok(verdict) => verdict,
            Err(_) => Err(Error::new(
                ErrorKind::DeadlineUnmeetable,
                "no slot was free before the deadline",
            )),
        }
    }

    /// Gives a call of a peer its slot, or lets it wait without a thread.
    pub fn admit_forwarded(
        self: &Arc<Self>,
        call: Box<ForwardedCall>,
        deadline: Timestamp,
    ) -> Option<DecidedCall> {
        let counters = self.counters(&call.job.call.rank);
        if self.slots.acquire_or_wait() == Acquisition::Acquired {
            let verdict = Ok(self.admit_immediately(counters, deadline));
            return Some(DecidedCall { call, verdict });
        }
        match self.enqueue(counters, deadline, Waiter::Peer(call)) {
            Ok(()) => None,
            Err((Waiter::Peer(call), err)) => Some(DecidedCall {
                call,
                verdict: Err(err),
            }),
            Err((Waiter::Thread(_), _)) => None,
        }
    }

    /// State of the gate.
    pub fn state(&self) -> SemaphoreState {
        self.slots.state()
    }

    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.slots.has_free_slot()
    }

    /// Changes the limit.
    pub fn set_limit(&self, limit: u32) {
        self.slots
            .set_limit(u16::try_from(limit).unwrap_or(u16::MAX));
    }

    /// Gives a free slot to a request that waits.
    pub fn grant(self: &Arc<Self>, queued: &QueuedRequest) -> Option<SlotPermit> {
        let counters = Arc::clone(&queued.counters);
        let is_granted = self.slots.grant_to_waiting();
        is_granted.then(|| SlotPermit::new(Arc::clone(self), counters, queued.deadline))
    }

    /// Counts a request that gets no slot as no longer waiting.
    pub fn remove_waiting(&self) {
        self.slots.remove_waiting();
    }

    /// Counters of ranks that are not described.
    pub fn unknown_rank_counters(&self) -> &Arc<RankCounters> {
        &self.unknown_rank
    }

    fn release(&self) {
        if self.slots.release() {
            // A message that is already there wakes the load controller as well.
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
    // The text is a name by its characters.
    #[allow(clippy::expect_used)]
    RankName::new(UNKNOWN_RANK).expect("a constant name")
}
