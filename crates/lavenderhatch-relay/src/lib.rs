//! The event-driven path of a request.
//!
//! A caller's request enters at the caller port of a daemon, is placed on a backend server of its
//! service, and reaches it through the daemon beside it. Each port has a thread of its own that owns
//! its connections. Threads share snapshots of the blackboard and atomic counters, and no thread
//! waits for a controller.
//!
//! ```no_run
//! # use lavenderhatch_relay::{Board, Relay, RelayConfig};
//! # fn run(cfg: RelayConfig) -> eyre::Result<()> {
//! let (board, writers) = Board::open();
//! let relay = Relay::spawn(cfg, board)?;
//! // Controllers publish routes, endpoints and reports through `writers`.
//! # let _ = (relay, writers);
//! # Ok(())
//! # }
//! ```
//!
//! - [`Board`]: the sections of the blackboard that this path reads.
//! - [`Relay`]: the running ports for callers and for other daemons.
//! - [`Gate`]: the slots of the backend server beside this daemon.
//! - [`serve_http`]: a small port for other purposes, such as health checks.

mod board;
mod clock;
mod config;
mod exchange;
mod gate;
mod http_port;
mod io;
mod lifecycle;
mod log;
mod log_budget;
mod metrics;
mod relay;

pub use board::{Board, Endpoint, EndpointStats, EndpointView, Writers};
pub use clock::Clock;
pub use config::{HeaderNames, RelayConfig};
pub use gate::{Gate, Held, Permit};
pub use http_port::{PortRequest, PortResponse, serve_http};
pub use io::{ClientConn, ClientError, ClientPool, ClientTimeouts, bind};
pub use lifecycle::Lifecycle;
pub use log::open_log;
pub use metrics::Metrics;
pub use relay::Relay;
