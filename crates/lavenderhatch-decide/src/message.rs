//! Messages between daemons, independent of their encoding.

mod claim;
mod hello;
mod update;

pub use claim::{Claim, ClaimVerdict, OutcomeRecord, RecordedOutcome};
pub use hello::{HeldReport, Hello, Suspicion};
pub use update::{Delta, Update, UpdateRequest, Whole};
