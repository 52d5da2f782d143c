//! Controllers: threads that read and write the blackboard.
//!
//! A controller waits for its channels and a timer, calls the decision functions of
//! `lavenderhatch_decide`, and publishes the one section that it owns. Controllers depend on the
//! blackboard and never on each other.
//!
//! Three of the threads own no section, but call the platform: [`PlatformReader`] and
//! [`ZoneObjects`] exchange messages with the distribution and the membership controller, and
//! [`AuditPublisher`] stores the audit events of the blackboard.

mod audit;
mod audit_publisher;
mod distribution;
mod endpoint;
mod handle;
mod load;
mod membership;
mod monotonic_clock;
mod order;
mod order_io;
mod order_resends;
mod platform_reader;
mod stop;
mod zone_objects;

pub(crate) use platform_reader::platform_update_channel;

pub use audit::{AuditController, AuditReceiver, AuditSender};
pub use audit_publisher::AuditPublisher;
pub use distribution::DistributionController;
pub use endpoint::EndpointController;
pub use handle::ControllerHandle;
pub use load::LoadController;
pub use membership::MembershipController;
pub use order::OrderController;
pub use platform_reader::PlatformReader;
pub use stop::{LeaveSender, StopController};
pub use zone_objects::{ZoneJob, ZoneObjects};
