//! Queue of the waiting requests of one rank.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::policy::RankPolicy;

/// Time after which a queue with late requests counts as standing, which means overload and not a
/// burst.
const STANDING_QUEUE_AGE: Duration = Duration::from_millis(500);
/// Fraction of its worth that an answer still has after the target.
const LATE_WORTH_FACTOR: f64 = 0.1;
/// Lower bound of the slack in a score, in milliseconds.
const MIN_SLACK_MS: f64 = 1.0;

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Entry<T> {
    pub(super) item: T,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
}

/// Queue of one rank, in order of arrival.
#[derive(Clone, Debug)]
pub(super) struct RankQueue<T> {
    entries: VecDeque<Entry<T>>,
    /// Time since which the oldest request has been too late for its target.
    late_since: Option<Timestamp>,
    /// Whether the queue is standing: more requests arrive than can be served within the target.
    /// Reset when the queue is empty.
    is_standing: bool,
}

impl<T> RankQueue<T> {
    pub(super) fn new() -> Self {
        Self {
            entries: VecDeque::new(),
            late_since: None,
            is_standing: false,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_standing(&self) -> bool {
        self.is_standing
    }

    pub(super) fn push(&mut self, entry: Entry<T>) {
        self.entries.push_back(entry);
    }

    /// Removes and returns the next request, which is the one that [`Self::score`] rates.
    ///
    /// The oldest request is next while it can meet its target. Once it is late, the newest one is
    /// served, because serving the oldest would make all requests behind it late as well.
    pub(super) fn pop(&mut self, policy: &RankPolicy, completes_at: Timestamp) -> Option<Entry<T>> {
        let entry = match self.is_newest_next(policy, completes_at) {
            true => self.entries.pop_back(),
            false => self.entries.pop_front(),
        };
        self.end_standing_if_empty();
        entry
    }

    /// Returns the worth per slack of the next request, if it is answered at `completes_at`.
    pub(super) fn score(&self, policy: &RankPolicy, completes_at: Timestamp) -> Option<f64> {
        let next = match self.is_newest_next(policy, completes_at) {
            true => self.entries.back()?,
            false => self.entries.front()?,
        };
        let worth = f64::from(policy.worth);
        let slack =
            |due_at: Timestamp| (due_at.since(completes_at).as_millis() as f64).max(MIN_SLACK_MS);
        if is_late(next, policy, completes_at) {
            return Some(worth * LATE_WORTH_FACTOR / slack(next.deadline));
        }
        Some(worth / slack(due_at(next, policy)))
    }

    /// Removes requests that cannot be answered before their deadline.
    pub(super) fn remove_unmeetable(&mut self, completes_at: Timestamp) -> Vec<T> {
        let removed = self.remove_if(|entry| entry.deadline < completes_at);
        self.end_standing_if_empty();
        removed
    }

    /// Updates whether the queue is standing, and removes late requests if it is.
    pub(super) fn remove_standing(
        &mut self,
        policy: &RankPolicy,
        completes_at: Timestamp,
        now: Timestamp,
    ) -> Vec<T> {
        let is_oldest_late = self
            .entries
            .front()
            .is_some_and(|entry| is_late(entry, policy, completes_at));
        if !is_oldest_late {
            self.late_since = None;
            return Vec::new();
        }
        let since = *self.late_since.get_or_insert(now);
        self.is_standing |= now.since(since) >= STANDING_QUEUE_AGE;
        let removed = match self.is_standing {
            true => self.remove_if(|entry| is_late(entry, policy, completes_at)),
            false => Vec::new(),
        };
        self.end_standing_if_empty();
        removed
    }

    /// Removes and returns all requests.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = Entry<T>> {
        self.entries.drain(..)
    }

    fn is_newest_next(&self, policy: &RankPolicy, completes_at: Timestamp) -> bool {
        let late =
            |entry: Option<&Entry<T>>| entry.is_some_and(|e| is_late(e, policy, completes_at));
        late(self.entries.front()) && !late(self.entries.back())
    }

    fn remove_if(&mut self, is_removed: impl Fn(&Entry<T>) -> bool) -> Vec<T> {
        if !self.entries.iter().any(&is_removed) {
            return Vec::new();
        }
        let (removed, kept) = self.entries.drain(..).partition(is_removed);
        self.entries = kept;
        VecDeque::into_iter(removed)
            .map(|entry: Entry<T>| entry.item)
            .collect()
    }

    fn end_standing_if_empty(&mut self) {
        if self.entries.is_empty() {
            self.late_since = None;
            self.is_standing = false;
        }
    }
}

/// Time by which a request should be answered: its target or its deadline, whichever is earlier.
fn due_at<T>(entry: &Entry<T>, policy: &RankPolicy) -> Timestamp {
    let target = entry.arrived + Duration::from_millis(policy.target_ms);
    target.min(entry.deadline)
}

fn is_late<T>(entry: &Entry<T>, policy: &RankPolicy, completes_at: Timestamp) -> bool {
    due_at(entry, policy) < completes_at
}
