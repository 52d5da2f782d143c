//! The slots of the backend server beside this daemon.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::load::{Entry, PackedGate};
use lavenderhatch_decide::relay::{Demand, Refusal, SlotQueue, Ticket};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::Clock;

/// A granted slot, or why there is none.
type Verdict = Result<Permit, Refusal>;
type Queue = SlotQueue<oneshot::Sender<Verdict>>;

/// Admits requests to the backend server beside this daemon.
///
/// While a slot is free and nobody waits, a request enters by one compare-and-swap. The lock of the
/// queue is only taken by threads of the request path and is never held over a wait.
pub struct Gate {
    slots: PackedGate<AtomicU64>,
    queue: Mutex<Queue>,
    clock: Clock,
}

impl Gate {
    /// A gate without slots.
    pub fn open(clock: Clock) -> Arc<Self> {
        let word = AtomicU64::new(PackedGate::<AtomicU64>::initial(0));
        Arc::new(Self {
            slots: PackedGate::new(word),
            queue: Mutex::default(),
            clock,
        })
    }

    /// Takes a slot, and waits for one if `may_wait`. Dropping the future gives up the place in the
    /// queue.
    pub async fn enter(self: &Arc<Self>, demand: &Demand, may_wait: bool) -> Verdict {
        let now = self.clock.now();
        if self.enter_at_once(demand, now) {
            return Ok(self.permit());
        }
        let slots = u32::from(self.slots.state().limit);
        let (tx, mut rx) = oneshot::channel();
        let (offered, latest) = {
            let mut queue = self.lock();
            let latest = demand.latest_start(queue.service_time(demand.class));
            (queue.offer(tx, *demand, slots, now), latest)
        };
        let ticket = offered.inspect_err(|_| self.slots.withdraw())?;
        let place = Place { gate: self, ticket };
        // A slot may have been freed between the look at the slots and the entry in the queue.
        self.dispatch();
        if !may_wait {
            // A slot may be free that is kept for urgent requests while others wait.
            let granted = rx.try_recv();
            drop(place);
            return granted.unwrap_or_else(|_| Err(self.lock().refusal(slots)));
        }
        let verdict = timeout(latest.since(now), rx).await;
        drop(place);
        match verdict {
            Ok(Ok(verdict)) => verdict,
            _ => Err(self.lock().refusal(slots)),
        }
    }

    /// Changes the number of slots.
    pub fn set_slots(self: &Arc<Self>, slots: u32) {
        self.slots
            .set_limit(u16::try_from(slots).unwrap_or(u16::MAX));
        self.dispatch();
    }

    /// Refuses all requests that wait, after the backend server has begun to leave.
    pub fn refuse_waiting(&self) {
        let waiting = self.lock().drain();
        let refusal = Refusal {
            retry_after: Duration::ZERO,
        };
        for tx in waiting {
            self.slots.withdraw();
            // A request whose receiver is gone needs no verdict.
            let _ = tx.send(Err(refusal));
        }
    }

    /// Requests that run or wait.
    pub fn load(&self) -> u32 {
        let state = self.slots.state();
        u32::from(state.in_flight) + state.waiting
    }

    /// Enters if a slot is free that is not kept for more urgent requests, else counts as waiting.
    fn enter_at_once(&self, demand: &Demand, now: Timestamp) -> bool {
        let state = self.slots.state();
        let slots = u32::from(state.limit);
        // Nothing is kept free from the most urgent rank.
        let reserved = match demand.priority {
            0 => 0,
            _ => self.lock().reserved(demand, slots, now),
        };
        if u32::from(state.in_flight) + reserved >= slots {
            self.slots.wait();
            return false;
        }
        self.slots.enter() == Entry::Entered
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            gate: Arc::clone(self),
            since: self.clock.now(),
        }
    }

    /// Gives free slots to requests that wait.
    fn dispatch(self: &Arc<Self>) {
        loop {
            let tx = {
                let mut queue = self.lock();
                let state = self.slots.state();
                let slots = u32::from(state.limit);
                let free = slots.saturating_sub(u32::from(state.in_flight));
                if free == 0 {
                    return;
                }
                let Some(at) = queue.next(free, slots, self.clock.now()) else {
                    return;
                };
                if !self.slots.grant() {
                    return;
                }
                queue.take(at)
            };
            // If the receiver is gone, the permit comes back and frees its slot.
            let _ = tx.send(Ok(self.permit()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.slots.fmt(f)
    }
}

/// A place in the queue, given up when dropped.
struct Place<'a> {
    gate: &'a Arc<Gate>,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let was_waiting = self.gate.lock().remove(self.ticket);
        if was_waiting {
            self.gate.slots.withdraw();
        }
    }
}

/// Times for which slots were held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// By this request.
    pub took: Duration,
    /// By requests of its kind, on average.
    pub mean: Duration,
}

/// A slot, freed when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    since: Timestamp,
}

impl Permit {
    /// Frees the slot of a request that has run to its end.
    pub fn finish(self, demand: &Demand) -> Held {
        let now = self.gate.clock.now();
        let took = now.since(self.since);
        let mut queue = self.gate.lock();
        queue.record(demand.class, demand.priority, took, now);
        Held {
            took,
            mean: queue.service_time(demand.class),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.gate.slots.leave() {
            self.gate.dispatch();
        }
    }
}
