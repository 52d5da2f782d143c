//! Storage format of the log of a claim range.
//!
//! The object `head` holds the open end of the log. It is the only object that is overwritten, and
//! its version is the fencing token. Sealed segments are written once, under names that are never
//! reused, and take effect only when the head names them. A paused owner that rewrites a removed
//! segment therefore has no effect on the log.

use std::fmt;

use lavenderhatch_core::{Digest, Incarnation, NodeId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::message::{Claim, OutcomeRecord};

/// Number of batch ids that the head keeps. After a lost answer the owner reads the log back long
/// before this many batches follow.
const MAX_HEAD_BATCHES: usize = 8;
/// Number of records at which the head is sealed. Each commit rewrites the whole head, while each
/// sealed segment is one more object that a new owner has to read.
pub(super) const SEAL_THRESHOLD: usize = 1000;

/// Identifies one commit of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchId {
    /// The daemon that wrote the batch.
    pub node: NodeId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Number of the batch within the incarnation.
    pub number: u64,
}

impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.node, self.incarnation.0, self.number)
    }
}

/// Identifies one attempt to run an order, across daemons and their restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The daemon that makes the attempt.
    pub node: NodeId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Number of the attempt within the incarnation.
    pub number: u64,
}

impl Attempt {
    pub(super) fn from_claim(claim: &Claim) -> Self {
        Self {
            node: claim.executor.clone(),
            incarnation: claim.incarnation,
            number: claim.attempt,
        }
    }

    pub(super) fn from_outcome(record: &OutcomeRecord) -> Self {
        Self {
            node: record.executor.clone(),
            incarnation: record.incarnation,
            number: record.attempt,
        }
    }

    pub(super) fn matches_claim(&self, claim: &Claim) -> bool {
        self.node == claim.executor
            && self.incarnation == claim.incarnation
            && self.number == claim.attempt
    }
}

/// One record of the log of a claim range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogRecord {
    /// A key was claimed.
    Claim {
        /// Digest of the key.
        key: Digest,
        /// Digest of the request.
        request: Digest,
        /// The attempt that may run the order.
        by: Attempt,
        /// When the key was claimed.
        at: Timestamp,
    },
    /// The order ran.
    Ran {
        /// Digest of the key.
        key: Digest,
        /// The attempt that ran the order.
        by: Attempt,
        /// HTTP status of the answer.
        status: u16,
        /// Digest of the body of the answer.
        body: Digest,
    },
    /// The order did not run, and this attempt will never run it.
    Released {
        /// Digest of the key.
        key: Digest,
        /// The attempt that was abandoned.
        by: Attempt,
    },
}

impl LogRecord {
    pub(super) fn from_claim(claim: &Claim, at: Timestamp) -> Self {
        LogRecord::Claim {
            key: claim.key_hash,
            request: claim.request_digest,
            by: Attempt::from_claim(claim),
            at,
        }
    }

    pub(super) fn from_outcome(record: &OutcomeRecord) -> Self {
        let (key, by) = (record.key_hash, Attempt::from_outcome(record));
        match record.outcome {
            Some(outcome) => LogRecord::Ran {
                key,
                by,
                status: outcome.status,
                body: outcome.body_digest,
            },
            None => LogRecord::Released { key, by },
        }
    }
}

/// Reference from the head to a sealed segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Last part of the name of the segment's object.
    pub name: String,
    /// When the segment was sealed. Invariant: not earlier than any claim in it.
    pub sealed_at: Timestamp,
}

/// A sealed part of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Records, oldest first.
    pub records: Vec<LogRecord>,
}

/// Content of the head object: the open end of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Sealed segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Records after the last segment, oldest first.
    pub records: Vec<LogRecord>,
    /// Ids of the last batches, oldest first.
    pub batches: Vec<BatchId>,
}

/// A newly sealed segment, which has to be written before the head that names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSegment {
    /// Last part of the name of the segment's object.
    pub name: String,
    /// Content of the segment.
    pub segment: Segment,
}

impl Head {
    /// Moves the records of the head into a new segment if there are at least `threshold`.
    pub(super) fn seal(
        &mut self,
        batch: &BatchId,
        now: Timestamp,
        threshold: usize,
    ) -> Option<SealedSegment> {
        if self.records.len() < threshold {
            return None;
        }
        let name = batch.to_string();
        let records = std::mem::take(&mut self.records);
        self.segments.push(SegmentRef {
            name: name.clone(),
            sealed_at: now,
        });
        Some(SealedSegment {
            name,
            segment: Segment { records },
        })
    }

    /// Removes the segments that were sealed before `oldest` from the head and returns their names.
    pub(super) fn remove_segments_before(&mut self, oldest: Timestamp) -> Vec<String> {
        let kept = self
            .segments
            .iter()
            .position(|segment| segment.sealed_at >= oldest);
        let dropped = self.segments.drain(..kept.unwrap_or(self.segments.len()));
        dropped.map(|segment| segment.name).collect()
    }

    pub(super) fn push_batch(&mut self, id: BatchId) {
        self.batches.push(id);
        if self.batches.len() > MAX_HEAD_BATCHES {
            self.batches.remove(0);
        }
    }
}

/// The log of a range as read from the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeSnapshot {
    /// Version of the head; `None` if it does not exist.
    pub version: Option<u64>,
    /// Content of the head.
    pub head: Head,
    /// The segments that the reader did not have yet, oldest first.
    pub segments: Vec<Segment>,
}
