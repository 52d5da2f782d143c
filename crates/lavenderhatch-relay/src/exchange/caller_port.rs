//! The port for callers.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming as IncomingBody;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::{ERROR_HEADER, OUTCOME_HEADER};
use lavenderhatch_core::routing::CallerLimits;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use super::attempt::Failure;
use super::connection::{Answer, Disconnected, serve_connection};
use super::origin::{Incoming, Origin, OriginAnswer};
use super::pipeline::Pipeline;
use super::port::Port;
use crate::blackboard::Blackboard;
use crate::io::{Ahead, CallerStream, set_keepalive};

/// Least size of the buffer for the head of a request.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Answers callers.
#[derive(Debug)]
pub(crate) struct CallerPort {
    origin: Origin,
}

impl CallerPort {
    pub(crate) fn new(origin: Origin) -> Rc<Self> {
        Rc::new(Self { origin })
    }

    fn limits(&self) -> CallerLimits {
        let routing = self.origin.blackboard.routing.load();
        let table = routing.as_ref().as_ref();
        table.map_or_else(CallerLimits::default, |table| table.limits)
    }

    /// Starts idempotent requests that the caller sends without waiting for the answer. Completes
    /// when the caller has closed the connection.
    async fn look_ahead(self: &Rc<Self>, stream: &CallerStream, pipeline: &Pipeline) {
        while let Ahead::Request(head) = stream.ahead().await {
            if pipeline.has_room() {
                self.start(head.req, pipeline);
            }
        }
    }

    /// Starts a request unless it may run only once: the caller sends it again if the connection
    /// ends before its answer.
    fn start(self: &Rc<Self>, req: Request<()>, pipeline: &Pipeline) {
        let (parts, ()) = req.into_parts();
        if !self.origin.is_idempotent(&parts.headers, &parts.uri) {
            return;
        }
        let Some(guard) = self.origin.blackboard.lifecycle.track_request() else {
            return;
        };
        let (target, headers) = (parts.uri.clone(), parts.headers.clone());
        let port = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            let answer = match port.incoming(parts, Bytes::new()) {
                Ok(incoming) => port.origin.answer(incoming).await,
                Err(failure) => Err(failure),
            };
            drop(guard);
            answer
        });
        pipeline.push(target, headers, task);
    }

    async fn answer(
        &self,
        req: Request<IncomingBody>,
        stream: &CallerStream,
        pipeline: &Pipeline,
    ) -> Answer {
        if stream.is_ambiguous() {
            let failure = bad_request("the length of the request can be read in two ways");
            return Ok(self.respond(Err(failure)));
        }
        let Some(_guard) = self.origin.blackboard.lifecycle.track_request() else {
            // The connection ends unread, so that the caller may send the request again.
            return Err(Disconnected);
        };
        if let Some(started) = pipeline.take(req.uri(), req.headers()) {
            let answer = started.answer().await.ok_or(Disconnected)?;
            return Ok(self.respond(answer));
        }
        let answer = match self.read(req).await {
            Ok(incoming) => self.origin.answer(incoming).await,
            Err(failure) => Err(failure),
        };
        Ok(self.respond(answer))
    }

    async fn read(&self, req: Request<IncomingBody>) -> Result<Incoming, Failure> {
        let (parts, body) = req.into_parts();
        let mut incoming = self.incoming(parts, Bytes::new())?;
        let limits = self.limits();
        let read = Limited::new(body, limits.max_body_bytes).collect();
        incoming.body = match timeout(limits.idle_timeout, read).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
                let reason = format!("the body has more than {} bytes", limits.max_body_bytes);
                return Err(Failure::not_arrived(ErrorKind::TooLarge, reason));
            }
            Ok(Err(err)) => return Err(bad_request(&format!("the body cannot be read: {err}"))),
            Err(_) => return Err(bad_request("the body did not arrive in time")),
        };
        Ok(incoming)
    }

    fn incoming(&self, parts: Parts, body: Bytes) -> Result<Incoming, Failure> {
        let mut headers = parts.headers;
        if let Some(authority) = parts.uri.authority() {
            let host = HeaderValue::from_str(authority.as_str());
            headers.insert(
                HOST,
                host.map_err(|_| bad_request("the host is unreadable"))?,
            );
        }
        let target = parts.uri.path_and_query().map(|target| target.as_str());
        let target = target.unwrap_or("/").parse();
        Ok(Incoming {
            method: parts.method,
            target: target.map_err(|_| bad_request("the target is unreadable"))?,
            headers,
            body,
            arrived: self.origin.clock.now(),
        })
    }

    fn respond(&self, answer: OriginAnswer) -> Response<Full<Bytes>> {
        let mut res = match answer {
            Ok(answer) => {
                let mut res = Response::new(Full::new(answer.body));
                *res.status_mut() = answer.status;
                *res.headers_mut() = answer.headers;
                res
            }
            Err(failure) => self.refuse(&failure),
        };
        if self.origin.blackboard.lifecycle.is_draining() {
            let headers = res.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }

    fn refuse(&self, failure: &Failure) -> Response<Full<Bytes>> {
        let table = failure.kind.response();
        let text = format!("{}: {}\n", failure.kind, failure.reason);
        let mut res = Response::new(Full::new(Bytes::from(text)));
        let status = StatusCode::from_u16(table.status);
        *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = res.headers_mut();
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(table.outcome.as_str()),
        );
        headers.insert(
            ERROR_HEADER,
            HeaderValue::from_static(failure.kind.as_str()),
        );
        let is_refusal = failure.kind.is_not_run() && table.retry.has_delay();
        if is_refusal {
            // Callers of this port accept fractions of a second.
            let advice = format!("{:.3}", self.origin.advice(failure).as_secs_f64());
            if let Ok(advice) = HeaderValue::from_str(&advice) {
                headers.insert(RETRY_AFTER, advice);
            }
        }
        // The rest of the request may be unread.
        if matches!(failure.kind, ErrorKind::BadRequest | ErrorKind::TooLarge) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }
}

impl Port for CallerPort {
    fn blackboard(&self) -> &Blackboard {
        &self.origin.blackboard
    }

    fn sweep(&self) {
        self.origin.sweep();
    }

    async fn serve_stream(self: Rc<Self>, stream: TcpStream) {
        if let Err(err) = set_keepalive(&stream) {
            return debug!(error = %err, "caller: cannot set up a connection");
        }
        let stream = CallerStream::new(stream);
        let closed = self.origin.blackboard.lifecycle.watch_ports_closed();
        let pipeline = Rc::new(Pipeline::default());
        let answer = |req| {
            let port = Rc::clone(&self);
            let (stream, pipeline) = (stream.clone(), Rc::clone(&pipeline));
            async move {
                tokio::select! {
                    // A caller that has left is seen before its request is sent on, also when this
                    // thread is late.
                    biased;
                    () = port.look_ahead(&stream, &pipeline) => Err(Disconnected),
                    res = port.answer(req, &stream, &pipeline) => res,
                }
            }
        };
        let limits = self.limits();
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // Covers the idle time between requests as well as the head of a request.
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES));
        serve_connection(&builder, stream.clone(), closed, answer).await;
    }
}

fn bad_request(reason: &str) -> Failure {
    Failure::not_arrived(ErrorKind::BadRequest, reason)
}
