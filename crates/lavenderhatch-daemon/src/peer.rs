//! Cap'n Proto RPC between daemons.
//!
//! capnp-rpc needs a single-threaded executor, so peer connections have their own threads. Other
//! threads exchange commands, requests and replies with them through channels.

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
    BeginOrder, BeginReply, DistributionRequest, FinishOrder, ForwardRequest, HeartbeatRequest,
    Inboxes, MemberRequest, OrderRequest, Reply,
};
pub use links::PeerLinks;
pub use port::PeerPort;
pub use traffic::{ControlBytes, ControlTraffic};
