//! A client stream that reads a bounded number of bytes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be read from a stream.
///
/// Shared by the stream, which the HTTP client owns, and the connection, which grants bytes for
/// each part of an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadAllowance(Rc<Cell<usize>>);

impl ReadAllowance {
    /// Sets the number of bytes.
    pub(super) fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Adds to the number of bytes.
    pub(super) fn add(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_add(bytes));
    }
}

/// A client stream whose reads fail once its allowance is used up.
///
/// The HTTP client bounds the size of a head, but skips any number of interim answers. A server
/// that sends them without end would keep its thread busy.
#[derive(Debug)]
pub(super) struct BoundedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl BoundedStream {
    pub(super) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed = self.allowance.0.get();
        if allowed == 0 {
            return Poll::Ready(Err(io::Error::other("the server has sent too many bytes")));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.allowance.set(allowed.saturating_sub(read));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
