//! When a daemon that leaves for good may end.

use std::time::Duration;

/// Time for which peers may still send calls, because they have not heard of the leave. It covers
/// three heartbeats.
const PEER_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time after which callers that keep coming back are refused. Until then their calls are carried
/// to other backend servers.
const FORWARDING_TIME: Duration = Duration::from_secs(10);

/// What a daemon that leaves for good does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// Goes on: peers may not have heard yet.
    Wait,
    /// Ends if nothing is in flight.
    ExitIfIdle,
    /// Refuses all further requests, and ends once nothing is in flight.
    RefuseThenExit,
}

/// Decides what a daemon does `since_leave` after it was told to leave. Requests in flight are
/// never cut, however long they take.
pub fn evaluate_departure(since_leave: Duration, has_peers: bool) -> Departure {
    if has_peers && since_leave < PEER_NOTICE_TIME {
        return Departure::Wait;
    }
    match since_leave < FORWARDING_TIME {
        true => Departure::ExitIfIdle,
        false => Departure::RefuseThenExit,
    }
}
