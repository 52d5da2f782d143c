//! A section of the blackboard, with its writer and its readers.

use std::fmt;
use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

use super::wake::{WakeList, WakeReceiver};

/// State shared by the writer and the readers of a section.
struct Shared<T> {
    snapshot: ArcSwap<T>,
    wakes: WakeList,
}

/// The only writer of a section.
///
/// Invariant: not `Clone`, so that a section has one writer.
pub struct SectionWriter<T> {
    shared: Arc<Shared<T>>,
}

/// A reader of a section.
pub struct SectionReader<T> {
    shared: Arc<Shared<T>>,
}

/// Creates a section that holds `initial`.
pub fn section<T: Send + Sync>(initial: T) -> (SectionWriter<T>, SectionReader<T>) {
    let snapshot = ArcSwap::from_pointee(initial);
    let shared = Arc::new(Shared {
        snapshot,
        wakes: WakeList::default(),
    });
    let reader = SectionReader {
        shared: Arc::clone(&shared),
    };
    (SectionWriter { shared }, reader)
}

impl<T: Send + Sync> SectionWriter<T> {
    /// Replaces the snapshot and wakes the subscribers.
    pub fn publish(&self, value: T) {
        self.publish_arc(Arc::new(value));
    }

    /// Replaces the snapshot by one that is already in an [`Arc`] and wakes the subscribers.
    pub fn publish_arc(&self, value: Arc<T>) {
        self.shared.snapshot.store(value);
        self.shared.wakes.wake_all();
    }

    /// The current snapshot.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.shared.snapshot.load()
    }
}

impl<T: Send + Sync> SectionReader<T> {
    /// The current snapshot, for use within one request or one decision. Wait-free.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.shared.snapshot.load()
    }

    /// The current snapshot, for callers that keep it longer.
    pub fn load_full(&self) -> Arc<T> {
        self.shared.snapshot.load_full()
    }

    /// Returns a channel that receives a message after each publication.
    ///
    /// Publications that are not received in time are merged into one message.
    pub fn subscribe(&self) -> WakeReceiver {
        self.shared.wakes.subscribe()
    }
}

impl<T> Clone for SectionReader<T> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> fmt::Debug for SectionReader<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SectionReader").finish_non_exhaustive()
    }
}

impl<T> fmt::Debug for SectionWriter<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SectionWriter").finish_non_exhaustive()
    }
}
