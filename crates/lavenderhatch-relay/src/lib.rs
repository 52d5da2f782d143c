//! The event-driven path of a request.
//!
//! A caller's request enters at the caller port of a daemon, is placed on a backend server of its
//! service, and reaches it through the daemon beside it. Each port has a thread of its own that owns
//! its connections. Threads share snapshots of the blackboard and atomic counters, and no thread
//! waits for a controller.
//!
//! ```no_run
//! # use lavenderhatch_relay::{Blackboard, Relay, RelayConfig};
//! # fn run(cfg: RelayConfig) -> eyre::Result<()> {
//! let (blackboard, writers) = Blackboard::new();
//! let relay = Relay::spawn(cfg, blackboard)?;
//! // Controllers publish routes, endpoints and reports through `writers`.
//! # let _ = (relay, writers);
//! # Ok(())
//! # }
//! ```
//!
//! - [`Blackboard`]: the sections of the blackboard that this path reads.
//! - [`Relay`]: the running ports for callers and for other daemons.
//! - [`AdmissionGate`]: the slots of the backend server beside this daemon.
//! - [`serve_http`]: a small port for other purposes, such as health checks.

mod admission_gate;
mod blackboard;
mod config;
mod exchange;
mod http_server;
mod io;
mod lifecycle;
mod log_rate_limiter;
mod logging;
mod metrics;
mod monotonic_clock;
mod relay;

pub use admission_gate::{AdmissionGate, HoldTimes, Permit};
pub use blackboard::{Blackboard, Endpoint, EndpointSnapshot, EndpointStats, SectionWriters};
pub use config::{HeaderNames, RelayConfig};
pub use http_server::{HttpRequest, HttpResponse, serve_http};
pub use io::{ClientConn, ClientError, ClientPool, ClientTimeouts, bind_listener};
pub use lifecycle::Lifecycle;
pub use logging::init_logging;
pub use metrics::Metrics;
pub use monotonic_clock::MonotonicClock;
pub use relay::Relay;
