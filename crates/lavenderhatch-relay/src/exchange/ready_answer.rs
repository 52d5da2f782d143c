//! An answer that is ready to be sent.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Body;
use hyper::header::HeaderValue;
use lavenderhatch_core::drain::InFlightGuard;

use super::answer_body::AnswerBody;
use crate::io::{OutgoingAnswer, ServerStream};

/// An answer that is ready to be sent, and what keeps its request in flight until it is delivered.
#[derive(Debug)]
pub(super) struct ReadyAnswer {
    response: Response<Full<Bytes>>,
    request_id: Option<HeaderValue>,
    guard: Option<InFlightGuard>,
}

impl ReadyAnswer {
    pub(super) fn new(
        response: Response<Full<Bytes>>,
        request_id: Option<HeaderValue>,
        guard: Option<InFlightGuard>,
    ) -> Self {
        Self {
            response,
            request_id,
            guard,
        }
    }

    /// Hands the answer to the connection. The HTTP layer must send the response that is returned
    /// before any other.
    pub(super) fn send_on(self, stream: &ServerStream) -> Response<AnswerBody> {
        let body_bytes = self.response.body().size_hint().exact().unwrap_or(0);
        let body_bytes = usize::try_from(body_bytes).unwrap_or(usize::MAX);
        let answer = OutgoingAnswer::new(self.request_id, body_bytes, self.guard);
        stream.answer_ready(answer);
        self.response
            .map(|body| AnswerBody::new(body, stream.clone()))
    }
}
