//! HTTP server of the simulated platform.
//!
//! | request | response |
//! |---|---|
//! | `GET /objects/NAME` | 200 with `ETag: VERSION`, or 404 |
//! | `GET /objects/NAME?seen=VERSION&timeout_ms=MS` | the same once the version differs, or 304 |
//! | `PUT /objects/NAME` with `If-None-Match: *` or `If-Match: VERSION` | 200 with `ETag`, or 412 |
//! | `DELETE /objects/NAME` with `If-Match: VERSION` | 204, or 412 |
//! | `GET /list?prefix=PREFIX` | 200 with a JSON list of names and versions |
//! | `PUT /faults` with JSON | 204; replaces the injected faults, or 400 |
//! | `GET /counts` | 200 with JSON; number of calls so far |
//!
//! Status 412 means that the precondition did not hold; the `ETag` is then the current version. A
//! write without a precondition gets status 428. The status is 429 for a call above the rate
//! limits, 413 for a value that is too large, and 503 during an outage. A response that is lost by
//! an injected fault is sent with status 500 and the header `answer-lost`, which the client reports
//! as a lost response.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::Error;
use lavenderhatch_core::ErrorKind;
use oxhttp::model::{Body, Request, Response};
use oxhttp::{ListeningServer, Server};

use crate::error::PlatformError;
use crate::memory::MemoryPlatform;
use crate::object::{MAX_VALUE_BYTES, Object, Precondition};
use crate::traits::Platform;

/// Maximum wait of one watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Status of the response that stands for a lost one. Clients check [`LOST_RESPONSE_HEADER`] first.
const LOST_RESPONSE_STATUS: u16 = 500;
/// Header that marks a response as lost by an injected fault.
pub(crate) const LOST_RESPONSE_HEADER: &str = "answer-lost";

/// A running HTTP server of the simulated platform.
pub struct PlatformServer {
    /// Owns the handles of the listening threads.
    _listening: ListeningServer,
    addr: SocketAddr,
}

impl PlatformServer {
    /// Binds the address and serves the objects of `platform` on its own threads.
    pub fn bind(addr: SocketAddr, platform: MemoryPlatform) -> Result<Self, Error> {
        let server = Server::new(move |req| serve(&platform, req))
            .bind(addr)
            .with_global_timeout(IDLE_TIMEOUT);
        let listening = server.spawn().map_err(|err| {
            Error::new(
                ErrorKind::Internal,
                format!("cannot listen on {addr}: {err}"),
            )
        })?;
        Ok(Self {
            _listening: listening,
            addr,
        })
    }

    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

fn serve(platform: &MemoryPlatform, req: &mut Request<Body>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let query = req.uri().query().unwrap_or("").to_owned();
    if let Some(name) = path.strip_prefix("/objects/") {
        return serve_object(platform, req, name, &query);
    }
    match (req.method().as_str(), path.as_str()) {
        ("GET", "/list") => {
            let prefix = query_value(&query, "prefix").unwrap_or("");
            match platform.list(prefix) {
                Ok(list) => json_response(&list),
                Err(err) => error_response(&err),
            }
        }
        ("GET", "/counts") => json_response(&platform.counts()),
        ("PUT", "/faults") => match read_body(req).map(|body| serde_json::from_slice(&body)) {
            Ok(Ok(faults)) => {
                platform.set_faults(faults);
                empty_response(204)
            }
            Ok(Err(err)) => text_response(400, &err.to_string()),
            Err(err) => text_response(400, &err.to_string()),
        },
        _ => empty_response(404),
    }
}

fn serve_object(
    platform: &MemoryPlatform,
    req: &mut Request<Body>,
    name: &str,
    query: &str,
) -> Response<Body> {
    match req.method().as_str() {
        "GET" => serve_get(platform, name, query),
        "PUT" => {
            let Some(precondition) = read_precondition(req) else {
                return text_response(428, "send If-Match or If-None-Match");
            };
            match read_body(req) {
                Ok(body) => match platform.put(name, &body, precondition) {
                    Ok(version) => etag_response(200, version, Body::empty()),
                    Err(err) => error_response(&err),
                },
                Err(err) => text_response(400, &err.to_string()),
            }
        }
        "DELETE" => match read_precondition(req) {
            Some(Precondition::Version(version)) => match platform.delete(name, version) {
                Ok(()) => empty_response(204),
                Err(err) => error_response(&err),
            },
            _ => text_response(428, "send If-Match"),
        },
        _ => empty_response(405),
    }
}

fn serve_get(platform: &MemoryPlatform, name: &str, query: &str) -> Response<Body> {
    let seen = query_value(query, "seen").and_then(|text| text.parse().ok());
    let Some(seen) = seen else {
        return match platform.get(name) {
            Ok(object) => object_response(object),
            Err(err) => error_response(&err),
        };
    };
    let millis = query_value(query, "timeout_ms").and_then(|text| text.parse().ok());
    let timeout = Duration::from_millis(millis.unwrap_or(1000)).min(MAX_WATCH_WAIT);
    match platform.watch(name, seen, timeout) {
        Ok(Some(object)) => object_response(Some(object)),
        Ok(None) => empty_response(304),
        Err(err) => error_response(&err),
    }
}

fn object_response(object: Option<Object>) -> Response<Body> {
    match object {
        Some(object) => etag_response(200, object.version, Body::from(object.value)),
        None => empty_response(404),
    }
}

fn error_response(err: &PlatformError) -> Response<Body> {
    match err {
        PlatformError::Conflict { current } => etag_response(412, *current, Body::empty()),
        PlatformError::TooLarge { .. } => text_response(413, &err.to_string()),
        PlatformError::RateLimited => text_response(429, &err.to_string()),
        PlatformError::Unreachable(_) => text_response(503, &err.to_string()),
        PlatformError::ResponseLost(_) | PlatformError::InvalidResponse(_) => {
            let mut res = text_response(LOST_RESPONSE_STATUS, "");
            res.headers_mut().insert(
                LOST_RESPONSE_HEADER,
                oxhttp::model::HeaderValue::from_static("1"),
            );
            res
        }
    }
}

fn read_precondition(req: &Request<Body>) -> Option<Precondition> {
    let header = |name: &str| {
        req.headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    if header("if-none-match") == Some("*") {
        return Some(Precondition::Absent);
    }
    let version = header("if-match")?.trim_matches('"').parse().ok()?;
    Some(Precondition::Version(version))
}

fn read_body(req: &mut Request<Body>) -> io::Result<Vec<u8>> {
    let mut buf = Vec::new();
    let limit = MAX_VALUE_BYTES as u64 + 1;
    req.body_mut().take(limit).read_to_end(&mut buf)?;
    Ok(buf)
}

fn query_value<'q>(query: &'q str, key: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

fn response(code: u16, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = oxhttp::model::StatusCode::from_u16(code).unwrap_or_default();
    res
}

fn empty_response(code: u16) -> Response<Body> {
    response(code, Body::empty())
}

fn text_response(code: u16, message: &str) -> Response<Body> {
    response(code, Body::from(message.to_owned()))
}

fn json_response(value: &impl serde::Serialize) -> Response<Body> {
    response(
        200,
        Body::from(serde_json::to_vec(value).unwrap_or_default()),
    )
}

fn etag_response(code: u16, version: u64, body: Body) -> Response<Body> {
    let mut res = response(code, body);
    if let Ok(tag) = oxhttp::model::HeaderValue::from_str(&format!("\"{version}\"")) {
        res.headers_mut().insert("etag", tag);
    }
    res
}
