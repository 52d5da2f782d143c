//! At-most-once execution of orders.
//!
//! An order is a request on a route that is not idempotent. Its idempotency key decides where it
//! may run:
//!
//! - An issued key ([`IssuedKey`]) names the only incarnation of the only daemon that may run the
//!   order. That daemon keeps its orders in an [`ExecutionTable`].
//! - A key chosen by the caller is claimed in the log of its claim range before the order runs.
//!   [`RangeOwner`] batches claims into commits; [`RangeOwners`] tells which daemon owns a range.
//!
//! Range ownership only avoids write conflicts. Safety rests on two rules: a claim is granted only
//! after it was seen in the log, and an attempt runs at most once, on a grant that it is still
//! waiting for.

mod answer;
mod claim_table;
mod execution;
mod issued_key;
mod order_key;
mod owner;
mod range;
mod range_log;
mod used_keys;

pub use answer::{RECORDED_HEADER, answer_for_verdict, recorded_answer};
pub use claim_table::{ClaimState, ClaimTable};
pub use execution::{AttemptResult, BeginResult, ExecutionTable};
pub use issued_key::{ISSUED_KEY_PREFIX, IssuedKey, IssuedKeyError};
pub use order_key::{KeyOrigin, key_hash, request_digest};
pub use owner::{
    COMMIT_INTERVAL, Commit, CommitResult, OwnerCounts, OwnerView, RangeOwner, RangeStep,
};
pub use range::{RANGE_COUNT, RangeId, RangeOwners};
pub use range_log::{
    Attempt, BatchId, Head, LogRecord, RangeSnapshot, SealedSegment, Segment, SegmentRef,
};
