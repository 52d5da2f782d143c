//! Answers to callers.

use bytes::Bytes;
use hyper::Response;
use hyper::header::{HeaderName, HeaderValue};
use lavenderhatch_core::call::Header;

use super::flush::GuardedBody;

/// A whole answer to a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct HttpResponse {
    /// Status code.
    pub(crate) status: u16,
    /// Headers.
    pub(crate) headers: Vec<Header>,
    /// Whole body.
    pub(crate) body: Vec<u8>,
    /// Whether the connection is closed after this answer.
    pub(crate) closes_connection: bool,
}

impl HttpResponse {
    /// Adds a header.
    pub(crate) fn add(&mut self, name: &str, value: &str) {
        self.headers.push(Header {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }

    /// Converts the answer to a response of hyper. Drops headers that are not valid in HTTP.
    pub(super) fn into_hyper<G>(
        self,
        make_body: impl FnOnce(Bytes) -> GuardedBody<G>,
    ) -> Response<GuardedBody<G>> {
        let mut res = Response::new(make_body(Bytes::from(self.body)));
        *res.status_mut() = hyper::StatusCode::from_u16(self.status)
            .unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
        for header in &self.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&header.value)) {
                res.headers_mut().append(name, value);
            }
        }
        if self.closes_connection {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert("connection", close);
        }
        res
    }
}
