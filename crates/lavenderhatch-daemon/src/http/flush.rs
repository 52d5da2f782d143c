//! Keeps the guard of a request until its answer has left the process.
//!
//! The guard counts the request as in flight, and a daemon that is leaving exits once no request is
//! in flight. hyper drops the body of an answer as soon as the body is in its own buffer, so the
//! guard must outlive the body: it is dropped when that buffer is empty and the stream is flushed.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Guards of the answers of one connection that are written but not flushed yet.
pub(super) struct UnflushedGuards<G>(Arc<Mutex<Vec<G>>>);

impl<G> UnflushedGuards<G> {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(Vec::new())))
    }

    fn push(&self, guard: G) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(guard);
    }

    fn clear(&self) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

impl<G> Clone for UnflushedGuards<G> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

/// A body that moves its guard to the unflushed guards of its connection when hyper drops it.
pub(super) struct GuardedBody<G> {
    body: Full<Bytes>,
    guard: Option<G>,
    unflushed: UnflushedGuards<G>,
}

impl<G> GuardedBody<G> {
    pub(super) fn new(body: Bytes, guard: G, unflushed: UnflushedGuards<G>) -> Self {
        Self {
            body: Full::new(body),
            guard: Some(guard),
            unflushed,
        }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<G> Drop for GuardedBody<G> {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            self.unflushed.push(guard);
        }
    }
}

/// A stream that drops the unflushed guards of its connection once hyper has flushed it.
pub(super) struct FlushingIo<T, G> {
    io: T,
    unflushed: UnflushedGuards<G>,
}

impl<T, G> FlushingIo<T, G> {
    pub(super) fn new(io: T, unflushed: UnflushedGuards<G>) -> Self {
        Self { io, unflushed }
    }
}

impl<T: Read + Unpin, G> Read for FlushingIo<T, G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin, G> Write for FlushingIo<T, G> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        if flushed.is_ready() {
            self.unflushed.clear();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
