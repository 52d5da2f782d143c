//! The connection of a caller, which tells when the caller goes away.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read ahead of the request in progress.
const READ_AHEAD_BYTES: usize = 16 * 1024;

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Bytes that were read ahead.
    buf: BytesMut,
    is_closed: bool,
}

impl Shared {
    /// Reads ahead until the buffer is full, the caller has closed or nothing has arrived.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.is_closed && self.buf.len() < READ_AHEAD_BYTES {
            let mut chunk = [0u8; 2048];
            let mut buf = ReadBuf::new(&mut chunk);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if buf.filled().is_empty() => self.is_closed = true,
                Ok(()) => {
                    self.buf.extend_from_slice(buf.filled());
                    // The rest of a body may be among these bytes. Its reader is in the same task
                    // and waits for the socket, which has nothing more to tell.
                    cx.waker().wake_by_ref();
                }
                Err(_) => self.is_closed = true,
            }
        }
        Poll::Ready(())
    }
}

/// The connection of a caller.
///
/// While a request is in progress, bytes are read ahead of it, so that the end of the connection is
/// seen behind requests that were sent without waiting for the answer.
#[derive(Clone, Debug)]
pub(crate) struct CallerStream(Rc<RefCell<Shared>>);

impl CallerStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(Shared {
            stream,
            buf: BytesMut::new(),
            is_closed: false,
        })))
    }

    /// Completes when the caller has closed the connection.
    pub(crate) fn disconnect(&self) -> Disconnect {
        Disconnect(self.clone())
    }
}

/// Completes when the caller has closed the connection.
#[derive(Debug)]
pub(crate) struct Disconnect(CallerStream);

impl Future for Disconnect {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut shared = self.0.0.borrow_mut();
        ready!(shared.poll_fill(cx));
        match shared.is_closed {
            true => Poll::Ready(()),
            // The buffer is full. The connection is read again with the next request.
            false => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        if !shared.buf.is_empty() {
            let count = shared.buf.len().min(buf.remaining());
            buf.put_slice(&shared.buf[..count]);
            shared.buf.advance(count);
            return Poll::Ready(Ok(()));
        }
        if shared.is_closed {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut shared.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}
