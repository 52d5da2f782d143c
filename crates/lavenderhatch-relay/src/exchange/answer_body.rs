//! The body of an answer on its way to the connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::io::ServerStream;

/// The body of an answer.
///
/// The HTTP layer drops it once it has taken the last byte, which tells the connection that its
/// next flush completes the answer.
#[derive(Debug)]
pub(super) struct AnswerBody {
    body: Full<Bytes>,
    stream: ServerStream,
}

impl AnswerBody {
    pub(super) fn new(body: Full<Bytes>, stream: ServerStream) -> Self {
        Self { body, stream }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.stream.answer_buffered();
    }
}
