//! Event-driven request path of the daemon.
//!
//! A request enters at the caller port of the caller's daemon. That daemon chooses a backend server
//! of the target service and sends the request to the daemon that runs next to it. Each port runs
//! on its own thread, which owns the port's connections. Threads share blackboard snapshots and
//! atomic counters and never wait for a controller.
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
//! - [`Blackboard`]: the blackboard sections that the request path reads.
//! - [`Relay`]: the running ports for callers and for other daemons.
//! - [`AdmissionGate`]: limits the concurrent requests at the local backend server.
//! - [`serve_http`]: a minimal HTTP server for other purposes, such as health checks.

mod admission_gate;
mod blackboard;
mod boot_clock;
mod byte_holding;
mod config;
mod connections;
mod exchange;
mod http_server;
mod io;
mod learnt_limit;
mod lifecycle;
mod log_rate_limiter;
mod logging;
mod metrics;
mod monotonic_clock;
mod quota;
mod relay;

pub use admission_gate::{AdmissionGate, Permit, ServiceTimeSample};
pub use blackboard::{
    AnnouncedDeparture, Blackboard, ConfigFreshness, Endpoint, EndpointSnapshot, EndpointStats,
    KnownRule, LocalVersion, NewestVersion, Quarantine, SectionWriters, VersionRules,
};
pub use boot_clock::BootClock;
pub use config::{HeaderNames, RelayConfig};
pub use exchange::{VERSIONS_PATH, VersionsQuestion};
pub use http_server::{HttpRequest, HttpResponse, serve_http};
pub use io::{
    ClientAnswer, ClientConn, ClientError, ClientPool, ClientTimeouts, ExchangeOptions, ParsedHead,
    RequestHead, bind_listener, parse_head,
};
pub use lifecycle::{LAST_REQUEST_TIME, Lifecycle};
pub use logging::init_logging;
pub use metrics::Metrics;
pub use monotonic_clock::MonotonicClock;
pub use relay::Relay;
