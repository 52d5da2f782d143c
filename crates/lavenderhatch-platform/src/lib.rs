//! The platform's object API: a trait, an HTTP client, and an in-memory stand-in for tests, the
//! demonstration and benchmarks.
//!
//! ```
//! use lavenderhatch_core::Timestamp;
//! use lavenderhatch_platform::{Precondition, SimulatedStore};
//!
//! let mut store = SimulatedStore::default();
//! let now = Timestamp(1_000);
//! let version = store.put("mesh/root", b"{}", Precondition::Absent, now).unwrap();
//! assert_eq!(store.get("mesh/root", now).unwrap().unwrap().version, version);
//! ```
//!
//! - [`Platform`]: the object API that the daemon and the operator's tool use.
//! - [`HttpPlatform`]: the client of the API over HTTP.
//! - [`SimulatedStore`]: an in-memory object store with injected faults, whose clock is an
//!   argument.
//! - [`MemoryPlatform`]: a simulated store shared between the threads of one process.
//! - [`server`]: serves a simulated store over HTTP.
//! - [`ip_agent`]: an HTTP agent for hosts that are IP addresses.
//! - [`accept`]: accepts a mesh configuration by writing the root object.
//! - [`audit`]: reads and appends to audit trails.

pub mod accept;
pub mod audit;
mod client;
mod error;
mod faults;
mod memory;
mod object;
mod resolver;
pub mod server;
mod simulated_store;
mod traits;

pub use client::HttpPlatform;
pub use error::PlatformError;
pub use faults::Faults;
pub use memory::MemoryPlatform;
pub use object::{MAX_VALUE_BYTES, Object, ObjectMeta, Precondition};
pub use resolver::ip_agent;
pub use simulated_store::{CallCounts, SimulatedStore};
pub use traits::Platform;
