//! The port for callers.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming as IncomingBody;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::{ERROR_HEADER, OUTCOME_HEADER};
use lavenderhatch_core::routing::CallerLimits;
use lavenderhatch_decide::relay::ByteUse;
use tokio::net::TcpStream;
use tracing::debug;

use super::attempt::{Failure, RequestResult};
use super::call::CallerRequest;
use super::connection::{Disconnected, ServeResult, serve_connection, wait_for_shutdown};
use super::pipeline::{Pipeline, PipelinedRequest};
use super::port::Port;
use super::ready_answer::ReadyAnswer;
use super::router::Router;
use crate::blackboard::Blackboard;
use crate::connections::ConnectionSlot;
use crate::io::{BodyLimits, HeadLimits, ReadAhead, ServerStream, configure_stream, read_body};

/// Smallest limit on the read buffer of a connection, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Serves the connections of callers.
#[derive(Debug)]
pub(crate) struct CallerPort {
    router: Router,
}

impl CallerPort {
    pub(crate) fn new(router: Router) -> Rc<Self> {
        Rc::new(Self { router })
    }

    fn limits(&self) -> CallerLimits {
        let routing = self.router.blackboard.routing.load();
        let table = routing.as_ref().as_ref();
        table.map_or_else(CallerLimits::default, |table| table.limits)
    }

    /// Starts pipelined requests that are idempotent.
    ///
    /// Completes when the caller has closed the connection.
    async fn start_pipelined(self: &Rc<Self>, stream: &ServerStream, pipeline: &Pipeline) {
        while let ReadAhead::Request(head) = stream.read_ahead().await {
            if pipeline.has_capacity() {
                self.start_if_idempotent(head.req, pipeline);
            }
        }
    }

    /// Starts a pipelined request if it is idempotent.
    ///
    /// If the connection ends before the answer, the caller sends the request again, so one that
    /// may run only once must not be started early. While the daemon drains, none is started,
    /// because the connection ends after the answers to those that were.
    fn start_if_idempotent(self: &Rc<Self>, req: Request<()>, pipeline: &Pipeline) {
        let (parts, ()) = req.into_parts();
        let lifecycle = &self.router.blackboard.lifecycle;
        if lifecycle.is_draining() || !self.router.is_idempotent(&parts.headers, &parts.uri) {
            return;
        }
        let Some(guard) = lifecycle.track_request() else {
            return;
        };
        let (target, headers) = (parts.uri.clone(), parts.headers.clone());
        let port = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            match port.caller_request(parts, Bytes::new()) {
                Ok(request) => port.router.handle(request).await,
                Err(failure) => Err(failure),
            }
        });
        pipeline.push(PipelinedRequest::new(target, headers, task, guard));
    }

    async fn answer(
        &self,
        req: Request<IncomingBody>,
        stream: &ServerStream,
        pipeline: &Pipeline,
    ) -> ServeResult {
        let request_id = self.router.request_id(req.headers());
        if stream.has_ambiguous_length() {
            let failure = bad_request("the length of the request can be read in two ways");
            let guard = self.router.blackboard.lifecycle.track_request();
            let res = self.respond(Err(failure), pipeline);
            return Ok(ReadyAnswer::new(res, request_id, guard));
        }
        if let Some(started) = pipeline.take(req.uri(), req.headers()) {
            let (answer, guard) = started.answer().await.ok_or(Disconnected)?;
            let res = self.respond(answer, pipeline);
            return Ok(ReadyAnswer::new(res, request_id, guard));
        }
        let Some(guard) = self.router.blackboard.lifecycle.track_request() else {
            // Closes the connection without reading the request, so that the caller may safely send
            // it again.
            return Err(Disconnected);
        };
        let answer = match self.read_request(req).await {
            Ok(request) => {
                stream.request_read();
                self.router.handle(request).await
            }
            Err(failure) => Err(failure),
        };
        let res = self.respond(answer, pipeline);
        Ok(ReadyAnswer::new(res, request_id, Some(guard)))
    }

    async fn read_request(&self, req: Request<IncomingBody>) -> Result<CallerRequest, Failure> {
        let (parts, body) = req.into_parts();
        let mut request = self.caller_request(parts, Bytes::new())?;
        let limits = self.limits();
        let limits = BodyLimits {
            byte_use: ByteUse::CallerBody,
            max_bytes: limits.max_body_bytes,
            idle_timeout: Some(limits.idle_timeout),
        };
        let body = read_body(body, self.router.budget(), limits, || ());
        request.body = body.await.map_err(|err| Failure::unread_body(&err))?;
        Ok(request)
    }

    fn caller_request(&self, parts: Parts, body: Bytes) -> Result<CallerRequest, Failure> {
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
        Ok(CallerRequest {
            method: parts.method,
            target: target.map_err(|_| bad_request("the target is unreadable"))?,
            headers,
            body,
            arrived: self.router.clock.now(),
        })
    }

    /// Builds the response. While the daemon drains, the connection ends after the last request
    /// that was started.
    fn respond(&self, answer: RequestResult, pipeline: &Pipeline) -> Response<Full<Bytes>> {
        let mut res = match answer {
            Ok(answer) => {
                let mut res = Response::new(Full::new(answer.body));
                *res.status_mut() = answer.status;
                *res.headers_mut() = answer.headers;
                res
            }
            Err(failure) => self.failure_response(&failure),
        };
        if self.router.blackboard.lifecycle.is_draining() && pipeline.is_empty() {
            let headers = res.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }

    fn failure_response(&self, failure: &Failure) -> Response<Full<Bytes>> {
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
        let advises_retry = failure.kind.is_not_run() && table.retry.has_delay();
        if advises_retry {
            // Callers of this port accept fractional seconds in this header.
            let retry_after = format!(
                "{:.3}",
                self.router.advised_retry_after(failure).as_secs_f64()
            );
            if let Ok(retry_after) = HeaderValue::from_str(&retry_after) {
                headers.insert(RETRY_AFTER, retry_after);
            }
        }
        // Unread bytes of the request may remain on the connection.
        if matches!(
            failure.kind,
            ErrorKind::BadRequest | ErrorKind::TooLarge | ErrorKind::OutOfMemory
        ) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }
}

impl Port for CallerPort {
    fn blackboard(&self) -> &Blackboard {
        &self.router.blackboard
    }

    fn run_maintenance(&self) {
        self.router.run_maintenance();
    }

    async fn serve_stream(self: Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        if let Err(err) = configure_stream(&stream) {
            return debug!(error = %err, "caller: cannot configure a connection");
        }
        let lifecycle = &self.router.blackboard.lifecycle;
        let limits = self.limits();
        let max_lines = self.router.max_header_lines();
        let head_limits = HeadLimits {
            max_lines,
            timeout: limits.head_timeout,
        };
        let budget = self.router.budget().clone();
        let stream = ServerStream::new(stream, lifecycle, budget, slot, head_limits);
        let mut closed = lifecycle.watch_ports_closed();
        let pipeline = Rc::new(Pipeline::default());
        let answer = |req| {
            let port = Rc::clone(&self);
            let (stream, pipeline) = (stream.clone(), Rc::clone(&pipeline));
            async move {
                tokio::select! {
                    // Notices a disconnected caller before forwarding its request, even if this
                    // thread is running late.
                    biased;
                    () = port.start_pipelined(&stream, &pipeline) => Err(Disconnected),
                    res = port.answer(req, &stream, &pipeline) => res,
                }
            }
        };
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // An answer that has begun is sent whole, although the caller has ended its side of the
            // connection. `start_pipelined` notices that end while a request is in progress.
            .half_close(true)
            // Applies to the idle time between requests as well as to the head of a request.
            .header_read_timeout(limits.idle_timeout)
            .max_headers(max_lines)
            .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES));
        let shutdown = async {
            wait_for_shutdown(&stream, &mut closed).await;
            pipeline.wait_until_empty().await;
        };
        serve_connection(&builder, stream.clone(), lifecycle, shutdown, answer).await;
    }
}

fn bad_request(reason: &str) -> Failure {
    Failure::before_arrival(ErrorKind::BadRequest, reason)
}
