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
use crate::byte_holding::SharedByteBudget;

/// Largest number of idle connections kept for one address.
const MAX_IDLE_PER_ADDR: usize = 16;

#[derive(Debug)]
struct IdleConn {
    conn: ClientConn,
    since: Instant,
}

/// The whole answer to a request.
#[derive(Debug)]
pub struct ClientAnswer {
    /// Status and headers.
    pub parts: Parts,
    /// Whole body.
    pub body: Bytes,
    /// Whether the connection had carried no other request, so that the answer cannot be a late one
    /// to an earlier request.
    pub is_first: bool,
}

/// What a request asks of its connection.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeOptions<R> {
    /// Longest time for which a reused connection may have been idle.
    pub max_idle: Duration,
    /// Maximum number of bytes of the answer's body.
    pub max_bytes: usize,
    /// Whether the connection may be used again after an answer with this head. After an answer to
    /// another request, the answers on a connection are one behind its requests.
    pub is_reusable: R,
}

/// A pool of client connections, used by one thread.
#[derive(Debug)]
pub struct ClientPool {
    timeouts: ClientTimeouts,
    /// Budget of the answers' bytes.
    budget: SharedByteBudget,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConn>>>,
}

impl ClientPool {
    /// Creates an empty pool whose answers are not counted.
    pub fn new(timeouts: ClientTimeouts) -> Self {
        Self::with_budget(timeouts, SharedByteBudget::default())
    }

    /// Creates an empty pool whose answers count towards a budget.
    pub(crate) fn with_budget(timeouts: ClientTimeouts, budget: SharedByteBudget) -> Self {
        Self {
            timeouts,
            budget,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// Reuses a connection, or opens a new one. If a reused connection has ended before the request
    /// was sent, another one is used. Dropping the future closes the connection.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        req: OutgoingRequest,
        options: ExchangeOptions<impl Fn(&Parts) -> bool>,
    ) -> Result<ClientAnswer, ClientError> {
        self.exchange_with_progress(addr, req, options, || ()).await
    }

    /// Does the same as [`Self::exchange`], and calls `on_progress` whenever a part of the answer
    /// has arrived.
    pub async fn exchange_with_progress(
        &self,
        addr: SocketAddr,
        req: OutgoingRequest,
        options: ExchangeOptions<impl Fn(&Parts) -> bool>,
        on_progress: impl Fn(),
    ) -> Result<ClientAnswer, ClientError> {
        let mut req = req;
        while let Some(conn) = self.take_idle(addr, options.max_idle) {
            let exchange = self.exchange_on(conn, addr, req, &options, &on_progress);
            match exchange.await {
                Err((err, Some(unsent))) if err.is_not_sent() => req = unsent,
                Err((err, _)) => return Err(err),
                Ok(answer) => {
                    return Ok(ClientAnswer {
                        is_first: false,
                        ..answer
                    });
                }
            }
        }
        let conn = ClientConn::connect(addr, &self.timeouts).await?;
        let exchange = self.exchange_on(conn, addr, req, &options, &on_progress);
        exchange.await.map_err(|(err, _)| err)
    }

    /// Opens a connection that the next exchange with the server may use.
    pub async fn open_idle(&self, addr: SocketAddr) -> Result<(), ClientError> {
        let conn = ClientConn::connect(addr, &self.timeouts).await?;
        self.put_idle(addr, conn);
        Ok(())
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
        options: &ExchangeOptions<impl Fn(&Parts) -> bool>,
        on_progress: &impl Fn(),
    ) -> Result<ClientAnswer, (ClientError, Option<OutgoingRequest>)> {
        let res = conn.send(req).await?;
        on_progress();
        let body = conn.read_body(res, &self.budget, options.max_bytes, on_progress);
        let answer = body.await;
        let (parts, body) = answer.map_err(|err| (err, None))?;
        if (options.is_reusable)(&parts) {
            self.put_idle(addr, conn);
        }
        Ok(ClientAnswer {
            parts,
            body,
            is_first: true,
        })
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
