//! Routes by host and path prefix, for lookups on the request path.

mod caller_limits;
mod client_account;
mod host_route;
mod host_route_table;

pub use caller_limits::CallerLimits;
pub use client_account::{AccountLimit, AccountTable, ClientAccount, SharedKey};
pub use host_route::{HostRoute, WeightedService};
pub use host_route_table::HostRouteTable;
