//! Carries out the limits of client accounts.
//!
//! [`QuotaClient`] obtains tokens for the requests of this daemon's callers, on the thread of the
//! caller port. [`QuotaServer`] answers the messages of other daemons, and of this one, on the thread
//! of the peer port. The decisions are in `lavenderhatch_decide::quota`. While no account in the
//! configuration in force has a limit, nothing is sent.

mod codec;
mod last_seen;
mod limits_in_force;
mod metrics;
mod quota_client;
mod quota_server;
mod waiting_requests;

pub(crate) use metrics::QuotaMetrics;
pub(crate) use quota_client::QuotaClient;
pub(crate) use quota_server::QuotaServer;

/// Path of the messages, on the port for other daemons.
pub(crate) const QUOTA_PATH: &str = "/lavenderhatch/quota";

/// Largest size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
