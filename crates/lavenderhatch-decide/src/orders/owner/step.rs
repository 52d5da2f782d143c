//! Platform requests of a range owner and their results.

use std::time::Duration;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Incarnation, NodeId, Timestamp};

use super::super::range_log::{Head, SealedSegment};

/// Inputs to the decisions of a range owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerView<'a> {
    /// The present time.
    pub now: Timestamp,
    /// How long claims are kept.
    pub retention: Duration,
    /// Members known to this daemon.
    pub members: &'a Members,
    /// When this daemon became the owner of the range in its own view; `None` if it is not.
    pub owned_since: Option<Timestamp>,
}

impl OwnerView<'_> {
    /// Whether this incarnation of a daemon is a live member.
    pub(super) fn is_running(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let mut live = self.members.live();
        live.any(|record| record.id == *node && record.incarnation == incarnation)
    }
}

/// A platform request of a range owner, which has at most one in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeStep {
    /// Read the head and the segments that it names, except those in `held`.
    Load {
        /// Names of the segments that the owner already has.
        held: Vec<String>,
    },
    /// Write a new value of the head.
    Commit(Box<Commit>),
}

/// A new value of the head and the related changes, to be made in the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// A newly sealed segment, to be written before the head that names it.
    pub sealed: Option<SealedSegment>,
    /// The new value of the head.
    pub head: Head,
    /// Version that the head must have for the write to succeed; `None` if it must not exist yet.
    pub expected: Option<u64>,
    /// Names of segments that the new head no longer refers to, to be removed after it is written.
    pub dropped: Vec<String>,
}

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The write succeeded and the head now has this version.
    Written(u64),
    /// The head did not have the expected version. The write had no effect.
    Conflict,
    /// No answer arrived. The write may have taken effect or may still do so.
    AnswerLost,
    /// The platform cannot be reached. The write had no effect.
    Unavailable,
    /// The platform's rate limit refused the write. The write had no effect.
    RateLimited,
}

/// Counters of a range owner since it took over the range.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerCounts {
    /// Claims granted.
    pub granted: u64,
    /// Claims answered with any other verdict.
    pub refused: u64,
    /// Commits that failed because another writer had changed the head.
    pub conflicts: u64,
}
