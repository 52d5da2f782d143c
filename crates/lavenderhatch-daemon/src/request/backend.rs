//! The HTTP client of the local back end.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::call::{
    CallResponse, CallView, DEADLINE_HEADER, HOP_COUNT_HEADER, Header, RETRY_EXHAUSTED,
    RETRY_HEADER, is_final_status,
};
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::{Error, ErrorKind};
use lavenderhatch_platform::ip_agent;
use ureq::http::{Request, Response, request};
use ureq::{Agent, AsSendBody, Body, Timeout};

/// Timeout for connecting to the back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections that are kept open to the back end.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers that each daemon sets on its own answers.
const DAEMON_HEADER_PREFIX: &str = "lavenderhatch-";

/// Returns whether the header `name`, in lower case, is passed on with a call or its answer.
pub(super) fn is_forwarded_header(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name)
}

/// Runs calls on the back end of this backend server.
pub trait Backend: Send + Sync + 'static {
    /// Runs a call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// An error that means "not run" is returned only if the back end got no byte of the call.
    fn run(&self, call: &CallView<'_>, time_left: Duration) -> Result<CallResponse, Error>;
}

/// A back end that is reached over HTTP through a pool of persistent connections.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    agent: Agent,
    base_url: String,
}

impl HttpBackend {
    /// Creates a client of the back end at `addr`. Does not connect yet.
    pub fn open(addr: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .allow_non_standard_methods(true)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .user_agent("")
            .accept("")
            .build();
        Self {
            agent: ip_agent(config),
            base_url: format!("http://{addr}"),
        }
    }

    fn send(
        &self,
        call: &CallView<'_>,
        time_left: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let head = self.head(call, time_left);
        match call.body.is_empty() {
            true => self.agent.run(self.with_timeout(head.body(())?, time_left)),
            false => self
                .agent
                .run(self.with_timeout(head.body(call.body)?, time_left)),
        }
    }

    fn with_timeout<S: AsSendBody>(&self, req: Request<S>, time_left: Duration) -> Request<S> {
        self.agent
            .configure_request(req)
            .timeout_global(Some(time_left))
            .build()
    }

    fn head(&self, call: &CallView<'_>, time_left: Duration) -> request::Builder {
        let mut head = Request::builder()
            .method(call.method)
            .uri(format!("{}{}", self.base_url, call.target))
            .header(DEADLINE_HEADER, time_left.as_millis().to_string())
            .header(HOP_COUNT_HEADER, call.hop_count.to_string());
        for header in call
            .headers
            .iter()
            .filter(|header| is_forwarded_header(&header.name))
        {
            head = head.header(&header.name, &header.value);
        }
        if call.body.is_empty() && matches!(call.method, "POST" | "PUT" | "PATCH") {
            // Without this header, ureq sends an empty body with chunked encoding, which some back
            // ends refuse.
            head = head.header("content-length", "0");
        }
        head
    }
}

impl Backend for HttpBackend {
    fn run(&self, call: &CallView<'_>, time_left: Duration) -> Result<CallResponse, Error> {
        let exchange_error = |err: ureq::Error| exchange_error(call, &err);
        let mut res = self.send(call, time_left).map_err(exchange_error)?;
        let status = res.status().as_u16();
        if !is_final_status(status) {
            let message = format!("back end: {status} is not the status of an answer");
            return Err(Error::new(failure_kind(call), message));
        }
        let headers = forwarded_headers(&res);
        let is_retry_exhausted = is_retry_exhausted(&res);
        let body = res
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec();
        Ok(CallResponse {
            status,
            headers,
            body: body.map_err(exchange_error)?,
            outcome: Outcome::Ran,
            error: None,
            retry_after_ms: None,
            is_retry_exhausted,
        })
    }
}

/// Returns whether the back end passes on the refusal of a call of its own that was retried.
fn is_retry_exhausted(res: &Response<Body>) -> bool {
    let value = res.headers().get(RETRY_HEADER);
    value.is_some_and(|value| value == RETRY_EXHAUSTED)
}

fn forwarded_headers(res: &Response<Body>) -> Vec<Header> {
    let named = res.headers().iter().filter(|(name, _)| {
        is_forwarded_header(name.as_str()) && !name.as_str().starts_with(DAEMON_HEADER_PREFIX)
    });
    let owned = named.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(Header {
            name: name.as_str().to_owned(),
            value,
        })
    });
    owned.collect()
}

/// Creates the error of a call whose exchange with the back end failed.
fn exchange_error(call: &CallView<'_>, err: &ureq::Error) -> Error {
    let message = format!("back end: {err}");
    if is_unsent(err) {
        return Error::new(ErrorKind::NoBackend, message);
    }
    let kind = match err {
        ureq::Error::Timeout(_) => ErrorKind::DeadlinePassed,
        _ => failure_kind(call),
    };
    Error::new(kind, message)
}

/// Returns the kind of the error of a call that may have run.
fn failure_kind(call: &CallView<'_>) -> ErrorKind {
    match call.is_idempotent {
        true => ErrorKind::BackendFailed,
        false => ErrorKind::OutcomeUnknown,
    }
}

/// Returns whether the exchange failed before the first byte was sent.
fn is_unsent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(at) => matches!(at, Timeout::Connect | Timeout::Resolve),
        ureq::Error::ConnectionFailed | ureq::Error::Http(_) | ureq::Error::BadUri(_) => true,
        _ => false,
    }
}
