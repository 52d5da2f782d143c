//! An answer that a connection has not delivered.

use hyper::header::HeaderValue;
use lavenderhatch_core::drain::InFlightGuard;

/// An answer from the moment at which it is ready until the connection has delivered it.
#[derive(Debug)]
pub(crate) struct OutgoingAnswer {
    /// Identity that the caller gave the request, if it is known.
    request_id: Option<HeaderValue>,
    /// Bytes of the body.
    pub(super) body_bytes: usize,
    /// Keeps the process running until the answer is delivered.
    _guard: Option<InFlightGuard>,
}

impl OutgoingAnswer {
    pub(crate) fn new(
        request_id: Option<HeaderValue>,
        body_bytes: usize,
        guard: Option<InFlightGuard>,
    ) -> Self {
        Self {
            request_id,
            body_bytes,
            _guard: guard,
        }
    }

    /// Returns the identity of the request, for the log.
    pub(super) fn id(&self) -> &str {
        let id = self.request_id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("?")
    }
}
