//! An HTTP/1.1 client connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lavenderhatch_decide::relay::ByteUse;
use tokio::task::{JoinHandle, spawn_local};

use super::body_reader::{BodyError, BodyLimits, read_body};
use super::bounded_stream::{BoundedStream, ReadAllowance};
use super::client_error::ClientError;
use super::connect::{ClientTimeouts, connect};
use crate::byte_holding::SharedByteBudget;

/// A request with its whole body.
pub(crate) type OutgoingRequest = Request<Full<Bytes>>;

/// Bytes that may be read until the head of an answer is complete, interim answers included. More
/// than the client reads at once, as the body may begin in the same read.
const HEAD_ALLOWANCE: usize = 1024 * 1024;

/// Part of the announced keep-alive timeout within which an idle connection is reused. The rest
/// covers the time that a request takes to reach the server.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

/// An HTTP/1.1 client connection.
///
/// Dropping it closes the connection, which cancels a request in progress at the server.
#[derive(Debug)]
pub struct ClientConn {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    allowance: ReadAllowance,
    /// Time for which the idle connection is reused, derived from the server's `keep-alive` header.
    keep_alive_timeout: Option<Duration>,
}

impl ClientConn {
    /// Connects to a server.
    pub async fn connect(addr: SocketAddr, timeouts: &ClientTimeouts) -> Result<Self, ClientError> {
        let stream = connect(addr, timeouts).await;
        let stream = stream.map_err(ClientError::Connect)?;
        let allowance = ReadAllowance::default();
        allowance.set(HEAD_ALLOWANCE);
        let stream = BoundedStream::new(stream, allowance.clone());
        let (sender, conn) = handshake(TokioIo::new(stream))
            .await
            .map_err(ClientError::Exchange)?;
        let task = spawn_local(async move {
            // The request in progress gets the same error.
            let _ = conn.await;
        });
        Ok(Self {
            sender,
            task,
            allowance,
            keep_alive_timeout: None,
        })
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// If the request was not sent, it is returned along with the error.
    pub async fn send(
        &mut self,
        req: OutgoingRequest,
    ) -> Result<Response<Incoming>, (ClientError, Option<OutgoingRequest>)> {
        if self.sender.ready().await.is_err() {
            return Err((ClientError::NotSent, Some(req)));
        }
        self.allowance.set(HEAD_ALLOWANCE);
        match self.sender.try_send_request(req).await {
            Ok(res) => {
                self.keep_alive_timeout = keep_alive_timeout(&res);
                Ok(res)
            }
            Err(mut err) => match err.take_message() {
                Some(req) => Err((ClientError::NotSent, Some(req))),
                None => Err((ClientError::Exchange(err.into_error()), None)),
            },
        }
    }

    /// Reads the whole body of an answer, of at most `limit` bytes. Calls `on_progress` for each
    /// part that arrives.
    pub(super) async fn read_body(
        &self,
        res: Response<Incoming>,
        budget: &SharedByteBudget,
        limit: usize,
        on_progress: impl Fn(),
    ) -> Result<(Parts, Bytes), ClientError> {
        self.allowance.add(limit);
        let (parts, body) = res.into_parts();
        let limits = BodyLimits {
            byte_use: ByteUse::Answer,
            max_bytes: limit,
            idle_timeout: None,
        };
        let body = read_body(body, budget, limits, on_progress).await;
        let body = body.map_err(|err| match err {
            BodyError::TooLarge { limit } => ClientError::TooLarge { limit },
            BodyError::Failed(err) => ClientError::Exchange(err),
            BodyError::TimedOut => ClientError::TimedOut,
            BodyError::NoRoom(err) => ClientError::NoRoom(err.to_string()),
        })?;
        Ok((parts, body))
    }

    /// Whether another request can be sent.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns the longest idle time after which the connection may be reused: `limit`, or less if
    /// the server has announced less.
    pub(super) fn idle_limit(&self, limit: Duration) -> Duration {
        self.keep_alive_timeout
            .map_or(limit, |announced| limit.min(announced))
    }
}

impl Drop for ClientConn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn keep_alive_timeout(res: &Response<Incoming>) -> Option<Duration> {
    let value = res.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION))
}
