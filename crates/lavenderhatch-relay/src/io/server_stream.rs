//! A server connection that is read one request at a time, with read-ahead.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use lavenderhatch_decide::relay::ConnectionUse;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep, timeout};

use super::framing::{ParsedHead, RequestHead, parse_head};
use super::outgoing_answer::OutgoingAnswer;
use super::outgoing_answers::OutgoingAnswers;
use super::send_queue::SendQueue;
use super::write_stall::WriteStall;
use crate::byte_holding::SharedByteBudget;
use crate::connections::ConnectionSlot;
use crate::lifecycle::Lifecycle;

/// Size at which the buffer stops reading ahead of the request in progress, in bytes.
const READ_AHEAD_BYTES: usize = 32 * 1024;
/// The same while a body is read, whose reader takes the bytes as it has room for them. Large
/// buffers of many bodies that wait would take more memory than the bodies.
const READ_AHEAD_BODY_BYTES: usize = 8 * 1024;

/// Interval at which a connection that ends is checked for bytes that are not acknowledged. The
/// kernel reports no event when they are.
const ACKNOWLEDGEMENT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which a connection that ends keeps its descriptor, so that a caller that reads
/// its last answer slowly does not hold it. The bound of a planned stop is shorter.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// What the bytes at the start of the buffer belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// The head of the next request.
    Head,
    /// A request that is being delivered, with the number of bytes left.
    Request(usize),
    /// Bytes that cannot be split into requests, such as a chunked body. They are delivered as they
    /// arrive.
    Unframed,
}

/// Limits on the heads of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadLimits {
    /// Largest number of header lines.
    pub(crate) max_lines: usize,
    /// Longest time from the first bytes of a head to its end.
    pub(crate) timeout: Duration,
}

/// What follows the request in progress on the connection.
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
    /// Bytes that were read from the socket and not yet delivered.
    buf: BytesMut,
    read_state: ReadState,
    /// Number of bytes at the start of the buffer whose requests were reported as [`ReadAhead`].
    reported_bytes: usize,
    /// Whether a whole request was delivered and is not yet answered. The next one is held back
    /// until then.
    is_awaiting_answer: bool,
    /// Whether the length of the last request is ambiguous.
    has_ambiguous_length: bool,
    /// Whether any byte was delivered.
    has_delivered: bool,
    is_closed: bool,
    answers: OutgoingAnswers,
    lifecycle: Arc<Lifecycle>,
    write_stall: WriteStall,
    slot: ConnectionSlot,
    limits: HeadLimits,
    /// Runs while a part of a head has arrived.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl Shared {
    /// Takes the result of a write, and records the progress of the answer.
    fn finish_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() && self.slot.last_use() == Some(ConnectionUse::Writing) {
            self.slot.record(ConnectionUse::Writing);
        }
        let bytes = ready!(self.write_stall.check(cx, written))?;
        self.answers.count_written(bytes);
        Poll::Ready(Ok(bytes))
    }

    /// Reads more bytes into the buffer.
    ///
    /// Returns the number of bytes, which is zero at the end of the connection or if the buffer is
    /// full.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        let limit = match self.reads_body() {
            true => READ_AHEAD_BODY_BYTES,
            false => READ_AHEAD_BYTES,
        };
        if self.is_closed || self.buf.len() >= limit {
            return Poll::Ready(0);
        }
        let mut chunk = [0u8; 4096];
        let mut buf = ReadBuf::new(&mut chunk);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
        self.is_closed = result.is_err() || buf.filled().is_empty();
        self.buf.extend_from_slice(buf.filled());
        Poll::Ready(buf.filled().len())
    }

    /// Determines how many bytes at the start of the buffer may be delivered.
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

    /// Reads until the buffer starts with a complete request head.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<ReadState> {
        loop {
            match parse_head(&self.buf, self.limits.max_lines) {
                ParsedHead::Complete(head) => {
                    self.head_timer = None;
                    self.has_ambiguous_length = head.has_ambiguous_length;
                    return Poll::Ready(state_after_head(&head));
                }
                ParsedHead::Invalid => return Poll::Ready(ReadState::Unframed),
                ParsedHead::Partial => {}
            }
            let timeout = self.limits.timeout;
            let timer = self
                .head_timer
                .get_or_insert_with(|| Box::pin(sleep(timeout)));
            if timer.as_mut().poll(cx).is_ready() {
                // Nothing more is read, so that the reader finds an incomplete request and ends the
                // connection.
                self.is_closed = true;
                return Poll::Ready(ReadState::Unframed);
            }
            if ready!(self.poll_fill(cx)) == 0 {
                return Poll::Ready(ReadState::Unframed);
            }
        }
    }

    /// Whether the buffer starts with bytes of a request in progress.
    fn reads_body(&self) -> bool {
        matches!(
            self.read_state,
            ReadState::Request(1..) | ReadState::Unframed
        )
    }

    /// Whether the other side has closed the connection and nothing is left to read.
    fn has_reached_end(&self) -> bool {
        matches!(self.peek(), Ok(0))
    }

    /// Returns whether the socket has a byte to read: one if so, zero at the end of the connection.
    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte)
    }

    /// Reads ahead of the request in progress.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<ReadAhead> {
        // The event loop may report the end of the connection late. While a body is read from the
        // buffer, this function runs for each of its chunks, which may have one byte.
        if !self.reads_body() || self.buf.is_empty() {
            self.is_closed |= self.has_reached_end();
        }
        loop {
            if self.is_closed {
                return Poll::Ready(ReadAhead::Closed);
            }
            if let Some(head) = self.next_pipelined() {
                return Poll::Ready(ReadAhead::Request(head));
            }
            let count = ready!(self.poll_fill(cx));
            if count == 0 && !self.is_closed {
                // The buffer is full. Reading resumes with the next request.
                return Poll::Pending;
            }
            // The reader of a request body runs in the same task and may wait for the bytes that
            // were just read. The socket does not wake it for them again.
            cx.waker().wake_by_ref();
        }
    }

    /// Returns the next unreported request after the one in progress, if all of it has arrived and
    /// it can be started early.
    fn next_pipelined(&mut self) -> Option<Box<RequestHead>> {
        // While the body of a request is being read, the buffer starts with its remaining bytes and
        // not with the next request.
        if !matches!(self.read_state, ReadState::Head | ReadState::Request(0)) {
            return None;
        }
        let ParsedHead::Complete(head) =
            parse_head(self.buf.get(self.reported_bytes..)?, self.limits.max_lines)
        else {
            return None;
        };
        if !head.can_start_early() {
            return None;
        }
        self.reported_bytes += head.head_bytes;
        Some(head)
    }

    fn deliver(&mut self, count: usize, buf: &mut ReadBuf<'_>) {
        self.has_delivered |= count > 0;
        let count = count.min(buf.remaining());
        buf.put_slice(&self.buf[..count]);
        self.buf.advance(count);
        self.reported_bytes = self.reported_bytes.saturating_sub(count);
        if let ReadState::Request(left) = &mut self.read_state {
            *left -= count;
            self.is_awaiting_answer = *left == 0;
        }
        if count > 0 {
            self.slot.record(match self.is_awaiting_answer {
                true => ConnectionUse::Running,
                false => ConnectionUse::Reading,
            });
        }
    }
}

fn state_after_head(head: &RequestHead) -> ReadState {
    match head.body_bytes {
        Some(body) => ReadState::Request(head.head_bytes + body),
        None => ReadState::Unframed,
    }
}

/// A connection of a caller or of another daemon.
///
/// Requests are delivered one at a time. While one is in progress, the connection is read ahead, so
/// that its end is noticed even behind pipelined requests and so that these can be started early.
#[derive(Clone, Debug)]
pub(crate) struct ServerStream(Rc<RefCell<Shared>>);

impl ServerStream {
    /// Takes over the connection of `slot`, whose answers count towards `budget`.
    pub(crate) fn new(
        stream: TcpStream,
        lifecycle: &Arc<Lifecycle>,
        budget: SharedByteBudget,
        slot: ConnectionSlot,
        limits: HeadLimits,
    ) -> Self {
        Self(Rc::new(RefCell::new(Shared {
            stream,
            buf: BytesMut::new(),
            read_state: ReadState::Head,
            reported_bytes: 0,
            is_awaiting_answer: false,
            has_ambiguous_length: false,
            has_delivered: false,
            is_closed: false,
            answers: OutgoingAnswers::default(),
            lifecycle: Arc::clone(lifecycle),
            write_stall: WriteStall::new(budget),
            slot,
            limits,
            head_timer: None,
        })))
    }

    /// Keeps an answer that is ready until its last byte is written, or acknowledged if the daemon
    /// drains.
    pub(crate) fn answer_ready(&self, answer: OutgoingAnswer) {
        self.0.borrow_mut().answers.push(answer);
    }

    /// Records that the HTTP layer has taken the last byte of the next answer.
    pub(crate) fn answer_buffered(&self) {
        self.0.borrow_mut().answers.count_buffered();
    }

    /// Counts the connection as in flight until [`Self::close`] if it has bytes that are not
    /// acknowledged.
    pub(crate) fn track_unacknowledged(&self) {
        let mut shared = self.0.borrow_mut();
        let is_tracked = shared.answers.has_unacknowledged();
        if is_tracked || !SendQueue::read(&shared.stream).is_delivering() {
            return;
        }
        let guard = shared.lifecycle.track_request();
        // The request has ended before the daemon began to drain, and its identity is not kept.
        let answer = OutgoingAnswer::new(None, 0, guard);
        shared.answers.set_unacknowledged(answer);
    }

    /// Ends the connection and waits until the other side has acknowledged all bytes.
    ///
    /// A draining daemon sends the end of the connection last, so that a caller that has read it
    /// finds its request no longer in flight.
    pub(crate) async fn close(&self) {
        self.track_unacknowledged();
        let is_end_sent = !self.0.borrow().lifecycle.is_draining();
        if is_end_sent {
            self.shut_down();
        }
        let delivered = async {
            while self.is_delivering() {
                sleep(ACKNOWLEDGEMENT_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(CLOSE_TIMEOUT, delivered).await;
        if !is_end_sent {
            self.shut_down();
        }
    }

    /// Counts the requests of answers that were not delivered as in flight no longer. A draining
    /// daemon logs them. Otherwise such an answer is that of a caller that has left.
    pub(crate) fn abandon_answers(&self) {
        let mut shared = self.0.borrow_mut();
        let abandoned = std::mem::take(&mut shared.answers);
        if shared.lifecycle.is_draining() {
            abandoned.log(SendQueue::read(&shared.stream).unacknowledged_bytes);
        }
    }

    /// Whether the kernel is delivering the last answer. Once it has, its request is in flight no
    /// longer.
    fn is_delivering(&self) -> bool {
        let mut shared = self.0.borrow_mut();
        let queue = SendQueue::read(&shared.stream);
        if queue.unacknowledged_bytes == 0 {
            shared.answers.acknowledged();
        }
        shared.answers.has_unacknowledged() && queue.is_delivering()
    }

    fn shut_down(&self) {
        // The other side may have ended the connection first.
        let _ = SockRef::from(&self.0.borrow().stream).shutdown(Shutdown::Write);
    }

    /// Allows the next request to be delivered, after the one in progress was answered.
    pub(crate) fn finish_request(&self) {
        let mut shared = self.0.borrow_mut();
        shared.is_awaiting_answer = false;
        shared.slot.record(ConnectionUse::Writing);
    }

    /// Records that the request in progress was read to its end, which only the reader of a chunked
    /// body knows.
    pub(crate) fn request_read(&self) {
        self.0.borrow().slot.record(ConnectionUse::Running);
    }

    /// Whether a request is expected or has arrived that was not delivered: the connection is new,
    /// or its socket has bytes to read.
    pub(crate) fn has_undelivered_request(&self) -> bool {
        let shared = self.0.borrow();
        !shared.has_delivered || !shared.buf.is_empty() || matches!(shared.peek(), Ok(1..))
    }

    /// Whether the length of the request in progress is ambiguous.
    pub(crate) fn has_ambiguous_length(&self) -> bool {
        self.0.borrow().has_ambiguous_length
    }

    /// Waits for the next pipelined request or the end of the connection.
    pub(crate) async fn read_ahead(&self) -> ReadAhead {
        poll_fn(|cx| self.0.borrow_mut().poll_read_ahead(cx)).await
    }
}

impl AsyncRead for ServerStream {
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

impl AsyncWrite for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        let written = Pin::new(&mut shared.stream).poll_write(cx, buf);
        shared.finish_write(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        let written = Pin::new(&mut shared.stream).poll_write_vectored(cx, bufs);
        shared.finish_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        ready!(Pin::new(&mut shared.stream).poll_flush(cx))?;
        if shared.slot.last_use() == Some(ConnectionUse::Writing) {
            shared.slot.record(ConnectionUse::Idle);
        }
        let is_draining = shared.lifecycle.is_draining();
        shared.answers.flushed(is_draining);
        Poll::Ready(Ok(()))
    }

    /// Does nothing: [`ServerStream::close`] ends the connection.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
