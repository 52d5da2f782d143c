//! A pool of client connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::http::response::Parts;

use super::client_conn::{ClientConn, OutgoingRequest};
use super::client_error::ClientError;
use super::connect::ClientTimeouts;

/// Largest number of idle connections kept for one address.
const MAX_IDLE_PER_ADDR: usize = 16;

#[derive(Debug)]
struct IdleConn {
    conn: ClientConn,
    since: Instant,
}

/// A pool of client connections, used by one thread.
#[derive(Debug)]
pub struct ClientPool {
    timeouts: ClientTimeouts,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConn>>>,
}

impl ClientPool {
    /// Creates an empty pool.
    pub fn new(timeouts: ClientTimeouts) -> Self {
        Self {
            timeouts,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and reads its whole answer of at most `max_bytes` bytes.
    ///
    /// Reuses a connection that has been idle for at most `max_idle`, or opens a new one. If a
    /// reused connection has ended before the request was sent, another one is used. Dropping the
    /// future closes the connection.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        req: OutgoingRequest,
        max_idle: Duration,
        max_bytes: usize,
    ) -> Result<(Parts, Bytes), ClientError> {
        let exchange = self.exchange_with_progress(addr, req, max_idle, max_bytes, || ());
        exchange.await
    }

    /// Does the same as [`Self::exchange`], and calls `on_progress` whenever a part of the answer
    /// has arrived.
    pub async fn exchange_with_progress(
        &self,
        addr: SocketAddr,
        req: OutgoingRequest,
        max_idle: Duration,
        max_bytes: usize,
        on_progress: impl Fn(),
    ) -> Result<(Parts, Bytes), ClientError> {
        let mut req = req;
        while let Some(conn) = self.take_idle(addr, max_idle) {
            let exchange = self.exchange_on(conn, addr, req, max_bytes, &on_progress);
            match exchange.await {
                Err((err, Some(unsent))) if err.is_not_sent() => req = unsent,
                result => return result.map_err(|(err, _)| err),
            }
        }
        let conn = ClientConn::connect(addr, &self.timeouts).await?;
        let exchange = self.exchange_on(conn, addr, req, max_bytes, &on_progress);
        let result = exchange.await;
        result.map_err(|(err, _)| err)
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain(|conn| self.is_usable(conn));
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    async fn exchange_on(
        &self,
        mut conn: ClientConn,
        addr: SocketAddr,
        req: OutgoingRequest,
        max_bytes: usize,
        on_progress: &impl Fn(),
    ) -> Result<(Parts, Bytes), (ClientError, Option<OutgoingRequest>)> {
        let res = conn.send(req).await?;
        on_progress();
        let answer = conn.read_body(res, max_bytes, on_progress).await;
        let answer = answer.map_err(|err| (err, None))?;
        self.put_idle(addr, conn);
        Ok(answer)
    }

    fn take_idle(&self, addr: SocketAddr, max_idle: Duration) -> Option<ClientConn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        // The most recently used connection is the least likely to have been closed.
        while let Some(last) = conns.pop_if(|last| last.since.elapsed() <= max_idle) {
            if self.is_usable(&last) {
                return Some(last.conn);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, conn: ClientConn) {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(addr).or_default();
        if conn.is_open() && conns.len() < MAX_IDLE_PER_ADDR {
            let since = Instant::now();
            conns.push(IdleConn { conn, since });
        }
    }

    fn is_usable(&self, idle: &IdleConn) -> bool {
        let limit = idle.conn.idle_limit(self.timeouts.idle);
        idle.conn.is_open() && idle.since.elapsed() < limit
    }
}
