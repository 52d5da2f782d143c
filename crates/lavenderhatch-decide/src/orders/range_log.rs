//! The log of a claim range as it is stored in the platform.
//!
//! The object `head` is the open end of the log and the only object that is written twice. Its
//! version is the fencing token. Sealed segments are written once under names that are never used
//! again, and count only once the head names them, so that removing an old segment cannot let a
//! paused owner write it anew.

use std::fmt;

use lavenderhatch_core::{Digest, Incarnation, NodeId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::message::{Claim, OutcomeRecord};

/// Batches that the head names. A lost answer is read back long before so many batches follow.
const REMEMBERED_BATCHES: usize = 8;
/// Records in the head before it is sealed. Each commit rewrites the head, and a sealed segment is
/// one more object to read at a take-over.
pub(super) const SEAL_RECORDS: usize = 1000;

/// Identifies a batch of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchId {
    /// The daemon that wrote it.
    pub node: NodeId,
    /// Start of that daemon.
    pub incarnation: Incarnation,
    /// Number of the batch.
    pub number: u64,
}

impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.node, self.incarnation.0, self.number)
    }
}

/// One attempt of one incarnation of one daemon to run an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The daemon.
    pub node: NodeId,
    /// Start of the daemon.
    pub incarnation: Incarnation,
    /// Number of the attempt.
    pub number: u64,
}

impl Attempt {
    pub(super) fn of_claim(claim: &Claim) -> Self {
        Self {
            node: claim.executor.clone(),
            incarnation: claim.incarnation,
            number: claim.attempt,
        }
    }

    pub(super) fn of_outcome(record: &OutcomeRecord) -> Self {
        Self {
            node: record.executor.clone(),
            incarnation: record.incarnation,
            number: record.attempt,
        }
    }

    pub(super) fn is_of(&self, claim: &Claim) -> bool {
        self.node == claim.executor
            && self.incarnation == claim.incarnation
            && self.number == claim.attempt
    }
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogRecord {
    /// A key was claimed.
    Claim {
        /// Digest of the key.
        key: Digest,
        /// Digest of the request.
        request: Digest,
        /// Who may run it.
        by: Attempt,
        /// When it was claimed.
        at: Timestamp,
    },
    /// The order ran.
    Ran {
        /// Digest of the key.
        key: Digest,
        /// Who ran it.
        by: Attempt,
        /// HTTP status of the answer.
        status: u16,
        /// Digest of the body of the answer.
        body: Digest,
    },
    /// The order did not run and this attempt will not run it.
    Released {
        /// Digest of the key.
        key: Digest,
        /// Who gave it up.
        by: Attempt,
    },
}

impl LogRecord {
    pub(super) fn of_claim(claim: &Claim, at: Timestamp) -> Self {
        LogRecord::Claim {
            key: claim.key_hash,
            request: claim.request_digest,
            by: Attempt::of_claim(claim),
            at,
        }
    }

    pub(super) fn of_outcome(record: &OutcomeRecord) -> Self {
        let (key, by) = (record.key_hash, Attempt::of_outcome(record));
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

/// A sealed segment, as the head names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Last part of the object's name.
    pub name: String,
    /// When it was sealed. Invariant: not before any of its claims.
    pub sealed_at: Timestamp,
}

/// A sealed part of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Records, oldest first.
    pub records: Vec<LogRecord>,
}

/// The open end of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Sealed segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Records after the last segment, oldest first.
    pub records: Vec<LogRecord>,
    /// The last batches, oldest first.
    pub batches: Vec<BatchId>,
}

/// A segment that is to be written before the head that names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Archive {
    /// Last part of the object's name.
    pub name: String,
    /// Its content.
    pub segment: Segment,
}

impl Head {
    /// Seals the records if there are `after` or more.
    pub(super) fn seal(
        &mut self,
        batch: &BatchId,
        now: Timestamp,
        after: usize,
    ) -> Option<Archive> {
        if self.records.len() < after {
            return None;
        }
        let name = batch.to_string();
        let records = std::mem::take(&mut self.records);
        self.segments.push(SegmentRef {
            name: name.clone(),
            sealed_at: now,
        });
        Some(Archive {
            name,
            segment: Segment { records },
        })
    }

    /// Removes the segments that were sealed before `oldest`, and names them.
    pub(super) fn drop_segments(&mut self, oldest: Timestamp) -> Vec<String> {
        let kept = self
            .segments
            .iter()
            .position(|segment| segment.sealed_at >= oldest);
        let dropped = self.segments.drain(..kept.unwrap_or(self.segments.len()));
        dropped.map(|segment| segment.name).collect()
    }

    pub(super) fn push_batch(&mut self, id: BatchId) {
        self.batches.push(id);
        if self.batches.len() > REMEMBERED_BATCHES {
            self.batches.remove(0);
        }
    }
}

/// The log of a range as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeImage {
    /// Version of the head; `None` if it does not exist.
    pub version: Option<u64>,
    /// The head.
    pub head: Head,
    /// Content of the segments that the reader did not hold yet, oldest first.
    pub segments: Vec<Segment>,
}
