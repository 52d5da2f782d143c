//! The port at which other daemons hand over requests.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use lavenderhatch_core::{ErrorKind, Timestamp};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use super::attempt::{Attempt, Failure};
use super::backend_leg::BackendLeg;
use super::call::Call;
use super::connection::{Answer, Disconnected, serve_connection};
use super::hop_headers::remove_hop_headers;
use super::peer_headers::{
    AnswerTimes, HandedOver, read_call, write_failure, write_load, write_times,
};
use super::port::Port;
use super::request_log::RequestLog;
use crate::blackboard::Blackboard;
use crate::io::{Ahead, CallerStream, set_keepalive};
use crate::metrics::Metrics;

/// Runs requests of other daemons on the backend server beside this one.
#[derive(Debug)]
pub(crate) struct PeerPort {
    backend: BackendLeg,
    log: RequestLog,
}

impl PeerPort {
    pub(crate) fn new(backend: BackendLeg, metrics: Metrics) -> Rc<Self> {
        let log = RequestLog::new(backend.blackboard.clone(), metrics);
        Rc::new(Self { backend, log })
    }

    async fn answer(&self, req: Request<Incoming>) -> Answer {
        let Some(_guard) = self.backend.blackboard.lifecycle.track_request() else {
            let failure = Failure::not_arrived(ErrorKind::Leaving, "this daemon is leaving");
            return Ok(self.respond(Err(failure)));
        };
        let now = self.backend.clock.now();
        let Some(handed_over) = read_call(req.headers(), now) else {
            let reason = "a header of the hand-over is missing";
            let failure = Failure::not_arrived(ErrorKind::BadRequest, reason);
            return Ok(self.respond(Err(failure)));
        };
        let limit = handed_over.demand.expires_at.since(now);
        let call = self.read(req, handed_over).await?;
        let attempt = match timeout(limit, self.backend.run(&call)).await {
            Ok(attempt) => attempt,
            Err(_) => Err(Failure::arrived(
                ErrorKind::DeadlinePassed,
                "the deadline passed at the backend server",
            )),
        };
        let (now, load) = (self.backend.clock.now(), self.backend.gate.load());
        self.log.handed_over(&call, &attempt, load, now);
        Ok(self.respond_since(call.demand.arrived, attempt))
    }

    async fn read(
        &self,
        req: Request<Incoming>,
        handed_over: HandedOver,
    ) -> Result<Call, Disconnected> {
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map_err(|_| Disconnected)?.to_bytes();
        let mut headers = parts.headers;
        remove_hop_headers(&mut headers);
        let request_id = headers.get(self.backend.request_id_name()).cloned();
        Ok(Call {
            method: parts.method,
            target: parts.uri,
            headers,
            body,
            request_id: request_id.unwrap_or_else(|| HeaderValue::from_static("")),
            caller_service: handed_over.caller_service,
            service: handed_over.service,
            is_idempotent: handed_over.is_idempotent,
            demand: handed_over.demand,
            may_wait: handed_over.may_wait,
        })
    }

    fn respond(&self, attempt: Attempt) -> Response<Full<Bytes>> {
        self.respond_since(self.backend.clock.now(), attempt)
    }

    /// The answer to a request that has come at `arrived`.
    fn respond_since(&self, arrived: Timestamp, attempt: Attempt) -> Response<Full<Bytes>> {
        let mut res = match attempt {
            Ok(answer) => {
                let mut res = Response::new(Full::new(answer.body));
                *res.status_mut() = answer.status;
                *res.headers_mut() = answer.headers;
                let times = AnswerTimes {
                    service: answer.service,
                    mean_service: answer.mean_service,
                    at_daemon: self.backend.clock.now().since(arrived),
                };
                write_times(res.headers_mut(), &times);
                res
            }
            Err(failure) => {
                let mut res = Response::new(Full::new(Bytes::from(failure.reason.clone())));
                let status = StatusCode::from_u16(failure.kind.response().status);
                *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                write_failure(res.headers_mut(), &failure);
                res
            }
        };
        write_load(res.headers_mut(), self.backend.gate.load());
        res
    }
}

impl Port for PeerPort {
    fn blackboard(&self) -> &Blackboard {
        &self.backend.blackboard
    }

    fn sweep(&self) {
        self.backend.sweep();
    }

    async fn serve_stream(self: Rc<Self>, stream: TcpStream) {
        if let Err(err) = set_keepalive(&stream) {
            return debug!(error = %err, "peer: cannot set up a connection");
        }
        let stream = CallerStream::new(stream);
        let closed = self.backend.blackboard.lifecycle.watch_ports_closed();
        let answer = |req| {
            let port = Rc::clone(&self);
            let stream = stream.clone();
            async move {
                tokio::select! {
                    // A daemon that has given the request up is seen before it is sent on.
                    biased;
                    () = disconnected(&stream) => Err(Disconnected),
                    res = port.answer(req) => res,
                }
            }
        };
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        serve_connection(&builder, stream.clone(), closed, answer).await;
    }
}

/// Completes when the other daemon has closed the connection. Daemons send one request at a time.
async fn disconnected(stream: &CallerStream) {
    while let Ahead::Request(_) = stream.ahead().await {}
}
