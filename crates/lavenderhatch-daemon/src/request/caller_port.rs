//! The port for callers.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::call::{
    CALL_ID_HEADER, CallAnswer, DEADLINE_HEADER, DEPTH_HEADER, ERROR_HEADER, Header, KEY_HEADER,
    OUTCOME_HEADER, RETRY_AFTER_HEADER, RETRY_HEADER, VERSION_HEADER,
};
use oxhttp::model::header::CONNECTION;
use oxhttp::model::{Body, HeaderName, HeaderValue, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};

use super::backend::{Backend, is_passed_on};
use super::path::{IncomingRequest, PeerCaller, RequestPath};

/// Largest body before a configuration is in force, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The bound port for callers. Its threads end with the process.
pub struct CallerPort {
    /// Kept so that the listening threads are tied to this handle.
    _listening: ListeningServer,
    addr: SocketAddr,
}

impl CallerPort {
    /// Binds the address and answers callers on one thread a connection.
    pub fn bind<B: Backend, L: PeerCaller>(
        addr: SocketAddr,
        max_connections: usize,
        idle_timeout: Duration,
        board: Blackboard,
        path: Arc<RequestPath<B, L>>,
    ) -> Result<Self> {
        let server = Server::new(move |req| answer(req, &board, &path))
            .bind(addr)
            .with_global_timeout(idle_timeout)
            .with_max_concurrent_connections(max_connections);
        let listening = server
            .spawn()
            .wrap_err_with(|| format!("cannot bind {addr}"))?;
        Ok(Self {
            _listening: listening,
            addr,
        })
    }

    /// The bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

fn answer<B: Backend, L: PeerCaller>(
    req: &mut Request<Body>,
    board: &Blackboard,
    path: &RequestPath<B, L>,
) -> Response<Body> {
    let guard = path.enter();
    let config = board.config.load();
    let limits = config.as_ref().as_ref().map(|config| config.mesh.limits());
    let max_body = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    let answer = match (&guard, read(req, max_body)) {
        (Ok(_), Ok(read)) => path.handle(&read.as_incoming(), &mut rand::random::<u64>),
        (Err(err), _) => CallAnswer::from_error(err.kind(), err.message()),
        (_, Err((kind, message))) => CallAnswer::from_error(kind, message),
    };
    let version = config.as_ref().as_ref().map(|config| config.version.0);
    let mut res = to_response(answer, version);
    if board.drains.load().is_leaving() {
        close_after(req, &mut res);
    }
    if let Ok(guard) = guard {
        // The server drops the response, and the guard with it, once the answer is written.
        res.extensions_mut().insert(Arc::new(guard));
    }
    res
}

/// Makes the server close the connection after this answer.
fn close_after(req: &mut Request<Body>, res: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(CONNECTION, close.clone());
    // oxhttp 0.3.3 announces what the answer says, but acts on what the request says.
    req.headers_mut().insert(CONNECTION, close);
}

/// A request, read whole.
struct ReadRequest {
    method: String,
    target: String,
    headers: Vec<Header>,
    body: Vec<u8>,
    key: Option<String>,
    deadline: Option<Duration>,
    depth: u8,
    call_id: Option<String>,
}

impl ReadRequest {
    fn as_incoming(&self) -> IncomingRequest<'_> {
        IncomingRequest {
            method: &self.method,
            target: &self.target,
            headers: &self.headers,
            body: &self.body,
            key: self.key.as_deref(),
            deadline: self.deadline,
            depth: self.depth,
            call_id: self.call_id.as_deref(),
        }
    }
}

type ReadFault = (ErrorKind, &'static str);

fn read(req: &mut Request<Body>, max_body: u64) -> Result<ReadRequest, ReadFault> {
    let headers = read_headers(req)?;
    let value = |name: &str| {
        let header = headers.iter().find(|header| header.name == name);
        header.map(|header| header.value.as_str())
    };
    let key = value(KEY_HEADER).map(str::to_owned);
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
    {
        return Err((
            ErrorKind::BadRequest,
            "an idempotency key has 1 to 255 bytes",
        ));
    }
    let deadline = parse_header(value(DEADLINE_HEADER))?.map(Duration::from_millis);
    let depth = parse_header(value(DEPTH_HEADER))?.unwrap_or(0);
    let call_id = value(CALL_ID_HEADER).map(str::to_owned);
    let target = req
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_owned();
    let method = req.method().as_str().to_owned();
    let body = read_body(req, max_body)?;
    Ok(ReadRequest {
        method,
        target,
        headers,
        body,
        key,
        deadline,
        depth,
        call_id,
    })
}

fn read_headers(req: &Request<Body>) -> Result<Vec<Header>, ReadFault> {
    let passed_on = req
        .headers()
        .iter()
        .filter(|(name, _)| is_passed_on(name.as_str()));
    let owned = passed_on.map(|(name, value)| {
        let value = value
            .to_str()
            .map_err(|_| (ErrorKind::BadRequest, "a header is not text"))?;
        Ok(Header {
            name: name.as_str().to_owned(),
            value: value.to_owned(),
        })
    });
    owned.collect()
}

fn parse_header<T: std::str::FromStr>(value: Option<&str>) -> Result<Option<T>, ReadFault> {
    let fault = (
        ErrorKind::BadRequest,
        "a header of lavenderhatch is not a number",
    );
    value
        .map(|text| text.parse().map_err(|_| fault))
        .transpose()
}

fn read_body(req: &mut Request<Body>, max_body: u64) -> Result<Vec<u8>, ReadFault> {
    let too_large = (
        ErrorKind::TooLarge,
        "the body is larger than the mesh allows",
    );
    if req.body().len().is_some_and(|len| len > max_body) {
        return Err(too_large);
    }
    let mut buf = Vec::new();
    let read = req.body_mut().take(max_body + 1).read_to_end(&mut buf);
    read.map_err(|_| (ErrorKind::BadRequest, "the body ended early"))?;
    if buf.len() as u64 > max_body {
        return Err(too_large);
    }
    Ok(buf)
}

fn to_response(answer: CallAnswer, version: Option<u64>) -> Response<Body> {
    let mut res = Response::new(Body::from(answer.body));
    *res.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut set = |name: &str, value: &str| {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            res.headers_mut().append(name, value);
        }
    };
    for header in &answer.headers {
        set(&header.name, &header.value);
    }
    set(OUTCOME_HEADER, answer.outcome.as_str());
    if let Some(kind) = answer.error {
        set(ERROR_HEADER, kind.as_str());
    }
    if let Some(millis) = answer.retry_after_ms {
        set("retry-after", &millis.div_ceil(1000).to_string());
        set(RETRY_AFTER_HEADER, &millis.to_string());
    }
    if answer.is_retry_exhausted {
        set(RETRY_HEADER, "exhausted");
    }
    if let Some(version) = version {
        set(VERSION_HEADER, &version.to_string());
    }
    res
}
