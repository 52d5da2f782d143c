//! What a range's owner asks of the platform, and what comes back.

use std::time::Duration;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Incarnation, NodeId, Timestamp};

use super::super::range_log::{Archive, Head};

/// What the owner looks at when it decides.
#[derive(Clone, Copy, Debug)]
pub struct OwnerView<'a> {
    /// The present time.
    pub now: Timestamp,
    /// Time for which claims are kept.
    pub retention: Duration,
    /// Known members.
    pub members: &'a Members,
    /// Since when this daemon sees itself as the owner of the range; `None` if it does not.
    pub owned_since: Option<Timestamp>,
}

impl OwnerView<'_> {
    /// Whether this incarnation of a daemon is running as far as is known.
    pub(super) fn is_running(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let mut live = self.members.live();
        live.any(|record| record.id == *node && record.incarnation == incarnation)
    }
}

/// One exchange with the platform. The owner of a range has at most one under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeStep {
    /// Read the head, and the segments that it names except these.
    Load {
        /// Names of segments that the owner holds already.
        held: Vec<String>,
    },
    /// Write the next value of the head.
    Commit(Box<Commit>),
}

/// The next value of the head and what goes with it, to be written in the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// A segment that the head names and that must exist before the head is written.
    pub archive: Option<Archive>,
    /// The next value of the head.
    pub head: Head,
    /// Version of the head that is replaced; `None` if it must not exist yet.
    pub expected: Option<u64>,
    /// Segments that the head named until now, to be removed after it is written.
    pub dropped: Vec<String>,
}

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The head has this version.
    Written(u64),
    /// The head had another version. The write had no effect.
    Conflict,
    /// The write may have taken effect.
    AnswerLost,
    /// The platform cannot be reached. The write had no effect.
    Unavailable,
    /// The platform refused the write because of its rate. The write had no effect.
    RateLimited,
}

/// What a range's owner has done since it took the range over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerCounts {
    /// Claims granted.
    pub granted: u64,
    /// Claims refused.
    pub refused: u64,
    /// Commits that lost against another writer.
    pub conflicts: u64,
}
