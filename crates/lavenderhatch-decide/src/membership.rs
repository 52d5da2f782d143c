//! Group membership and failure detection.
//!
//! [`Membership`] is the state machine of one daemon. Messages from other members are passed to
//! [`Membership::receive`], and [`Membership::tick`] is called periodically and returns the
//! heartbeats to send. Nothing here connects to a member or reads the platform.

mod contacts;
mod detector;
mod gossip;
mod heartbeat;
mod join;
mod link;
mod rings;
mod state;
mod table;
mod tick;
mod version_reports;

pub use contacts::{CONTACTS_PREFIX, MAX_CONTACTS, contacts_name, contacts_with};
pub use detector::{CONFIRM_DELAY, MIN_OBSERVERS, SUSPECT_AFTER, ZONE_WINDOW};
pub use gossip::{GOSSIP_BYTES_PER_SECOND, MAX_GOSSIP_RECORDS};
pub use join::{JoinSchedule, isolated_interval, jittered, join_delay};
pub use rings::{Rings, reader_hash};
pub use state::{HeldVersion, Membership};
pub use table::MemberEvent;
pub use tick::{HEARTBEAT_INTERVAL, HeartbeatTarget, TickActions};
pub use version_reports::{
    STATUS_PREFIX, VersionReports, ZoneStatus, aggregator_of, group_count, status_name,
};
