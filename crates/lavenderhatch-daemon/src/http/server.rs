//! Accepts connections of callers up to a limit and serves them.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use lavenderhatch_core::ErrorKind;
use tokio::io::{AsyncWriteExt, copy, sink};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Semaphore;
use tokio::task::block_in_place;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::flush::{FlushingIo, GuardedBody, UnflushedGuards};
use super::request::{HttpRequest, MAX_HEAD_BYTES, read_request};
use super::response::HttpResponse;

/// Number of threads that read requests and write answers.
///
/// While a handler blocks one of them, another thread takes its place.
const IO_THREADS: usize = 2;
/// Time after which a thread without work ends.
///
/// It is long because starting a thread during a call adds to the latency of the call.
const THREAD_KEEP_ALIVE: Duration = Duration::from_secs(300);
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 128;
/// Time within which a caller beyond the connection limit has to read its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay after a failed accept.
///
/// Without it, accept would fail again at once while the process has no file descriptors left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Answer of the kind `overloaded` to a caller beyond the connection limit.
///
/// It says "not run", because no request of the caller has been read.
const OVERLOADED_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    lavenderhatch-outcome: not-run\r\n\
    lavenderhatch-error: overloaded\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: 0\r\n\r\n";

/// Answers the requests that the server reads.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Guard of a request, which is held from the arrival of its head until its answer is flushed.
    type Guard: Send + Sync + Unpin + 'static;

    /// Creates the guard of a request whose head has arrived.
    fn enter(&self) -> Self::Guard;

    /// Returns the maximum size of a body, in bytes.
    fn max_body_bytes(&self) -> u64;

    /// Answers a request. May block.
    fn answer(&self, guard: &Self::Guard, req: &HttpRequest) -> HttpResponse;

    /// Creates the answer to a request that is refused because it could not be read.
    fn reject(&self, kind: ErrorKind, message: &str) -> HttpResponse;
}

/// A listening server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    addr: SocketAddr,
    /// Runtime whose threads serve the connections. `None` only while the server is dropped.
    runtime: Option<Runtime>,
}

impl HttpServer {
    /// Binds the address and serves at most `max_connections` connections at a time.
    pub(crate) fn bind<H: Handler>(
        addr: SocketAddr,
        max_connections: usize,
        idle_timeout: Duration,
        handler: H,
    ) -> Result<Self> {
        let listener = TcpListener::bind(addr).wrap_err_with(|| format!("cannot bind {addr}"))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(IO_THREADS)
            .max_blocking_threads(max_connections)
            .thread_keep_alive(THREAD_KEEP_ALIVE)
            .thread_name("caller")
            .enable_all()
            .build()?;
        let handler = Arc::new(handler);
        runtime.spawn(accept_all(listener, max_connections, idle_timeout, handler));
        let runtime = Some(runtime);
        Ok(Self { addr, runtime })
    }

    /// Returns the bound address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept_all<H: Handler>(
    listener: TcpListener,
    max_connections: usize,
    idle_timeout: Duration,
    handler: Arc<H>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return warn!("caller: cannot listen: {err}"),
    };
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!("caller: cannot accept: {err}");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => {
                let handler = Arc::clone(&handler);
                tokio::spawn(async move {
                    serve(stream, idle_timeout, handler).await;
                    drop(permit);
                });
            }
            Err(_) => {
                tokio::spawn(refuse_connection(stream));
            }
        }
    }
}

async fn refuse_connection(mut stream: TcpStream) {
    // Closing a socket with unread bytes resets the connection, and the caller may then lose the
    // answer. The bytes that it has sent are therefore read and discarded first.
    let _ = timeout(REFUSAL_TIMEOUT, async {
        stream.write_all(OVERLOADED_RESPONSE).await?;
        stream.shutdown().await?;
        copy(&mut stream, &mut sink()).await
    })
    .await;
}

async fn serve<H: Handler>(stream: TcpStream, idle_timeout: Duration, handler: Arc<H>) {
    if let Err(err) = stream.set_nodelay(true) {
        return debug!("caller: connection closed, TCP_NODELAY failed: {err}");
    }
    let unflushed = UnflushedGuards::new();
    let io = FlushingIo::new(TokioIo::new(stream), unflushed.clone());
    let service = service_fn(|req| answer(req, idle_timeout, &handler, &unflushed));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .half_close(true)
        .serve_connection(io, service)
        .await;
    if let Err(err) = served {
        debug!("caller: connection ended: {err}");
    }
}

async fn answer<H: Handler>(
    req: Request<Incoming>,
    idle_timeout: Duration,
    handler: &Arc<H>,
    unflushed: &UnflushedGuards<H::Guard>,
) -> Result<Response<GuardedBody<H::Guard>>, Infallible> {
    let guard = handler.enter();
    let read = read_request(req, handler.max_body_bytes(), idle_timeout).await;
    let res = match read {
        // `block_in_place` keeps the call on this thread, so that it costs no switch to another
        // thread. Another thread serves the other connections meanwhile.
        Ok(req) => block_in_place(|| handler.answer(&guard, &req)),
        Err((kind, message)) => HttpResponse {
            closes_connection: true,
            ..handler.reject(kind, message)
        },
    };
    Ok(res.into_hyper(|body| GuardedBody::new(body, guard, unflushed.clone())))
}
