//! Acceptance of a set of files as the new configuration version.
//!
//! A version is accepted by one conditional write of the root object. If several operators apply
//! sets at the same time, exactly one of them succeeds.

mod parts;
mod plan;
mod root;

pub use parts::{
    CleanupPlan, MAX_INLINE_BYTES, PART_RETENTION, Part, PartMismatch, RetiredPart, check_part,
    plan_cleanup, split_parts,
};
pub use plan::{WriteOutcome, next_root, resolve_lost_answer};
pub use root::{Acceptance, MAX_RECENT, PART_PREFIX, ROOT_NAME, RootContent, RootObject};
