//! Shutdown of a daemon that leaves permanently.

use std::time::Duration;

/// Time after the start of the leave in which peers may still send calls, because they do not know
/// of it yet. It covers three heartbeats.
const PEER_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time after the start of the leave in which calls are still forwarded to other backend servers.
/// Later calls are refused, because some callers never stop sending.
const FORWARDING_TIME: Duration = Duration::from_secs(10);

/// Next step of a daemon that leaves permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// Keep running, because peers may not know of the leave yet.
    Wait,
    /// Exit if no request is in flight.
    ExitIfIdle,
    /// Refuse all further requests, and exit once no request is in flight.
    RefuseThenExit,
}

/// Decides the next step of a daemon that began to leave `since_leave` ago.
///
/// Requests in flight are never aborted, however long they take.
pub fn evaluate_departure(since_leave: Duration, has_peers: bool) -> Departure {
    if has_peers && since_leave < PEER_NOTICE_TIME {
        return Departure::Wait;
    }
    match since_leave < FORWARDING_TIME {
        true => Departure::ExitIfIdle,
        false => Departure::RefuseThenExit,
    }
}
