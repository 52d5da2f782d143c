//! The platform's object API: a trait, an HTTP client, and a stand-in for tests, the demonstration
//! and measurements.
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
//! - [`Platform`]: what the daemon and the operator's tool need of the platform.
//! - [`HttpPlatform`]: the platform over HTTP.
//! - [`SimulatedStore`]: objects in memory with injected faults, driven with the time as argument.
//! - [`MemoryPlatform`]: the store shared between threads of one process.
//! - [`server`]: the store served over HTTP.
//! - [`ip_agent`]: an HTTP client for hosts that are IP addresses.

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
