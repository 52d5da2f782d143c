//! Decision logic of lavenderhatch.
//!
//! Nothing here does I/O, reads a clock or draws an unseeded random number: the current time and
//! random numbers are arguments. Any front end can drive this code by passing messages in and
//! sending the messages that come out.
//!
//! - [`acceptance`]: how a set of files becomes the accepted version.
//! - [`audit`]: the audit trail of a zone.
//! - [`crash`]: requests that crash the backend servers that run them.
//! - [`distribution`]: how an accepted version reaches each daemon.
//! - [`stops`]: when a backend server leaves for a planned stop or a signal.
//! - [`endpoints`]: which backend servers may be chosen, and with what weight.
//! - [`explain`]: why a call is sent to a backend server.
//! - [`membership`]: which daemons are members, and which of them have failed.
//! - [`rollout`]: how the requests of a service move to another version.
//! - [`routing`]: which backend server runs a call.
//! - [`orders`]: how an order runs at most once.
//! - [`quota`]: limits of client accounts that hold over all daemons together.
//! - [`ranks`]: which waiting call runs next, and how many calls run at the same time.
//! - [`relay`]: routing, queueing and retries on the event-driven request path.
//! - [`retry`]: which failed calls are retried.
//! - [`stable_hash`]: hashes on which all daemons agree.
//! - [`message`]: messages between daemons, independent of their encoding.

pub mod acceptance;
pub mod audit;
pub mod crash;
pub mod distribution;
pub mod endpoints;
pub mod explain;
pub mod membership;
pub mod message;
pub mod orders;
pub mod quota;
pub mod ranks;
pub mod relay;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod stable_hash;
pub mod stops;
