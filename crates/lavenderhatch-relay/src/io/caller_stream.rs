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

use super::framing::{ParsedHead, RequestHead, parse_head};

/// Bytes that are read ahead of the request in progress.
const READ_AHEAD_BYTES: usize = 32 * 1024;

/// What the bytes at the front of the buffer belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// The head of the next request.
    Head,
    /// A request that is being read, of which this many bytes are left.
    Request(usize),
    /// Bytes whose requests cannot be told apart here. They are passed on as they come.
    Unframed,
}

/// What is seen behind the request in progress.
#[derive(Debug)]
pub(crate) enum ReadAhead {
    /// Another request has arrived.
    Request(Box<RequestHead>),
    /// The caller has closed the connection.
    Closed,
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Bytes that were read and not passed on.
    buf: BytesMut,
    read_state: ReadState,
    /// Bytes at the front of the buffer whose requests were reported as [`ReadAhead`].
    reported_bytes: usize,
    /// Whether a whole request was passed on and is not answered. The next one is held back.
    is_awaiting_answer: bool,
    /// Whether the last request can be read in two ways.
    has_ambiguous_length: bool,
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
    fn poll_deliverable(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        loop {
            if self.read_state == ReadState::Request(0) {
                self.read_state = ReadState::Head;
            }
            if self.read_state == ReadState::Head && self.is_awaiting_answer {
                return Poll::Pending;
            }
            if self.buf.is_empty() {
                if ready!(self.poll_fill(cx)) == 0 {
                    return Poll::Ready(0);
                }
                continue;
            }
            match self.read_state {
                ReadState::Unframed => return Poll::Ready(self.buf.len()),
                ReadState::Request(left) => return Poll::Ready(left.min(self.buf.len())),
                ReadState::Head => self.read_state = ready!(self.poll_head(cx)),
            }
        }
    }

    /// Reads until a whole head is at the front of the buffer.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<ReadState> {
        loop {
            match parse_head(&self.buf) {
                ParsedHead::Complete(head) => {
                    self.has_ambiguous_length = head.has_ambiguous_length;
                    return Poll::Ready(state_after_head(&head));
                }
                ParsedHead::Invalid => return Poll::Ready(ReadState::Unframed),
                ParsedHead::Partial => {}
            }
            if ready!(self.poll_fill(cx)) == 0 {
                return Poll::Ready(ReadState::Unframed);
            }
        }
    }

    /// Whether the other side has closed the connection and nothing is left to read.
    fn has_reached_end(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(0))
    }

    /// Looks behind the request in progress.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<ReadAhead> {
        // The event loop may be late to tell of the end of the connection.
        self.is_closed |= self.has_reached_end();
        loop {
            if self.is_closed {
                return Poll::Ready(ReadAhead::Closed);
            }
            if let Some(head) = self.next_pipelined() {
                return Poll::Ready(ReadAhead::Request(head));
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
    fn next_pipelined(&mut self) -> Option<Box<RequestHead>> {
        // Bytes of a request whose body is still read are not those of the next one.
        if !matches!(self.read_state, ReadState::Head | ReadState::Request(0)) {
            return None;
        }
        let ParsedHead::Complete(head) = parse_head(self.buf.get(self.reported_bytes..)?) else {
            return None;
        };
        if !head.can_start_early() {
            return None;
        }
        self.reported_bytes += head.head_bytes;
        Some(head)
    }

    fn deliver(&mut self, count: usize, buf: &mut ReadBuf<'_>) {
        let count = count.min(buf.remaining());
        buf.put_slice(&self.buf[..count]);
        self.buf.advance(count);
        self.reported_bytes = self.reported_bytes.saturating_sub(count);
        if let ReadState::Request(left) = &mut self.read_state {
            *left -= count;
            self.is_awaiting_answer = *left == 0;
        }
    }
}

fn state_after_head(head: &RequestHead) -> ReadState {
    match head.body_bytes {
        Some(body) => ReadState::Request(head.head_bytes + body),
        None => ReadState::Unframed,
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
            read_state: ReadState::Head,
            reported_bytes: 0,
            is_awaiting_answer: false,
            has_ambiguous_length: false,
            is_closed: false,
        })))
    }

    /// Lets the next request be passed on, after the one in progress was answered.
    pub(crate) fn finish_request(&self) {
        self.0.borrow_mut().is_awaiting_answer = false;
    }

    /// Whether the request in progress can be read in two ways.
    pub(crate) fn has_ambiguous_length(&self) -> bool {
        self.0.borrow().has_ambiguous_length
    }

    /// Waits for what comes behind the request in progress.
    pub(crate) async fn read_ahead(&self) -> ReadAhead {
        poll_fn(|cx| self.0.borrow_mut().poll_read_ahead(cx)).await
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        let count = ready!(shared.poll_deliverable(cx));
        shared.deliver(count, buf);
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
