//! The `members` section: the members of the mesh that this daemon knows.

mod members;
mod record;

pub use members::{Members, ReportedVersion};
pub use record::{Incarnation, MemberRecord, MemberState};
