//! How a set of files becomes the accepted version.
//!
//! Acceptance is one conditional write of the root object. Operators who race get one winner.

mod plan;
mod root;

pub use plan::{AfterWrite, next_root, resolve_lost_answer};
pub use root::{PART_PREFIX, ROOT_NAME, RootContent, RootObject};
