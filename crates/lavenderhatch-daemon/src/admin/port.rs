//! The port for administration.
//!
//! | request | answer |
//! |---|---|
//! | `GET /status` | [`DaemonStatus`] as JSON |
//! | `GET /config` | version and mesh in force as JSON, 503 if there is none |
//! | `GET /audit` | recent audit events of this daemon as JSON |
//! | `GET /metrics` | metrics in the text format of Prometheus |

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use lavenderhatch_core::NodeId;
use lavenderhatch_core::audit::AuditLog;
use lavenderhatch_core::blackboard::Blackboard;
use oxhttp::model::{Body, HeaderValue, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};
use prometheus::{Registry, TextEncoder};
use serde::Serialize;

use super::status::DaemonStatus;
use crate::peer::ControlTraffic;

/// Most connections at the same time.
const MAX_CONNECTIONS: usize = 32;
/// Time after which a silent connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The bound port for administration. Its threads end with the process.
pub struct AdminPort {
    /// Kept so that the listening threads are tied to this handle.
    _listening: ListeningServer,
}

impl AdminPort {
    /// Binds the address.
    pub fn bind(
        addr: SocketAddr,
        node: NodeId,
        board: Blackboard,
        registry: Registry,
        traffic: ControlTraffic,
    ) -> Result<Self> {
        let server = Server::new(move |req| answer(req, &node, &board, &registry, &traffic))
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
    registry: &Registry,
    traffic: &ControlTraffic,
) -> Response<Body> {
    match (req.method().as_str(), req.uri().path()) {
        ("GET", "/status") => json(&DaemonStatus::from_board(node, board, traffic.bytes())),
        ("GET", "/config") => config(board),
        ("GET", "/audit") => json(&AuditLog::clone(&board.audit.load())),
        ("GET", "/metrics") => metrics(registry),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn config(board: &Blackboard) -> Response<Body> {
    let config = board.config.load();
    let Some(config) = config.as_ref() else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    json(&serde_json::json!({
        "version": config.version,
        "digest": config.digest(),
        "mesh": config.mesh.parts(),
    }))
}

fn metrics(registry: &Registry) -> Response<Body> {
    match TextEncoder::new().encode_to_string(&registry.gather()) {
        Ok(text) => content("text/plain; version=0.0.4", text.into_bytes()),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn json(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => content("application/json", body),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn content(kind: &'static str, body: Vec<u8>) -> Response<Body> {
    let mut res = Response::new(Body::from(body));
    res.headers_mut()
        .insert("content-type", HeaderValue::from_static(kind));
    res
}

fn status(code: StatusCode) -> Response<Body> {
    let mut res = Response::new(Body::empty());
    *res.status_mut() = code;
    res
}
