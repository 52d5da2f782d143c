//! Requests that crash the backend servers that run them.
//!
//! Load that it answers: a request that crashes each backend server that begins to run it, and that
//! callers send again and again to any daemon. A daemon sees the crashes of its own backend server
//! only, and the requests that were in progress there, most of which have nothing to do with it. The
//! daemons merge what they have seen. A request that was in progress in several crashes, and that no
//! backend server has answered since, is quarantined: no daemon runs it.
//!
//! - [`Fingerprint`]: tells requests that ask for the same.
//! - [`CrashId`]: tells crashes from each other.
//! - [`CrashRecord`]: what is known of a request that ran while backend servers crashed.
//! - [`CrashLedger`]: these records on one daemon.

mod crash_id;
mod crash_ledger;
mod crash_record;
mod fingerprint;

pub use crash_id::CrashId;
pub use crash_ledger::{CrashLedger, MAX_CRASH_RECORDS};
pub use crash_record::{CRASH_RETENTION, CRASHES_UNTIL_QUARANTINE, CrashRecord};
pub use fingerprint::Fingerprint;
