//! Core types of lavenderhatch: validated names, versions, the mesh model, the closed list of error
//! kinds, and the blackboard through which controllers share state.
//!
//! ```
//! use lavenderhatch_core::blackboard::section;
//!
//! let (writer, reader) = section(1);
//! writer.publish(2);
//! assert_eq!(**reader.load(), 2);
//! ```
//!
//! - [`names`]: validated names of backend servers, zones, services, routes, ranks and stops.
//! - [`mesh`]: the configuration that operators write, validated as a whole.
//! - [`routing`]: routes by host and path prefix.
//! - [`error_kind`]: error kinds and the response for each kind.
//! - [`blackboard`]: sections with one writer each, published by read-copy-update.
//! - [`member`], [`endpoint`], [`drain`], [`load`], [`claims`], [`audit`]: the types that the
//!   sections hold.

pub mod audit;
pub mod blackboard;
pub mod call;
pub mod claims;
pub mod config;
pub mod digest;
pub mod drain;
pub mod endpoint;
pub mod error;
pub mod error_kind;
pub mod load;
pub mod member;
pub mod mesh;
pub mod names;
pub mod routing;
pub mod timestamp;
pub mod version;

pub use config::ConfigSnapshot;
pub use digest::Digest;
pub use error::Error;
pub use error_kind::ErrorKind;
pub use member::{Incarnation, MemberRecord, MemberState};
pub use mesh::Mesh;
pub use names::{NodeId, RankName, Region, RouteName, ServiceName, StopName, Zone};
pub use timestamp::Timestamp;
pub use version::Version;
