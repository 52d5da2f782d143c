//! Notices new snapshots of a section of the blackboard.

use std::sync::Arc;

/// The snapshot that a reader has seen last.
#[derive(Debug)]
pub(super) struct LastSeen<T>(Option<Arc<T>>);

impl<T> Default for LastSeen<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T> LastSeen<T> {
    /// Returns whether `snapshot` is another one than that of the last call.
    pub(super) fn replace(&mut self, snapshot: &Arc<T>) -> bool {
        let seen = self.0.as_ref();
        let is_same = seen.is_some_and(|seen| Arc::ptr_eq(seen, snapshot));
        if !is_same {
            self.0 = Some(Arc::clone(snapshot));
        }
        !is_same
    }
}
