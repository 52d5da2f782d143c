//! Headers that daemons add to the requests and answers they exchange.

use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use lavenderhatch_core::call::{ERROR_HEADER, RETRY_AFTER_HEADER};
use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::relay::Demand;

use super::attempt::Failure;
use super::call::Call;
use super::crash_headers::{CRASH_DIGEST, CRASHES};

const SERVICE: &str = "lavenderhatch-service";
/// Whether the request may run more than once.
const IDEMPOTENT: &str = "lavenderhatch-idempotent";
/// Service whose daemon received the request from the caller.
const CALLER: &str = "lavenderhatch-caller";
const CLASS: &str = "lavenderhatch-class";
const PRIORITY: &str = "lavenderhatch-priority";
const TIME_LEFT: &str = "lavenderhatch-time-left-ms";
/// Time left until the latency target of the request, in milliseconds.
const TARGET_LEFT: &str = "lavenderhatch-target-left-ms";
/// Whether a failed request reached a backend server.
const ARRIVED: &str = "lavenderhatch-arrived";
/// Requests that run or wait at the backend server.
const LOAD: &str = "lavenderhatch-load";
/// Time for which the request held its slot, in microseconds.
const SERVICE_TIME: &str = "lavenderhatch-service-us";
/// Mean service time of requests of the same class at the backend server, in microseconds.
const MEAN_SERVICE_TIME: &str = "lavenderhatch-mean-service-us";
/// Time that the request spent at the backend server's daemon, in microseconds.
const AT_DAEMON: &str = "lavenderhatch-at-daemon-us";
/// Configuration version that the sender has in force, zero if none.
const VERSION: &str = "lavenderhatch-version";
/// Age of the configuration that the sender has in force: every version that was acknowledged
/// earlier than this is in force or was superseded.
const VERSION_AGE: &str = "lavenderhatch-version-age-ms";
/// Whether the request may wait for a slot.
const MAY_WAIT: &str = "lavenderhatch-may-wait";

/// Present if the sender has chosen the version by the share of a rollout.
const VERSION_CHOSEN: &str = "lavenderhatch-version-chosen";

/// Size in bytes of the body of a request that is asked about before its body is sent.
const ANNOUNCED_BODY: &str = "lavenderhatch-announced-body";

/// The headers between daemons, in the order in which they are packed. New ones go to the end, so
/// that daemons of different releases read the same values.
pub(super) const PEER_HEADERS: &[&str] = &[
    SERVICE,
    IDEMPOTENT,
    CALLER,
    CLASS,
    PRIORITY,
    TIME_LEFT,
    TARGET_LEFT,
    MAY_WAIT,
    VERSION,
    VERSION_AGE,
    LOAD,
    SERVICE_TIME,
    MEAN_SERVICE_TIME,
    AT_DAEMON,
    ARRIVED,
    ERROR_HEADER,
    RETRY_AFTER_HEADER,
    ANNOUNCED_BODY,
    VERSION_CHOSEN,
    CRASH_DIGEST,
    CRASHES,
];

/// Properties of a request that another daemon sends in headers.
#[derive(Debug)]
pub(super) struct ForwardedCall {
    pub(super) service: String,
    pub(super) caller_service: HeaderValue,
    pub(super) is_idempotent: bool,
    pub(super) demand: Demand,
    pub(super) may_wait: bool,
    pub(super) is_version_chosen: bool,
}

/// Adds the headers that another daemon needs to run a request.
pub(super) fn write_call(call: &Call, headers: &mut HeaderMap, now: Timestamp) {
    insert(headers, SERVICE, &call.service);
    headers.insert(CALLER, call.caller_service.clone());
    insert(headers, IDEMPOTENT, &call.is_idempotent.to_string());
    insert(headers, CLASS, &call.demand.class.to_string());
    insert(headers, PRIORITY, &call.demand.priority.to_string());
    let time_left = call.time_left(now).as_millis().to_string();
    insert(headers, TIME_LEFT, &time_left);
    let target_left = call.demand.target_at.since(now).as_millis().to_string();
    insert(headers, TARGET_LEFT, &target_left);
    insert(headers, MAY_WAIT, &call.may_wait.to_string());
    if call.is_version_chosen {
        insert(headers, VERSION_CHOSEN, "1");
    }
}

/// Marks a request as a question whether it would be taken with a body of this size.
pub(super) fn write_announced_body(headers: &mut HeaderMap, bytes: usize) {
    insert(headers, ANNOUNCED_BODY, &bytes.to_string());
}

/// Returns the size of the body in bytes if a request only asks whether it would be taken. A size
/// that cannot be read counts as none.
pub(super) fn read_announced_body(headers: &HeaderMap) -> Option<u64> {
    let is_inquiry = headers.contains_key(ANNOUNCED_BODY);
    is_inquiry.then(|| read(headers, ANNOUNCED_BODY).unwrap_or(0))
}

/// Whether a request is one of a caller that another daemon forwards.
pub(super) fn is_forwarded_call(headers: &HeaderMap) -> bool {
    headers.contains_key(SERVICE)
}

/// Reads the headers that another daemon has added to a request. `None` if one is missing or
/// malformed.
pub(super) fn read_call(headers: &HeaderMap, now: Timestamp) -> Option<ForwardedCall> {
    let time_left = Duration::from_millis(read(headers, TIME_LEFT)?);
    let target_left = Duration::from_millis(read(headers, TARGET_LEFT)?);
    Some(ForwardedCall {
        service: read(headers, SERVICE)?,
        caller_service: headers.get(CALLER)?.clone(),
        is_idempotent: read(headers, IDEMPOTENT)?,
        demand: Demand {
            class: read(headers, CLASS)?,
            priority: read(headers, PRIORITY)?,
            arrived: now,
            target_at: now + target_left,
            deadline: now + time_left,
        },
        may_wait: read(headers, MAY_WAIT)?,
        is_version_chosen: headers.contains_key(VERSION_CHOSEN),
    })
}

/// Adds the configuration version that this daemon has in force.
pub(super) fn write_version(headers: &mut HeaderMap, version: u64) {
    insert(headers, VERSION, &version.to_string());
}

/// Reads the configuration version that the other daemon has in force, if present.
pub(super) fn read_version(headers: &HeaderMap) -> Option<u64> {
    read(headers, VERSION)
}

/// Adds the age of the configuration that this daemon has in force.
pub(super) fn write_version_age(headers: &mut HeaderMap, age: Duration) {
    insert(headers, VERSION_AGE, &age.as_millis().to_string());
}

/// Reads the age of the configuration that the other daemon has in force, if present.
pub(super) fn read_version_age(headers: &HeaderMap) -> Option<Duration> {
    read(headers, VERSION_AGE).map(Duration::from_millis)
}

/// Adds the load of the backend server to an answer.
pub(super) fn write_load(headers: &mut HeaderMap, load: u32) {
    insert(headers, LOAD, &load.to_string());
}

/// Reads the load of the backend server from an answer, if present.
pub(super) fn read_load(headers: &HeaderMap) -> Option<u32> {
    read(headers, LOAD)
}

/// Times that a daemon reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnswerTimes {
    /// Time for which the request held its slot.
    pub(super) service_time: Duration,
    /// Mean service time of requests of the same class at the backend server.
    pub(super) mean_service_time: Duration,
    /// Time at the backend server's daemon, from the head of the request to the answer.
    pub(super) time_at_daemon: Duration,
}

/// Adds the times to an answer.
pub(super) fn write_times(headers: &mut HeaderMap, times: &AnswerTimes) {
    let entries = [
        (SERVICE_TIME, times.service_time),
        (MEAN_SERVICE_TIME, times.mean_service_time),
        (AT_DAEMON, times.time_at_daemon),
    ];
    for (name, time) in entries {
        insert(headers, name, &time.as_micros().to_string());
    }
}

/// Reads the times from an answer. `None` if it does not come from a backend server.
pub(super) fn read_times(headers: &HeaderMap) -> Option<AnswerTimes> {
    let time = |name| read(headers, name).map(Duration::from_micros);
    Some(AnswerTimes {
        service_time: time(SERVICE_TIME)?,
        mean_service_time: time(MEAN_SERVICE_TIME)?,
        time_at_daemon: time(AT_DAEMON)?,
    })
}

/// Adds a failure to an answer.
pub(super) fn write_failure(headers: &mut HeaderMap, failure: &Failure) {
    insert(headers, ERROR_HEADER, failure.kind.as_str());
    insert(headers, ARRIVED, &u8::from(failure.has_arrived).to_string());
    let retry_after = failure.retry_after.as_millis().to_string();
    insert(headers, RETRY_AFTER_HEADER, &retry_after);
}

/// Reads a failure. If the headers are malformed, the outcome is unknown, because the request may
/// have run.
pub(super) fn read_failure(headers: &HeaderMap, reason: &[u8]) -> Failure {
    let name: Option<String> = read(headers, ERROR_HEADER);
    let kind = name.and_then(|name| {
        let mut kinds = ErrorKind::ALL.iter();
        kinds.find(|kind| kind.as_str() == name).copied()
    });
    Failure {
        kind: kind.unwrap_or(ErrorKind::OutcomeUnknown),
        has_arrived: read::<u8>(headers, ARRIVED) != Some(0),
        retry_after: Duration::from_millis(read(headers, RETRY_AFTER_HEADER).unwrap_or(0)),
        reason: String::from_utf8_lossy(reason).into_owned(),
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    // Values are numbers and validated names, so the conversion does not fail.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn read<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
