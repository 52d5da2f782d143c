//! HTTP client of the platform's object API.

use std::time::Duration;

use ureq::http::Response;
use ureq::{Agent, Body};

use crate::error::PlatformError;
use crate::object::{MAX_VALUE_BYTES, Object, ObjectMeta, Precondition};
use crate::resolver::ip_agent;
use crate::server::LOST_RESPONSE_HEADER;
use crate::traits::Platform;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a watch call may take beyond the wait that it asks for.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// HTTP client of the platform's object API.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    agent: Agent,
    /// Base URLs, in the order in which they are tried. Invariant: at least one, without a trailing
    /// `/`.
    urls: Vec<String>,
}

impl HttpPlatform {
    /// Creates a client that tries the URLs in order. It connects on the first call.
    pub fn open(urls: &[String]) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        let urls = urls
            .iter()
            .map(|url| url.trim_end_matches('/').to_owned())
            .collect();
        Self {
            agent: ip_agent(config),
            urls,
        }
    }

    /// Sends a request to the URLs in order until one can be reached.
    fn try_urls(
        &self,
        path: &str,
        send: impl Fn(&str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<Response<Body>, PlatformError> {
        let mut last = PlatformError::Unreachable("no URL is configured".to_owned());
        for url in &self.urls {
            match send(&format!("{url}{path}")).map_err(|err| classify_transport_error(&err)) {
                Ok(res) => return check_status(res),
                Err(err @ PlatformError::Unreachable(_)) => last = err,
                Err(err) => return Err(err),
            }
        }
        Err(last)
    }
}

impl Platform for HttpPlatform {
    fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        let res = self.try_urls(&format!("/objects/{name}"), |url| {
            self.agent.get(url).call()
        })?;
        read_object(res)
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, PlatformError> {
        let path = format!("/list?prefix={prefix}");
        let res = self.try_urls(&path, |url| self.agent.get(url).call())?;
        let body = read_body(res)?;
        serde_json::from_slice(&body).map_err(|err| PlatformError::InvalidResponse(err.to_string()))
    }

    fn put(
        &self,
        name: &str,
        value: &[u8],
        precondition: Precondition,
    ) -> Result<u64, PlatformError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge { bytes: value.len() });
        }
        let res = self.try_urls(&format!("/objects/{name}"), |url| {
            let req = self.agent.put(url);
            let req = match precondition {
                Precondition::Absent => req.header("if-none-match", "*"),
                Precondition::Version(version) => req.header("if-match", format!("\"{version}\"")),
            };
            req.send(value)
        })?;
        read_etag(&res)
    }

    fn delete(&self, name: &str, version: u64) -> Result<(), PlatformError> {
        let path = format!("/objects/{name}");
        self.try_urls(&path, |url| {
            self.agent
                .delete(url)
                .header("if-match", format!("\"{version}\""))
                .call()
        })?;
        Ok(())
    }

    fn watch(
        &self,
        name: &str,
        seen: u64,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let path = format!(
            "/objects/{name}?seen={seen}&timeout_ms={}",
            timeout.as_millis()
        );
        let res = self.try_urls(&path, |url| {
            let limit = Some(timeout + WATCH_TIMEOUT_MARGIN);
            self.agent
                .get(url)
                .config()
                .timeout_global(limit)
                .build()
                .call()
        })?;
        read_object(res)
    }
}

fn classify_transport_error(err: &ureq::Error) -> PlatformError {
    use ureq::Timeout;
    let text = err.to_string();
    match err {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            PlatformError::Unreachable(text)
        }
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => {
            PlatformError::Unreachable(text)
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            PlatformError::Unreachable(text)
        }
        _ => PlatformError::ResponseLost(text),
    }
}

fn check_status(res: Response<Body>) -> Result<Response<Body>, PlatformError> {
    if res.headers().contains_key(LOST_RESPONSE_HEADER) {
        return Err(PlatformError::ResponseLost("injected fault".to_owned()));
    }
    match res.status().as_u16() {
        200 | 204 | 304 | 404 => Ok(res),
        412 => Err(PlatformError::Conflict {
            current: read_etag(&res)?,
        }),
        413 => Err(PlatformError::TooLarge { bytes: 0 }),
        429 => Err(PlatformError::RateLimited),
        503 => Err(PlatformError::Unreachable(
            "the platform answered 503".to_owned(),
        )),
        code => Err(PlatformError::InvalidResponse(format!("status {code}"))),
    }
}

fn read_etag(res: &Response<Body>) -> Result<u64, PlatformError> {
    let tag = res
        .headers()
        .get("etag")
        .and_then(|value| value.to_str().ok());
    let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    version.ok_or_else(|| PlatformError::InvalidResponse("no valid ETag header".to_owned()))
}

fn read_body(mut res: Response<Body>) -> Result<Vec<u8>, PlatformError> {
    let limit = 16 * MAX_VALUE_BYTES as u64;
    let read = res.body_mut().with_config().limit(limit).read_to_vec();
    read.map_err(|err| PlatformError::ResponseLost(err.to_string()))
}

fn read_object(res: Response<Body>) -> Result<Option<Object>, PlatformError> {
    if res.status().as_u16() != 200 {
        return Ok(None);
    }
    let version = read_etag(&res)?;
    let value = read_body(res)?;
    Ok(Some(Object { version, value }))
}
