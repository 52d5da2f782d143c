//! A request of the model.

use lavenderhatch_decide::relay::{Attempts, Demand, Ticket};

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// On its way to a backend server or back.
    InTransit,
    /// In the queue of a backend server.
    Waiting(Option<Ticket>),
    /// In a slot of a backend server.
    Running,
    /// It has ended.
    Ended,
}

/// A request of the model.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    /// Where it came in.
    pub(crate) daemon: usize,
    /// When its caller first sent it, in milliseconds.
    pub(crate) first_sent: u64,
    /// Times that its caller has come back.
    pub(crate) caller_retries: u32,
    /// The request that makes this call.
    pub(crate) parent: Option<usize>,
    pub(crate) demand: Demand,
    pub(crate) attempts: Attempts,
    /// Backend servers that are not asked again.
    pub(crate) tried_servers: Vec<usize>,
    /// Backend servers that had no slot free. It may still wait there.
    pub(crate) full_servers: Vec<usize>,
    pub(crate) may_wait: bool,
    pub(crate) server: usize,
    /// When it was sent there, in milliseconds.
    pub(crate) placed_at: u64,
    pub(crate) stage: Stage,
    pub(crate) started_at: u64,
    pub(crate) calls_left: u32,
    /// The call in progress.
    pub(crate) current_call: Option<usize>,
}
