//! Links to other daemons.
//!
//! capnp-rpc runs on a single-threaded executor, so peer connections have their own threads. Work
//! is handed over by channel in both directions.

mod command;
mod connection;
mod error;
mod inbox;
mod links;
mod port;
mod service;
mod traffic;

pub use command::{PeerCommand, PeerReply};
pub use error::PeerError;
pub use inbox::{
    BeginOrder, BeginReply, CarryJob, DistributionRequest, FinishOrder, HeartbeatRequest, Inboxes,
    MemberRequest, OrderRequest, Reply,
};
pub use links::PeerLinks;
pub use port::PeerPort;
pub use traffic::{ControlBytes, ControlTraffic};
