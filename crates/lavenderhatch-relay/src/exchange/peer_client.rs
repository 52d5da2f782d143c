//! Requests to the daemons of other backend servers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request};
use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::relay::current_until_by_answer;

use super::attempt::{AttemptResult, BackendAnswer, Failure, MAX_ANSWER_BYTES};
use super::call::Call;
use super::crash_headers::{read_crashes, write_crash_digest};
use super::hop_headers::remove_hop_headers;
use super::packed_headers::{pack, unpack};
use super::peer_headers::{
    read_failure, read_load, read_times, read_version, read_version_age, write_announced_body,
    write_call, write_version,
};
use super::versions::read_rule;
use crate::blackboard::{Blackboard, Endpoint};
use crate::boot_clock::BootClock;
use crate::byte_holding::SharedByteBudget;
use crate::io::{
    ClientAnswer, ClientError, ClientPool, ClientTimeouts, ExchangeOptions, OutgoingRequest,
    UNACKNOWLEDGED_TIMEOUT,
};
use crate::metrics::{Metrics, PeerTraffic};
use crate::monotonic_clock::MonotonicClock;

/// Timeout for a connection to another daemon. Packets travel between the zones of a region in a
/// few milliseconds; a daemon behind a network partition does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for which an idle connection is reused.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Size of a body from which another daemon is asked first, in bytes. The question has some 400 bytes
/// and takes the way to that daemon and back once more.
const LARGE_BODY_BYTES: usize = 8 * 1024;

/// What is sent to another daemon for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Message {
    /// The request with its body.
    Request,
    /// The question whether it would be taken.
    Inquiry,
}

/// Forwards requests to other daemons.
#[derive(Debug)]
pub(crate) struct PeerClient {
    pool: ClientPool,
    clock: MonotonicClock,
    blackboard: Blackboard,
    /// Availability zone of this daemon.
    zone: String,
    metrics: Metrics,
}

impl PeerClient {
    pub(crate) fn new(
        clock: MonotonicClock,
        blackboard: Blackboard,
        zone: &str,
        metrics: Metrics,
        budget: SharedByteBudget,
    ) -> Self {
        let timeouts = ClientTimeouts {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_LIMIT,
            unacknowledged: UNACKNOWLEDGED_TIMEOUT,
        };
        let pool = ClientPool::with_budget(timeouts, budget);
        Self {
            pool,
            clock,
            blackboard,
            zone: zone.to_owned(),
            metrics,
        }
    }

    /// Forwards a request and reads its answer.
    ///
    /// Dropping the future cancels the request.
    pub(crate) async fn run(&self, call: &Call, endpoint: &Endpoint) -> AttemptResult {
        if call.body.len() >= LARGE_BODY_BYTES && endpoint.accepts_packed_headers {
            self.inquire(call, endpoint).await?;
        }
        let req = self.request(call, endpoint, Message::Request);
        self.send(req, endpoint, call.body.len()).await
    }

    /// Asks whether a request would be taken, before its body is sent.
    ///
    /// A body that is sent to a full backend server holds up what shares the link of its machine,
    /// the configuration included. Nothing has run, whatever became of the question.
    async fn inquire(&self, call: &Call, endpoint: &Endpoint) -> Result<(), Failure> {
        let req = self.request(call, endpoint, Message::Inquiry);
        let answered = self.send(req, endpoint, 0).await;
        answered.map(drop).map_err(Failure::into_not_run)
    }

    async fn send(
        &self,
        req: OutgoingRequest,
        endpoint: &Endpoint,
        body_bytes: usize,
    ) -> AttemptResult {
        let mut traffic = PeerTraffic {
            is_remote: endpoint.zone != self.zone,
            outcome: "failed",
            sent: bytes_of(req.headers()) + body_bytes,
            received: 0,
        };
        let result = self.exchange(req, endpoint, &mut traffic).await;
        self.metrics.record_peer_traffic(&traffic);
        result
    }

    async fn exchange(
        &self,
        req: OutgoingRequest,
        endpoint: &Endpoint,
        traffic: &mut PeerTraffic,
    ) -> AttemptResult {
        let start = self.clock.now();
        let sent = BootClock.now();
        let options = ExchangeOptions {
            max_idle: IDLE_LIMIT,
            max_bytes: MAX_ANSWER_BYTES,
            is_reusable: |_: &Parts| true,
        };
        let answered = self.pool.exchange(endpoint.addr, req, options).await;
        let ClientAnswer {
            mut parts, body, ..
        } = answered.map_err(|err| self.failure_from(&err, endpoint))?;
        traffic.received = bytes_of(&parts.headers) + body.len();
        unpack(&mut parts.headers);
        self.record_version(&parts.headers, sent);
        let now = self.clock.now();
        read_rule(&parts.headers, &self.blackboard.version_rules, now);
        read_crashes(&parts.headers, &self.blackboard.quarantine, now);
        if let Some(load) = read_load(&parts.headers) {
            endpoint.stats.record_load(load, now);
        }
        let Some(times) = read_times(&parts.headers) else {
            traffic.outcome = "refused";
            return Err(read_failure(&parts.headers, &body));
        };
        traffic.outcome = "answered";
        remove_hop_headers(&mut parts.headers);
        Ok(BackendAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
            service_time: times.service_time,
            mean_service_time: times.mean_service_time,
            delay: self
                .clock
                .now()
                .since(start)
                .saturating_sub(times.time_at_daemon),
        })
    }

    /// Records the configuration version of another daemon and how old it is, from its answer to a
    /// request sent at `sent`.
    fn record_version(&self, headers: &HeaderMap, sent: Timestamp) {
        let Some(version) = read_version(headers) else {
            return;
        };
        self.blackboard.newest_version.report(version);
        let Some(age) = read_version_age(headers) else {
            return;
        };
        if self.blackboard.version() >= version {
            let until = current_until_by_answer(sent, age);
            self.blackboard.config_freshness.advance(until);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        self.pool.close_expired();
    }

    fn request(&self, call: &Call, endpoint: &Endpoint, message: Message) -> OutgoingRequest {
        let body = match message {
            Message::Request => call.body.clone(),
            Message::Inquiry => Bytes::new(),
        };
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.target.clone();
        *req.headers_mut() = call.headers.clone();
        write_call(call, req.headers_mut(), self.clock.now());
        write_version(req.headers_mut(), self.blackboard.version());
        write_crash_digest(req.headers_mut(), &self.blackboard.quarantine);
        if message == Message::Inquiry {
            write_announced_body(req.headers_mut(), call.body.len());
        }
        if endpoint.accepts_packed_headers {
            pack(req.headers_mut());
        }
        req
    }

    fn failure_from(&self, err: &ClientError, endpoint: &Endpoint) -> Failure {
        match err {
            ClientError::Connect(_) => {
                endpoint.stats.suspend_unreachable(self.clock.now());
                Failure::before_arrival(ErrorKind::NoBackend, err.to_string())
            }
            ClientError::NotSent => Failure::before_arrival(ErrorKind::NoBackend, err.to_string()),
            _ => Failure::after_arrival(ErrorKind::OutcomeUnknown, err.to_string()),
        }
    }
}

/// Returns the size of the headers of a message without their framing.
fn bytes_of(headers: &HeaderMap) -> usize {
    let headers = headers.iter();
    let of_headers =
        headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    of_headers.sum()
}
