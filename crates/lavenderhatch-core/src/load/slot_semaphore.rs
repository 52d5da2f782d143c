//! A semaphore for the slots of a back end, held in one atomic word.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

const IN_FLIGHT_SHIFT: u32 = 32;
const LIMIT_SHIFT: u32 = 48;

/// An atomic 64-bit word. A trait, so that a model checker can supply its own type.
pub trait AtomicWord {
    /// Reads the word.
    fn get(&self) -> u64;

    /// Replaces `current` by `new`, or returns the word that was found instead. May fail
    /// spuriously.
    fn replace(&self, current: u64, new: u64) -> Result<(), u64>;
}

impl AtomicWord for AtomicU64 {
    fn get(&self) -> u64 {
        self.load(Ordering::Acquire)
    }

    fn replace(&self, current: u64, new: u64) -> Result<(), u64> {
        let swapped = self.compare_exchange_weak(current, new, Ordering::AcqRel, Ordering::Acquire);
        swapped.map(|_| ())
    }
}

/// Limit, running requests and waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SemaphoreState {
    /// Maximum number of requests that run at the same time.
    pub limit: u16,
    /// Requests that are running. Exceeds `limit` only until a lowered limit has taken effect.
    pub in_flight: u16,
    /// Requests that are waiting, including those about to join the queue.
    pub waiting: u32,
}

impl SemaphoreState {
    fn unpack(word: u64) -> Self {
        Self {
            limit: (word >> LIMIT_SHIFT) as u16,
            in_flight: (word >> IN_FLIGHT_SHIFT) as u16,
            waiting: word as u32,
        }
    }

    fn pack(self) -> u64 {
        u64::from(self.limit) << LIMIT_SHIFT
            | u64::from(self.in_flight) << IN_FLIGHT_SHIFT
            | u64::from(self.waiting)
    }

    fn has_free_slot(self) -> bool {
        self.in_flight < self.limit
    }
}

/// Result of [`SlotSemaphore::acquire_or_wait`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The request holds a slot.
    Acquired,
    /// The request is counted as waiting.
    Waiting,
}

/// A semaphore for slots, with a limit that can change and a count of waiting requests.
///
/// The state is packed into one word, and each change is one compare-and-swap.
pub struct SlotSemaphore<W> {
    word: W,
}

impl<W: AtomicWord> SlotSemaphore<W> {
    /// Creates a semaphore over `word`, whose value must be that of [`Self::initial`].
    pub fn new(word: W) -> Self {
        Self { word }
    }

    /// The word of an idle semaphore with this limit.
    pub fn initial(limit: u16) -> u64 {
        let state = SemaphoreState {
            limit,
            in_flight: 0,
            waiting: 0,
        };
        state.pack()
    }

    /// The current state.
    pub fn state(&self) -> SemaphoreState {
        SemaphoreState::unpack(self.word.get())
    }

    /// Takes a slot if one is free and no request waits. Otherwise counts the request as waiting.
    pub fn acquire_or_wait(&self) -> Acquisition {
        let before = self.update(|state| match state.has_free_slot() && state.waiting == 0 {
            true => Some(SemaphoreState {
                in_flight: state.in_flight + 1,
                ..state
            }),
            false => Some(SemaphoreState {
                waiting: state.waiting + 1,
                ..state
            }),
        });
        match before.is_some_and(|state| state.has_free_slot() && state.waiting == 0) {
            true => Acquisition::Acquired,
            false => Acquisition::Waiting,
        }
    }

    /// Counts a request as waiting even if a slot is free.
    pub fn add_waiting(&self) {
        self.update(|state| {
            Some(SemaphoreState {
                waiting: state.waiting + 1,
                ..state
            })
        });
    }

    /// Gives a free slot to a waiting request. Returns whether a slot was free.
    pub fn grant_to_waiting(&self) -> bool {
        let before = self.update(|state| {
            state.has_free_slot().then(|| SemaphoreState {
                in_flight: state.in_flight + 1,
                waiting: state.waiting - 1,
                ..state
            })
        });
        before.is_some()
    }

    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.state().has_free_slot()
    }

    /// Stops counting a request as waiting without giving it a slot.
    pub fn remove_waiting(&self) {
        self.update(|state| {
            Some(SemaphoreState {
                waiting: state.waiting - 1,
                ..state
            })
        });
    }

    /// Releases a slot. Returns whether a request is waiting for it.
    pub fn release(&self) -> bool {
        let before = self.update(|state| {
            Some(SemaphoreState {
                in_flight: state.in_flight - 1,
                ..state
            })
        });
        before.is_some_and(|state| state.waiting > 0)
    }

    /// Changes the limit. Running requests are not aborted.
    pub fn set_limit(&self, limit: u16) {
        self.update(|state| Some(SemaphoreState { limit, ..state }));
    }

    /// Retries `change` until no concurrent change interferes. Returns the state before the change,
    /// or `None` if `change` declined the state that it was given.
    fn update(
        &self,
        change: impl Fn(SemaphoreState) -> Option<SemaphoreState>,
    ) -> Option<SemaphoreState> {
        let mut word = self.word.get();
        loop {
            let before = SemaphoreState::unpack(word);
            let after = change(before)?;
            match self.word.replace(word, after.pack()) {
                Ok(()) => return Some(before),
                Err(found) => word = found,
            }
        }
    }
}

impl<W: AtomicWord> fmt::Debug for SlotSemaphore<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.state().fmt(f)
    }
}
