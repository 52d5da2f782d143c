//! The connection of a caller, read one request at a time.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::framing::{Head, Parsed, parse_head};

/// Bytes that are read ahead of the request in progress.
const READ_AHEAD_BYTES: usize = 32 * 1024;

/// What the bytes at the front of the buffer belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Front {
    /// The head of the next request.
    Head,
    /// A request that is being read, of which this many bytes are left.
    Request(usize),
    /// Bytes whose requests cannot be told apart here. They are passed on as they come.
    Unframed,
}

/// What is seen behind the request in progress.
#[derive(Debug)]
pub(crate) enum Ahead {
    /// Another request has arrived.
    Request(Box<Head>),
    /// The caller has closed the connection.
    Closed,
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Bytes that were read and not passed on.
    buf: BytesMut,
    front: Front,
    /// Bytes at the front of the buffer whose requests were reported as [`Ahead`].
    reported: usize,
    /// Whether a whole request was passed on and is not answered. The next one is held back.
    is_busy: bool,
    /// Whether the last request can be read in two ways.
    is_ambiguous: bool,
    is_closed: bool,
}

impl Shared {
    /// Reads more into the buffer. Gives the number of bytes, zero at the end of the connection or
    /// if the buffer is full.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        if self.is_closed || self.buf.len() >= READ_AHEAD_BYTES {
            return Poll::Ready(0);
        }
        let mut chunk = [0u8; 4096];
        let mut buf = ReadBuf::new(&mut chunk);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
        self.is_closed = result.is_err() || buf.filled().is_empty();
        self.buf.extend_from_slice(buf.filled());
        Poll::Ready(buf.filled().len())
    }

    /// Finds out how many bytes at the front of the buffer may be passed on.
    fn poll_front(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        loop {
            if self.front == Front::Request(0) {
                self.front = Front::Head;
            }
            if self.front == Front::Head && self.is_busy {
                return Poll::Pending;
            }
            if self.buf.is_empty() {
                if ready!(self.poll_fill(cx)) == 0 {
                    return Poll::Ready(0);
                }
                continue;
            }
            match self.front {
                Front::Unframed => return Poll::Ready(self.buf.len()),
                Front::Request(left) => return Poll::Ready(left.min(self.buf.len())),
                Front::Head => self.front = ready!(self.poll_head(cx)),
            }
        }
    }

    /// Reads until a whole head is at the front of the buffer.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<Front> {
        loop {
            match parse_head(&self.buf) {
                Parsed::Head(head) => {
                    self.is_ambiguous = head.is_ambiguous;
                    return Poll::Ready(front_of(&head));
                }
                Parsed::Unreadable => return Poll::Ready(Front::Unframed),
                Parsed::Partial => {}
            }
            if ready!(self.poll_fill(cx)) == 0 {
                return Poll::Ready(Front::Unframed);
            }
        }
    }

    /// Whether the other side has closed the connection and nothing is left to read.
    fn has_ended(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(0))
    }

    /// Looks behind the request in progress.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<Ahead> {
        // The event loop may be late to tell of the end of the connection.
        self.is_closed |= self.has_ended();
        loop {
            if self.is_closed {
                return Poll::Ready(Ahead::Closed);
            }
            if let Some(head) = self.next_ahead() {
                return Poll::Ready(Ahead::Request(head));
            }
            let count = ready!(self.poll_fill(cx));
            if count == 0 && !self.is_closed {
                // The buffer is full. The connection is read again with the next request.
                return Poll::Pending;
            }
            // The reader of a body is in the same task and waits for the socket, which has nothing
            // more to tell.
            cx.waker().wake_by_ref();
        }
    }

    /// The next request behind the one in progress, if all of it has arrived.
    fn next_ahead(&mut self) -> Option<Box<Head>> {
        // Bytes of a request whose body is still read are not those of the next one.
        if !matches!(self.front, Front::Head | Front::Request(0)) {
            return None;
        }
        let Parsed::Head(head) = parse_head(self.buf.get(self.reported..)?) else {
            return None;
        };
        if !head.has_no_body() {
            return None;
        }
        self.reported += head.head_bytes;
        Some(head)
    }

    fn pass_on(&mut self, count: usize, buf: &mut ReadBuf<'_>) {
        let count = count.min(buf.remaining());
        buf.put_slice(&self.buf[..count]);
        self.buf.advance(count);
        self.reported = self.reported.saturating_sub(count);
        if let Front::Request(left) = &mut self.front {
            *left -= count;
            self.is_busy = *left == 0;
        }
    }
}

fn front_of(head: &Head) -> Front {
    match head.body_bytes {
        Some(body) => Front::Request(head.head_bytes + body),
        None => Front::Unframed,
    }
}

/// The connection of a caller.
///
/// Requests are passed on one at a time. While one is in progress, the connection is read ahead, so
/// that the end of the connection is seen behind requests that were sent without waiting for the
/// answer, and these can be started early.
#[derive(Clone, Debug)]
pub(crate) struct CallerStream(Rc<RefCell<Shared>>);

impl CallerStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(Shared {
            stream,
            buf: BytesMut::new(),
            front: Front::Head,
            reported: 0,
            is_busy: false,
            is_ambiguous: false,
            is_closed: false,
        })))
    }

    /// Lets the next request be passed on, after the one in progress was answered.
    pub(crate) fn finish_request(&self) {
        self.0.borrow_mut().is_busy = false;
    }

    /// Whether the request in progress can be read in two ways.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.0.borrow().is_ambiguous
    }

    /// Waits for what comes behind the request in progress.
    pub(crate) async fn ahead(&self) -> Ahead {
        poll_fn(|cx| self.0.borrow_mut().poll_ahead(cx)).await
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        let count = ready!(shared.poll_front(cx));
        shared.pass_on(count, buf);
        Poll::Ready(Ok(()))
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
