//! The HTTP port for administration.
//!
//! | request | answer |
//! |---|---|
//! | `GET /status` | [`DaemonStatus`] as JSON |
//! | `GET /config` | version and mesh in force as JSON, or 503 if there is none |
//! | `GET /audit` | recent audit events of this daemon as JSON |
//! | `GET /explain/route/NAME` | how the backend servers of a route are chosen, as JSON |
//! | `GET /explain/call/ID` | the reason for the answer to a recent call, as JSON |
//! | `GET /metrics` | metrics in the text format of Prometheus |

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use lavenderhatch_core::NodeId;
use lavenderhatch_core::audit::AuditLog;
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_decide::explain::{ChoiceView, explain_call, explain_route};
use oxhttp::model::{Body, HeaderValue, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};
use serde::Serialize;

use super::status::DaemonStatus;
use crate::metrics::Telemetry;
use crate::peer::ControlTraffic;

/// Maximum number of connections at the same time.
const MAX_CONNECTIONS: usize = 32;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The bound port for administration. Its threads end with the process.
pub struct AdminPort {
    /// Handles of the listening threads, which keep running when these are dropped.
    _listening: ListeningServer,
}

impl AdminPort {
    /// Binds the address and answers requests on threads of its own.
    pub fn bind(
        addr: SocketAddr,
        node: NodeId,
        board: Blackboard,
        telemetry: Arc<Telemetry>,
        traffic: ControlTraffic,
    ) -> Result<Self> {
        let server = Server::new(move |req| answer(req, &node, &board, &telemetry, &traffic))
            .bind(addr)
            .with_global_timeout(IDLE_TIMEOUT)
            .with_max_concurrent_connections(MAX_CONNECTIONS);
        let listening = server
            .spawn()
            .wrap_err_with(|| format!("cannot bind {addr}"))?;
        Ok(Self {
            _listening: listening,
        })
    }
}

fn answer(
    req: &Request<Body>,
    node: &NodeId,
    board: &Blackboard,
    telemetry: &Telemetry,
    traffic: &ControlTraffic,
) -> Response<Body> {
    let path = req.uri().path();
    if let ("GET", Some(subject)) = (req.method().as_str(), path.strip_prefix("/explain/")) {
        return explain_response(subject, node, board, telemetry);
    }
    match (req.method().as_str(), path) {
        ("GET", "/status") => {
            let platform = telemetry.platform.status();
            json_response(&DaemonStatus::from_board(
                node,
                board,
                platform,
                traffic.bytes(),
            ))
        }
        ("GET", "/config") => config_response(board),
        ("GET", "/audit") => json_response(&AuditLog::clone(&board.audit.load())),
        ("GET", "/metrics") => metrics_response(board, telemetry, traffic),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn config_response(board: &Blackboard) -> Response<Body> {
    let config = board.config.load();
    let Some(config) = config.as_ref() else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    json_response(&serde_json::json!({
        "version": config.version,
        "digest": config.digest(),
        "mesh": config.mesh.spec(),
    }))
}

fn explain_response(
    subject: &str,
    node: &NodeId,
    board: &Blackboard,
    telemetry: &Telemetry,
) -> Response<Body> {
    let config = board.config.load();
    let config = config.as_ref().as_ref();
    let endpoints = board.endpoints.load();
    let members = board.members.load();
    let Some(member) = members.get(node.as_str()) else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let view = ChoiceView {
        endpoints: &endpoints,
        zone: &member.zone,
        random: rand::random(),
    };
    if let Some(name) = subject.strip_prefix("route/") {
        let explained = config.and_then(|config| explain_route(config, &view, name));
        return explained.map_or_else(
            || empty_response(StatusCode::NOT_FOUND),
            |route| json_response(&route),
        );
    }
    let record = subject
        .strip_prefix("call/")
        .and_then(|id| telemetry.recent.find(&percent_decode(id)));
    match record {
        Some(record) => json_response(&explain_call(&record, config, &view)),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Decodes the percent-encoding of one path segment. Invalid escapes are kept as they are.
fn percent_decode(segment: &str) -> String {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment;
    while let Some((plain, encoded)) = rest.split_once('%') {
        bytes.extend_from_slice(plain.as_bytes());
        let code = encoded.get(..2);
        let byte = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match byte {
            Some(byte) => bytes.push(byte),
            None => bytes.push(b'%'),
        }
        rest = if byte.is_some() {
            &encoded[2..]
        } else {
            encoded
        };
    }
    bytes.extend_from_slice(rest.as_bytes());
    String::from_utf8_lossy(&bytes).into_owned()
}

fn metrics_response(
    board: &Blackboard,
    telemetry: &Telemetry,
    traffic: &ControlTraffic,
) -> Response<Body> {
    match telemetry.encode(board, traffic.bytes()) {
        Ok(text) => response("text/plain; version=0.0.4", text.into_bytes()),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn json_response(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => response("application/json", body),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn response(content_type: &'static str, body: Vec<u8>) -> Response<Body> {
    let mut res = Response::new(Body::from(body));
    res.headers_mut()
        .insert("content-type", HeaderValue::from_static(content_type));
    res
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut res = Response::new(Body::empty());
    *res.status_mut() = code;
    res
}
