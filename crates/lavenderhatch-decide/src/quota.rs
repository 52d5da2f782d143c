//! Limits of client accounts that hold over all daemons together.
//!
//! Each daemon is entitled to an equal share, 1/N, of each account's limit, where N is the number of
//! daemons with a record. It delegates its share to a coordinator under a lease, and borrows tokens
//! from the coordinators; a request of the account takes one token. A daemon that reaches no
//! coordinator uses its own share.
//!
//! - [`Borrower`]: the side of the daemon that receives requests.
//! - [`CoordinatorLedger`]: the side of the coordinator.
//! - [`DaemonSet`]: which daemons count, and which of them coordinate.
//! - [`QuotaBounds`]: what the platform allows beyond the limits.
//! - [`QuotaRequest`], [`QuotaResponse`]: the messages between both, independent of their encoding.
//!
//! # Why the limit holds
//!
//! Let r and b be rate and burst of an account, and the share of a coordinator the sum of the shares
//! that are leased to it. The sum of the shares of all coordinators and of all daemons that use
//! their own share is at most 1, because a daemon leases its share of a group of accounts to one
//! coordinator at a time, and neither uses it nor leases it to another one before the lease has
//! ended on the coordinator's clock. The lease ends [`LEASE`] after a lower bound of the
//! coordinator's time at which the message was sent, so a delayed message extends nothing.
//!
//! 1. Buckets with a share s gain r s tokens per second and hold at most (b + [`BURST_SLACK`]) s.
//!    Tokens are lost when s falls, and a share that moves brings none. All buckets together
//!    therefore hold at most b + 8 and gain at most r per second.
//! 2. A granted token is used or returned within [`TOKEN_LIFETIME`] (0.5 s) of its grant, because
//!    its life is counted from the time at which the request for it was sent. Returned tokens could
//!    accumulate, because the bucket has refilled in the meantime. So a bucket holds no more than
//!    (b + 8 + 0.5 r) s minus the tokens that may still be used or returned. Both together, the
//!    potential, are at most b + 8 + 0.5 r. Without returns this never limits a bucket.
//! 3. The uses in a window of 5 s are at most the potential at its start plus the gain:
//!    b + 8 + 0.5 r + 5 r = b + 5.5 r + 8. The bound is 1.1 b + 5.5 r + 20, so 12 requests and a
//!    tenth of the burst are left for daemons that briefly disagree on N.
//! 4. Tokens are whole, and only whole ones are granted, so rounding only lowers the uses. A daemon
//!    that uses its own share holds a whole number of tokens: burst plus slack is dealt out in whole
//!    units over the daemons by their rank for the account. Otherwise 72 daemons could hold a token
//!    each of an account with a burst of 2.

mod account_bucket;
mod account_demand;
mod account_id;
mod borrower;
mod coordinator_ledger;
mod daemon_set;
mod decision;
mod delegation;
mod link;
mod local_bucket;
mod message;
mod quota_bounds;
mod recent_max;
mod token;

use std::time::Duration;

pub use account_id::{AccountId, GROUPS, GroupSet};
pub use borrower::Borrower;
pub use coordinator_ledger::CoordinatorLedger;
pub use daemon_set::{DaemonSet, FleetView, MAX_COORDINATORS, daemon_id};
pub use decision::{Decision, Outgoing, Ticket, TicketOutcome};
pub use message::{AccountAsk, AccountGrant, Lease, QuotaRequest, QuotaResponse, ReturnedTokens};
pub use quota_bounds::{QuotaBounds, UnreachableBounds};
pub use token::Token;

/// Time for which a daemon delegates its share.
pub const LEASE: Duration = Duration::from_millis(1000);
/// Time for which a token is valid, from the time at which the request for it was sent.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Requests that an account may send at one time beyond its burst. The bound allows 20; the rest
/// covers daemons that briefly disagree on their number.
pub const BURST_SLACK: f64 = 8.0;
/// Longest time for which a request waits for a token.
pub const MAX_WAIT: Duration = Duration::from_millis(150);
