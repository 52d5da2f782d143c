//! Accepts callers, one thread each, up to a limit.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, after, bounded};
use eyre::{Result, WrapErr};
use lavenderhatch_core::ErrorKind;
use tracing::{debug, warn};

use super::conn::Conn;
use super::fault::ReadFault;
use super::request::{HttpRequest, read_request};
use super::response::HttpResponse;

/// Callers beyond the limit that wait for their refusal. More are closed at once.
const REFUSAL_QUEUE: usize = 64;
/// Time for the refusal of a caller beyond the limit to be taken.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for which bytes are read and dropped after the last answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Wait after a failed accept, which fails again at once while file descriptors are short.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Answers requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Held from the first byte of a request until its answer is written.
    type Guard;

    /// Called when the first byte of a request has arrived.
    fn enter(&self) -> Self::Guard;

    /// Largest body, in bytes.
    fn max_body_bytes(&self) -> u64;

    /// Answers a request.
    fn answer(&self, guard: &Self::Guard, req: &HttpRequest) -> HttpResponse;

    /// The answer to what is no request, or is refused.
    fn refuse(&self, kind: ErrorKind, message: &str) -> HttpResponse;
}

/// A listening server. Its threads end with the process.
#[derive(Debug)]
pub(crate) struct HttpServer {
    addr: SocketAddr,
}

/// One of the connections that the limit allows.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HttpServer {
    /// Binds the address and answers at most `max_connections` callers at a time.
    pub(crate) fn bind<H: Handler>(
        addr: SocketAddr,
        max_connections: usize,
        idle_timeout: Duration,
        handler: H,
    ) -> Result<Self> {
        let listener = TcpListener::bind(addr).wrap_err_with(|| format!("cannot bind {addr}"))?;
        let addr = listener.local_addr()?;
        let handler = Arc::new(handler);
        let (refusals, refused) = bounded(REFUSAL_QUEUE);
        let refuser = Arc::clone(&handler);
        spawn("caller-refusal", move || refuse_all(&refused, &*refuser))?;
        let accept = move || {
            accept_all(
                &listener,
                max_connections,
                idle_timeout,
                &handler,
                &refusals,
            )
        };
        spawn("caller-accept", accept)?;
        Ok(Self { addr })
    }

    /// The bound address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(())
}

fn accept_all<H: Handler>(
    listener: &TcpListener,
    max_connections: usize,
    idle_timeout: Duration,
    handler: &Arc<H>,
    refusals: &Sender<TcpStream>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        let stream = match stream {
            Ok(stream) => stream,
            Err(err) => {
                warn!("caller: cannot accept: {err}");
                let _ = after(ACCEPT_BACKOFF).recv();
                continue;
            }
        };
        let before = open.fetch_add(1, Ordering::Relaxed);
        let slot = Slot(Arc::clone(&open));
        if before >= max_connections {
            let _ = refusals.try_send(stream);
            continue;
        }
        let handler = Arc::clone(handler);
        let serve = move || {
            serve(stream, idle_timeout, &*handler);
            drop(slot);
        };
        if let Err(err) = spawn("caller", serve) {
            warn!("caller: cannot start a thread: {err}");
        }
    }
}

fn refuse_all<H: Handler>(refused: &Receiver<TcpStream>, handler: &H) {
    for stream in refused {
        let Ok(mut conn) = Conn::open(stream, REFUSAL_TIMEOUT) else {
            continue;
        };
        let message = "the daemon has as many callers as it allows";
        let mut res = handler.refuse(ErrorKind::Overloaded, message);
        res.is_last = true;
        let _ = conn.write(&res.encode(false));
        conn.close(REFUSAL_TIMEOUT);
    }
}

fn serve<H: Handler>(stream: TcpStream, idle_timeout: Duration, handler: &H) {
    let mut conn = match Conn::open(stream, idle_timeout) {
        Ok(conn) => conn,
        Err(err) => return debug!("caller: closed at once: {err}"),
    };
    while conn.wait_for_request(idle_timeout) {
        match serve_request(&mut conn, handler) {
            Next::Request => {}
            Next::Close => return conn.close(LINGER_TIME),
            Next::Gone => return,
        }
    }
}

/// What follows an answer.
enum Next {
    /// Another request.
    Request,
    /// The end of the connection, which the caller was told of.
    Close,
    /// Nothing; the caller is gone.
    Gone,
}

fn serve_request<H: Handler>(conn: &mut Conn, handler: &H) -> Next {
    // Dropped after the answer is written.
    let guard = handler.enter();
    let mut is_head = false;
    let res = match read_request(conn, handler.max_body_bytes()) {
        Ok(req) => {
            is_head = req.method == "HEAD";
            let mut res = handler.answer(&guard, &req);
            res.is_last |= !req.is_persistent;
            res
        }
        Err(ReadFault::Gone) => return Next::Gone,
        Err(ReadFault::Refused(kind, message)) => HttpResponse {
            is_last: true,
            ..handler.refuse(kind, message)
        },
    };
    if conn.write(&res.encode(is_head)).is_err() {
        return Next::Gone;
    }
    match res.is_last {
        true => Next::Close,
        false => Next::Request,
    }
}
