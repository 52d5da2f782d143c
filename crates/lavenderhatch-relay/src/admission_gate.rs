//! Limits the concurrent requests at the local backend server.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::load::{Acquisition, SlotSemaphore};
use lavenderhatch_decide::relay::{Demand, Refusal, SlotQueue, Ticket};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tracing::info;

use crate::learnt_limit::LearntLimit;
use crate::monotonic_clock::MonotonicClock;

/// A granted slot, or the reason for the refusal.
type AdmissionResult = Result<Permit, Refusal>;
type Queue = SlotQueue<oneshot::Sender<AdmissionResult>>;

/// What the lock of the gate guards.
#[derive(Debug)]
struct GateState {
    queue: Queue,
    limit: LearntLimit,
}

/// Admits requests to the local backend server, as many at a time as it takes well, at most its
/// slots, and, while it names a rate limit, no more than that in a second.
///
/// While a slot is free, no request waits and there is no rate limit, a request is admitted by one
/// compare-and-swap. The queue's lock is only taken by threads of the request path and is never
/// held while a request waits.
pub struct AdmissionGate {
    /// Its limit is the learnt one. Changed only with the lock held.
    slots: SlotSemaphore<AtomicU64>,
    /// Slots of the backend server that other daemons must count as taken, because requests above
    /// the learnt limit would only slow the others down.
    withheld: AtomicU32,
    /// Slots that the backend server has reported.
    reported: AtomicU32,
    state: Mutex<GateState>,
    /// Whether the queue has a rate limit.
    is_rate_limited: AtomicBool,
    /// Whether a task waits for the time at which the rate limit lets the next request start.
    is_dispatch_scheduled: AtomicBool,
    clock: MonotonicClock,
}

impl AdmissionGate {
    /// Creates a gate without slots.
    pub fn new(clock: MonotonicClock) -> Arc<Self> {
        let word = AtomicU64::new(SlotSemaphore::<AtomicU64>::initial(0));
        Arc::new(Self {
            slots: SlotSemaphore::new(word),
            withheld: AtomicU32::new(0),
            reported: AtomicU32::new(0),
            state: Mutex::new(GateState {
                queue: Queue::default(),
                limit: LearntLimit::new(0),
            }),
            is_rate_limited: AtomicBool::new(false),
            is_dispatch_scheduled: AtomicBool::new(false),
            clock,
        })
    }

    /// Takes a slot, and waits for one if `may_wait`.
    ///
    /// Dropping the future removes the request from the queue.
    pub async fn acquire(self: &Arc<Self>, demand: &Demand, may_wait: bool) -> AdmissionResult {
        let now = self.clock.now();
        if self.acquire_or_start_waiting(demand, now) {
            return Ok(self.permit());
        }
        let slots = u32::from(self.slots.state().limit);
        let (tx, mut rx) = oneshot::channel();
        let (queued, latest_start) = {
            let queue = &mut self.lock().queue;
            let latest_start = demand.latest_start(queue.service_time(demand.class));
            (queue.offer(tx, *demand, slots, now), latest_start)
        };
        let ticket = queued.inspect_err(|_| self.slots.remove_waiting())?;
        let position = QueuePosition { gate: self, ticket };
        // A slot may have been freed after the check above and before the request was queued.
        self.dispatch();
        if !may_wait {
            // `dispatch` may have granted a slot at once: one that is reserved for urgent requests
            // stays free while less urgent ones wait.
            let granted = rx.try_recv();
            drop(position);
            return granted.unwrap_or_else(|_| Err(self.refusal(slots)));
        }
        let result = timeout(latest_start.since(now), rx).await;
        drop(position);
        match result {
            Ok(Ok(result)) => result,
            _ => Err(self.refusal(slots)),
        }
    }

    /// Checks whether a request would get a slot, or, if it may wait, would wait for one, without
    /// taking it.
    pub fn check(&self, demand: &Demand, may_wait: bool) -> Result<(), Refusal> {
        let now = self.clock.now();
        let state = self.slots.state();
        let slots = u32::from(state.limit);
        let state_of_queue = self.lock();
        let queue = &state_of_queue.queue;
        let reserved = queue.reserved(demand, slots, now);
        let is_free = u32::from(state.in_flight) + reserved < slots && state.waiting == 0;
        if is_free && queue.is_within_rate(now) {
            return Ok(());
        }
        match may_wait {
            true => queue.check(demand, slots, now),
            false => Err(queue.refusal(slots, now)),
        }
    }

    /// Sets the number of slots. A limit that was learnt with another number is forgotten.
    pub fn set_slots(self: &Arc<Self>, slots: u32) {
        let slots = slots.min(u32::from(u16::MAX));
        {
            let state = &mut *self.lock();
            self.reported.store(slots, Ordering::Release);
            if state.limit.set_slots(slots) {
                self.apply_limit(state, self.clock.now());
            }
        }
        self.dispatch();
    }

    /// Returns the number of requests that may be in progress and that of the slots.
    pub fn limit_and_slots(&self) -> (u32, u32) {
        let limit = u32::from(self.slots.state().limit);
        (limit, self.reported.load(Ordering::Acquire))
    }

    fn apply_limit(&self, state: &mut GateState, now: Timestamp) {
        let (limit, withheld) = state.limit.current(now);
        let limit = u16::try_from(limit).unwrap_or(u16::MAX);
        if self.slots.state().limit != limit {
            self.slots.set_limit(limit);
        }
        self.withheld.store(withheld, Ordering::Release);
    }

    /// Sets the requests per second that the backend server takes from all daemons, or no limit.
    pub fn set_rate(self: &Arc<Self>, rate: Option<f64>) {
        let was_limited = self.is_rate_limited.swap(rate.is_some(), Ordering::AcqRel);
        if !was_limited && rate.is_none() {
            return;
        }
        if was_limited != rate.is_some() {
            info!(rate, "gate: the backend server has changed its rate limit");
        }
        self.lock().queue.set_rate(rate, self.clock.now());
        self.dispatch();
    }

    /// Refuses all waiting requests, after the backend server has started draining.
    pub fn refuse_waiting(&self) {
        let waiting = self.lock().queue.drain();
        let refusal = Refusal {
            retry_after: Duration::ZERO,
        };
        for tx in waiting {
            self.slots.remove_waiting();
            // The receiver is gone if the request was cancelled.
            let _ = tx.send(Err(refusal));
        }
    }

    /// Returns the number of requests that run or wait.
    pub fn in_flight(&self) -> u32 {
        let state = self.slots.state();
        u32::from(state.in_flight) + state.waiting
    }

    /// Returns the number of requests that run or wait, and of slots that are withheld from them:
    /// other daemons compare it with the slots of the backend server's record. A backend server
    /// that has reached its rate limit counts as full, because it takes no request now.
    pub fn load(&self) -> u32 {
        let state = self.slots.state();
        let withheld = self.withheld.load(Ordering::Acquire);
        let load = u32::from(state.in_flight) + state.waiting + withheld;
        match self.is_rate_reached(self.clock.now()) {
            true => load.max(u32::from(state.limit) + withheld),
            false => load,
        }
    }

    fn is_rate_reached(&self, now: Timestamp) -> bool {
        self.is_rate_limited.load(Ordering::Acquire) && !self.lock().queue.is_within_rate(now)
    }

    fn refusal(&self, slots: u32) -> Refusal {
        self.lock().queue.refusal(slots, self.clock.now())
    }

    /// Takes a slot if one is free, not reserved for more urgent requests and within the rate limit,
    /// else counts the request as waiting. Returns whether it took one.
    fn acquire_or_start_waiting(&self, demand: &Demand, now: Timestamp) -> bool {
        let state = self.slots.state();
        let slots = u32::from(state.limit);
        // No slots are withheld from the most urgent rank.
        let reserved = match demand.priority {
            0 => 0,
            _ => self.lock().queue.reserved(demand, slots, now),
        };
        if u32::from(state.in_flight) + reserved >= slots || self.is_rate_reached(now) {
            self.slots.add_waiting();
            return false;
        }
        let is_acquired = self.slots.acquire_or_wait() == Acquisition::Acquired;
        if is_acquired && self.is_rate_limited.load(Ordering::Acquire) {
            self.lock().queue.record_start(now);
        }
        is_acquired
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            gate: Arc::clone(self),
            acquired_at: self.clock.now(),
            in_progress: u32::from(self.slots.state().in_flight),
        }
    }

    /// Grants free slots to waiting requests.
    fn dispatch(self: &Arc<Self>) {
        loop {
            let tx = {
                let mut state = self.lock();
                let now = self.clock.now();
                self.apply_limit(&mut state, now);
                let queue = &mut state.queue;
                let slots = self.slots.state();
                let in_flight = u32::from(slots.in_flight);
                let slots = u32::from(slots.limit);
                let free = slots.saturating_sub(in_flight);
                if free == 0 {
                    return;
                }
                let Some(at) = queue.next(free, slots, now) else {
                    if let Some(wait) = queue.time_to_next_start(now) {
                        self.schedule_dispatch(wait);
                    }
                    return;
                };
                if !self.slots.grant_to_waiting() {
                    return;
                }
                queue.record_start(now);
                queue.take(at)
            };
            // If the receiver is gone, the permit is dropped, which frees its slot.
            let _ = tx.send(Ok(self.permit()));
        }
    }

    /// Grants slots after `wait`, when the rate limit lets the next request start.
    fn schedule_dispatch(self: &Arc<Self>, wait: Duration) {
        if self.is_dispatch_scheduled.swap(true, Ordering::AcqRel) {
            return;
        }
        let Ok(event_loop) = Handle::try_current() else {
            // The next request or answer dispatches on a thread with an event loop.
            self.is_dispatch_scheduled.store(false, Ordering::Release);
            return;
        };
        let gate = Arc::clone(self);
        event_loop.spawn(async move {
            sleep(wait).await;
            gate.is_dispatch_scheduled.store(false, Ordering::Release);
            gate.dispatch();
        });
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for AdmissionGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.slots.fmt(f)
    }
}

/// A request's position in the queue. Dropping it removes the request from the queue.
struct QueuePosition<'a> {
    gate: &'a Arc<AdmissionGate>,
    ticket: Ticket,
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        let was_waiting = self.gate.lock().queue.remove(self.ticket);
        if was_waiting {
            self.gate.slots.remove_waiting();
        }
    }
}

/// Service times: times for which requests of one class held their slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimeSample {
    /// Service time of this request.
    pub service_time: Duration,
    /// Mean service time of the requests of its class.
    pub mean_service_time: Duration,
}

/// A slot of the backend server, freed on drop.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<AdmissionGate>,
    acquired_at: Timestamp,
    /// Requests that were in progress when this one started, itself included.
    in_progress: u32,
}

impl Permit {
    /// Frees the slot of a completed request and records its service time. The limit is learnt only
    /// from requests that have run well: failures are often quick.
    pub fn finish(self, demand: &Demand, has_run_well: bool) -> ServiceTimeSample {
        let now = self.gate.clock.now();
        let service_time = now.since(self.acquired_at);
        let state = &mut *self.gate.lock();
        if has_run_well {
            let class = demand.class;
            state
                .limit
                .record(class, self.in_progress, service_time, now);
            self.gate.apply_limit(state, now);
        }
        let queue = &mut state.queue;
        queue.record(demand.class, demand.priority, service_time, now);
        ServiceTimeSample {
            service_time,
            mean_service_time: queue.service_time(demand.class),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.gate.slots.release() {
            self.gate.dispatch();
        }
    }
}
