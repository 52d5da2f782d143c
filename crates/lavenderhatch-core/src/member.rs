//! The `members` section: what this daemon knows of all members.

mod members;
mod record;

pub use members::{Members, ReportedVersion};
pub use record::{Incarnation, MemberRecord, MemberState};
