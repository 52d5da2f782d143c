//! Status, configuration and metrics over HTTP, for the operator's command-line tool.

mod port;
mod status;

pub use port::AdminPort;
pub use status::{DaemonStatus, MemberStatus};
