//! Byte counters of control messages, which are all messages between daemons that carry no calls.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of control messages since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlBytes {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

#[derive(Debug, Default)]
struct ByteTotals {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Counters of control bytes. Clones share the same counters.
#[derive(Clone, Debug, Default)]
pub struct ControlTraffic(Arc<ByteTotals>);

impl ControlTraffic {
    /// Returns the bytes counted so far.
    pub fn bytes(&self) -> ControlBytes {
        ControlBytes {
            sent: self.0.sent.load(Ordering::Relaxed),
            received: self.0.received.load(Ordering::Relaxed),
        }
    }
}

/// Bytes that one connection has added to the counters.
///
/// Calls use separate connections. A daemon that accepts a connection learns only from the first
/// call on it that the connection carries calls, and then subtracts the bytes that it has counted
/// for it.
#[derive(Clone, Debug)]
pub(super) struct ConnectionTraffic {
    totals: ControlTraffic,
    is_control: Rc<Cell<bool>>,
    sent: Rc<Cell<u64>>,
    received: Rc<Cell<u64>>,
}

impl ConnectionTraffic {
    pub(super) fn new(totals: &ControlTraffic) -> Self {
        Self {
            totals: totals.clone(),
            is_control: Rc::new(Cell::new(true)),
            sent: Rc::default(),
            received: Rc::default(),
        }
    }

    /// Marks the connection as one that carries calls, and subtracts its bytes from the counters.
    pub(super) fn mark_as_call_connection(&self) {
        if self.is_control.replace(false) {
            let totals = &self.totals.0;
            totals.sent.fetch_sub(self.sent.get(), Ordering::Relaxed);
            totals
                .received
                .fetch_sub(self.received.get(), Ordering::Relaxed);
        }
    }

    fn count_sent(&self, bytes: usize) {
        if self.is_control.get() {
            self.sent.set(self.sent.get() + bytes as u64);
            self.totals
                .0
                .sent
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    fn count_received(&self, bytes: usize) {
        if self.is_control.get() {
            self.received.set(self.received.get() + bytes as u64);
            self.totals
                .0
                .received
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }
}

/// Wrapper that counts the bytes of one direction of a connection.
pub(super) struct CountedStream<S> {
    stream: S,
    traffic: ConnectionTraffic,
}

impl<S> CountedStream<S> {
    pub(super) fn new(stream: S, traffic: &ConnectionTraffic) -> Self {
        Self {
            stream,
            traffic: traffic.clone(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic.count_received(buf.filled().len() - before);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &poll {
            self.traffic.count_sent(*bytes);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
