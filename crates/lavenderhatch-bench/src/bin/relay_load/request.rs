//! A simulated request.

use lavenderhatch_decide::relay::{Attempts, Demand, Ticket};

/// Current stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Between its daemon and a backend server, in either direction.
    InTransit,
    /// In the queue of a backend server, with its ticket if the queue is by rank.
    Waiting(Option<Ticket>),
    /// Holds a slot of a backend server.
    Running,
    /// Answered, refused, failed or expired.
    Ended,
}

/// A simulated request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Index in [`KINDS`](crate::pattern::KINDS).
    pub(crate) kind: usize,
    /// Daemon that received the request.
    pub(crate) daemon: usize,
    /// Time at which its caller first sent it, in milliseconds.
    pub(crate) first_sent: u64,
    /// Number of times that its caller has retried.
    pub(crate) caller_retries: u32,
    /// Request that makes this call, `None` for requests of callers.
    pub(crate) parent: Option<usize>,
    pub(crate) demand: Demand,
    pub(crate) attempts: Attempts,
    /// Backend servers that are not tried again.
    pub(crate) tried_servers: Vec<usize>,
    /// Backend servers without a free slot. The request may still be queued there.
    pub(crate) full_servers: Vec<usize>,
    /// Whether the current attempt may be queued.
    pub(crate) may_wait: bool,
    /// Backend server of the current attempt.
    pub(crate) server: usize,
    /// Start of the current attempt, in milliseconds.
    pub(crate) placed_at: u64,
    pub(crate) stage: Stage,
    /// Time at which it got its slot, in milliseconds.
    pub(crate) started_at: u64,
    /// Requests that were in progress at its backend server when it started, itself included.
    pub(crate) in_progress: u32,
    /// Calls that it still has to make.
    pub(crate) calls_left: u32,
    /// Call in progress.
    pub(crate) current_call: Option<usize>,
}
