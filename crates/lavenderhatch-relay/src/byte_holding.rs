//! The bytes that the request path holds, bounded by the memory of the machine.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lavenderhatch_decide::relay::{
    ByteBudget, ByteBudgetLimits, ByteUse, CONNECTION_BYTES, Changes, HolderId, Reservation,
};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::metrics::Metrics;
use crate::monotonic_clock::MonotonicClock;

/// Interval at which a waiting holder looks for senders that have stalled.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which a holder waits. A client sends its request again after less than that, or
/// its deadline has passed.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// Why bytes are not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ReservationError {
    /// The budget never has as many bytes.
    #[error("the memory of this daemon never has room for as many bytes")]
    NeverFits,
    /// Other requests hold the bytes.
    #[error("the memory of this daemon is in use by other requests")]
    InUse,
    /// The sender was slower than others that wait.
    #[error("the body arrived too slowly while others waited for its memory")]
    TakenBack,
}

/// Wakes the task of a holder.
#[derive(Debug, Default)]
struct Signal {
    is_granted: AtomicBool,
    is_evicted: AtomicBool,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    budget: ByteBudget,
    signals: HashMap<HolderId, Arc<Signal>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    clock: MonotonicClock,
    metrics: Metrics,
}

impl Shared {
    /// Changes the budget, wakes the holders that are affected, and updates the metrics.
    ///
    /// The lock is only taken by threads of the request path and never held while one waits.
    fn update<T>(&self, change: impl FnOnce(&mut State) -> (T, Changes)) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (result, changes) = change(&mut state);
        for id in &changes.granted {
            if let Some(signal) = state.signals.get(id) {
                signal.is_granted.store(true, Ordering::Release);
                signal.changed.notify_one();
            }
        }
        for id in &changes.evicted {
            if let Some(signal) = state.signals.get(id) {
                signal.is_evicted.store(true, Ordering::Release);
                signal.changed.notify_one();
            }
        }
        // With the lock held, so that the other thread does not set an older value last.
        let (reserved, waiting) = (state.budget.reserved(), state.budget.waiting());
        self.metrics.set_held_bytes(reserved, waiting);
        result
    }
}

/// The byte budget of a daemon, shared by the threads of its ports.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedByteBudget(Option<Arc<Shared>>);

impl SharedByteBudget {
    /// Creates a budget; `None` stands for one without a limit.
    pub(crate) fn new(
        limits: Option<ByteBudgetLimits>,
        clock: MonotonicClock,
        metrics: Metrics,
    ) -> Self {
        let shared = limits.map(|limits| {
            metrics.set_byte_limit(limits.capacity);
            let state = State {
                budget: ByteBudget::new(limits),
                signals: HashMap::new(),
            };
            Arc::new(Shared {
                state: Mutex::new(state),
                clock,
                metrics,
            })
        });
        Self(shared)
    }

    /// Whether a request or an answer waits for bytes.
    pub(crate) fn is_contended(&self) -> bool {
        let shared = self.0.as_ref();
        shared.is_some_and(|shared| shared.metrics.held_bytes_waiting() > 0)
    }

    /// Adds a holder without bytes.
    pub(crate) fn open(&self, byte_use: ByteUse) -> ByteHolding {
        let entry = self.0.as_ref().map(|shared| {
            let now = shared.clock.now();
            let signal = Arc::new(Signal::default());
            let for_state = Arc::clone(&signal);
            let id = shared.update(|state| {
                let id = state.budget.open(byte_use, now);
                state.signals.insert(id, for_state);
                (id, Changes::default())
            });
            Entry {
                shared: Arc::clone(shared),
                id,
                signal,
            }
        });
        ByteHolding(entry)
    }
}

#[derive(Debug)]
struct Entry {
    shared: Arc<Shared>,
    id: HolderId,
    signal: Arc<Signal>,
}

impl Entry {
    async fn wait_until_granted(&self) -> Result<(), ReservationError> {
        let end = Instant::now() + MAX_WAIT;
        loop {
            if self.signal.is_evicted.load(Ordering::Acquire) {
                return Err(ReservationError::TakenBack);
            }
            if self.signal.is_granted.swap(false, Ordering::AcqRel) {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(ReservationError::InUse);
            }
            if timeout(TICK_INTERVAL, self.signal.changed.notified())
                .await
                .is_err()
            {
                let now = self.shared.clock.now();
                self.shared.update(|state| ((), state.budget.tick(now)));
            }
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.update(|state| {
            state.signals.remove(&self.id);
            ((), state.budget.release(self.id, now))
        });
    }
}

/// Bytes that are reserved for one request or answer. Dropping it gives them back.
#[derive(Debug)]
pub(crate) struct ByteHolding(Option<Entry>);

impl ByteHolding {
    /// Reserves further bytes, and waits for them while others hold them.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<(), ReservationError> {
        let Some(entry) = &self.0 else {
            return Ok(());
        };
        let now = entry.shared.clock.now();
        let reserve = |state: &mut State| {
            let reservation = state.budget.reserve(entry.id, bytes, now);
            let fits = state.budget.limits().can_hold(bytes);
            ((reservation, fits), Changes::default())
        };
        let result = match entry.shared.update(reserve) {
            (Reservation::Granted, _) => Ok(()),
            (Reservation::Waits, _) => entry.wait_until_granted().await,
            (Reservation::Refused, true) => Err(ReservationError::InUse),
            (Reservation::Refused, false) => Err(ReservationError::NeverFits),
        };
        result.inspect_err(|err| entry.shared.metrics.record_reservation_error(*err, now))
    }

    /// Reserves the memory that a connection takes while its message is read.
    pub(crate) async fn reserve_with_connection(
        &self,
        bytes: usize,
    ) -> Result<(), ReservationError> {
        self.reserve(bytes + CONNECTION_BYTES).await
    }

    /// Returns the memory of the connection, after the whole message was read.
    pub(crate) fn release_connection(&self) {
        let Some(entry) = &self.0 else {
            return;
        };
        let now = entry.shared.clock.now();
        entry.shared.update(|state| {
            let changes = state.budget.shrink(entry.id, CONNECTION_BYTES, now);
            ((), changes)
        });
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_progress(&self, bytes: usize) {
        if let Some(entry) = &self.0 {
            let now = entry.shared.clock.now();
            entry.shared.update(|state| {
                state.budget.record_progress(entry.id, bytes, now);
                ((), Changes::default())
            });
        }
    }

    /// Records that all bytes have arrived.
    pub(crate) fn complete(&self) {
        if let Some(entry) = &self.0 {
            entry.shared.update(|state| {
                state.budget.complete(entry.id);
                ((), Changes::default())
            });
        }
    }

    /// Waits until the bytes must be given back because others wait for them.
    pub(crate) async fn taken_back(&self) -> ReservationError {
        let Some(entry) = &self.0 else {
            return std::future::pending().await;
        };
        while !entry.signal.is_evicted.load(Ordering::Acquire) {
            entry.signal.changed.notified().await;
        }
        let (err, now) = (ReservationError::TakenBack, entry.shared.clock.now());
        entry.shared.metrics.record_reservation_error(err, now);
        err
    }
}
