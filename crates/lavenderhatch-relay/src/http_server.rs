//! A minimal HTTP server for requests that are not relayed, such as health checks.

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tracing::debug;

use crate::io::{accept_loop, configure_stream};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout for reading a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its whole body.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method, target and headers.
    pub head: Parts,
    /// Whole body.
    pub body: Bytes,
}

/// A response with its whole body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Serves requests on the current thread until `closed` becomes true.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    closed: watch::Receiver<bool>,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let handler = Rc::new(handler);
    accept_loop(listener, closed, move |stream| {
        serve_stream(stream, Rc::clone(&handler))
    })
    .await
}

async fn serve_stream<H, F>(stream: TcpStream, handler: Rc<H>)
where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    if let Err(err) = configure_stream(&stream) {
        return debug!(error = %err, "port: cannot configure a connection");
    }
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(req, &*handler).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(err) = served {
        debug!(error = %err, "port: connection failed");
    }
}

async fn answer<H, F>(req: Request<Incoming>, handler: &H) -> HttpResponse
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    let (head, body) = req.into_parts();
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let body = body.to_bytes();
            handler(HttpRequest { head, body }).await
        }
        Err(err) => {
            debug!(error = %err, "port: cannot read a request body");
            let mut res = Response::new(Full::default());
            *res.status_mut() = StatusCode::BAD_REQUEST;
            res
        }
    }
}
