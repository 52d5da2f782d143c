//! How a set of files becomes the accepted version.
//!
//! Acceptance is one conditional write of the root object. Operators who race get one winner.

mod parts;
mod plan;
mod root;

pub use parts::{
    Cleanup, MAX_INLINE_BYTES, PART_RETENTION, Part, PartMismatch, RetiredPart, check_part,
    plan_cleanup, split_parts,
};
pub use plan::{AfterWrite, next_root, resolve_lost_answer};
pub use root::{Acceptance, MAX_RECENT, PART_PREFIX, ROOT_NAME, RootContent, RootObject};
