//! Reads and checks whole requests.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Version};
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::Header;
use tokio::time::timeout;

/// Maximum size of the head of a request, in bytes.
///
/// hyper limits only its buffer, which may hold more than the head.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Kind and message of the error for a request that is refused.
pub(super) type RequestError = (ErrorKind, &'static str);

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HttpRequest {
    /// HTTP method.
    pub(crate) method: String,
    /// Path with query.
    pub(crate) target: String,
    /// Headers with names in lower case.
    pub(crate) headers: Vec<Header>,
    /// Whole body.
    pub(crate) body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of the first header with this name, which must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name);
        header.map(|header| header.value.as_str())
    }
}

/// Checks the head of a request and reads its body within `time_limit`.
pub(super) async fn read_request(
    req: Request<Incoming>,
    max_body: u64,
    time_limit: Duration,
) -> Result<HttpRequest, RequestError> {
    let (head, body) = req.into_parts();
    check_framing(&head, max_body)?;
    let headers = read_headers(&head)?;
    let body = Limited::new(body, max_body as usize).collect();
    let body = match timeout(time_limit, body).await {
        Ok(Ok(body)) => body.to_bytes().to_vec(),
        Ok(Err(err)) if err.is::<LengthLimitError>() => return Err(TOO_LARGE),
        Ok(Err(_)) => return Err((ErrorKind::BadRequest, "the body cannot be read")),
        Err(_) => return Err((ErrorKind::BadRequest, "the request did not arrive in time")),
    };
    Ok(HttpRequest {
        method: head.method.as_str().to_owned(),
        target: head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned(),
        headers,
        body,
    })
}

const TOO_LARGE: RequestError = (
    ErrorKind::TooLarge,
    "the body is larger than the mesh allows",
);

/// Refuses requests that are too large, before their body is read, and requests that hyper accepts
/// but the back end might interpret differently.
fn check_framing(head: &Parts, max_body: u64) -> Result<(), RequestError> {
    let bad_request = |message| Err((ErrorKind::BadRequest, message));
    let size = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    if head.headers.iter().map(size).sum::<usize>() > MAX_HEAD_BYTES {
        return Err((ErrorKind::TooLarge, "the head is larger than 64 KiB"));
    }
    let hosts = head.headers.get_all("host").iter().count();
    if hosts > 1 || (hosts == 0 && head.version == Version::HTTP_11) {
        return bad_request("a request names one host");
    }
    let codings = head.headers.get("transfer-encoding");
    if codings.is_some_and(|codings| !codings.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return bad_request("a transfer encoding other than chunked");
    }
    let length = head.headers.get("content-length");
    let length = length.and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
    match length.is_some_and(|length| length > max_body) {
        true => Err(TOO_LARGE),
        false => Ok(()),
    }
}

fn read_headers(head: &Parts) -> Result<Vec<Header>, RequestError> {
    let error = (ErrorKind::BadRequest, "a header is not text");
    let owned = head.headers.iter().map(|(name, value)| {
        let value = value.to_str().map_err(|_| error)?.to_owned();
        Ok(Header {
            name: name.as_str().to_owned(),
            value,
        })
    });
    owned.collect()
}
