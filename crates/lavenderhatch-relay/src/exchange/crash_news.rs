//! Tells other daemons of new crashes, and asks them after a start.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use rand::seq::index::sample;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::debug;

use super::crash_headers::{
    has_crashes, read_crash_digest, read_crashes, write_all_crashes, write_crash_digest,
    write_crashes,
};
use super::peer_headers::is_forwarded_call;
use crate::blackboard::Blackboard;
use crate::config::RelayConfig;
use crate::io::{
    ClientPool, ClientTimeouts, ExchangeOptions, OutgoingRequest, UNACKNOWLEDGED_TIMEOUT,
};
use crate::monotonic_clock::MonotonicClock;

/// Path of the messages.
const PATH: &str = "/lavenderhatch/crashes";
/// Daemons that a daemon tells of a crash that is new to it. Each of them tells as many, so all
/// daemons know of it after a few rounds, whether or not requests pass between them.
const FANOUT: usize = 4;
/// Time for which news is collected: the requests in progress at a crash fail one after the other.
const COLLECTION_TIME: Duration = Duration::from_millis(20);
/// Interval at which a daemon that has just started looks for other daemons to ask.
const START_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeouts of the connections.
const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    connect: Duration::from_millis(250),
    idle: Duration::from_secs(1),
    unacknowledged: UNACKNOWLEDGED_TIMEOUT,
};

/// Tells other daemons of new crashes, and asks them after a start.
#[derive(Debug)]
pub(super) struct CrashNews {
    blackboard: Blackboard,
    clock: MonotonicClock,
    /// Address on which this daemon listens for other daemons.
    own_addr: SocketAddr,
    pool: ClientPool,
}

impl CrashNews {
    /// Starts a task on this thread that sends the messages.
    pub(super) fn spawn(blackboard: Blackboard, clock: MonotonicClock, cfg: &RelayConfig) {
        let news = Rc::new(Self {
            blackboard,
            clock,
            own_addr: cfg.peer_addr,
            pool: ClientPool::new(TIMEOUTS),
        });
        spawn_local(async move {
            // A daemon that has just started knows nothing of earlier crashes.
            while news.recipients().is_empty() {
                sleep(START_POLL_INTERVAL).await;
            }
            news.send_to_some().await;
            loop {
                news.blackboard.quarantine.wait_for_crash().await;
                sleep(COLLECTION_TIME).await;
                news.send_to_some().await;
                news.pool.close_expired();
            }
        });
    }

    async fn send_to_some(&self) {
        join_all(self.recipients().into_iter().map(|addr| self.send(addr))).await;
    }

    fn recipients(&self) -> Vec<SocketAddr> {
        let endpoints = self.blackboard.endpoints.load();
        let daemons = endpoints.daemons().iter();
        let others: Vec<SocketAddr> = daemons.copied().filter(|a| *a != self.own_addr).collect();
        let count = others.len().min(FANOUT);
        let chosen = sample(&mut rand::rng(), others.len(), count);
        chosen.iter().map(|at| others[at]).collect()
    }

    async fn send(&self, addr: SocketAddr) {
        let options = ExchangeOptions {
            max_idle: TIMEOUTS.idle,
            max_bytes: 0,
            is_reusable: |_: &Parts| true,
        };
        let exchange = self.pool.exchange(addr, self.message(), options);
        match timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => {
                let (quarantine, now) = (&self.blackboard.quarantine, self.clock.now());
                read_crashes(&answer.parts.headers, quarantine, now);
            }
            _ => debug!(%addr, "quarantine: a daemon does not take news"),
        }
    }

    fn message(&self) -> OutgoingRequest {
        let mut req = Request::new(Full::default());
        *req.uri_mut() = Uri::from_static(PATH);
        let (quarantine, now) = (&self.blackboard.quarantine, self.clock.now());
        write_crash_digest(req.headers_mut(), quarantine);
        write_all_crashes(req.headers_mut(), quarantine, now);
        req
    }
}

/// Whether a request tells of crashes. A caller's request with the same path is a forwarded call.
pub(super) fn is_crash_news(head: &HeaderMap, path: &str) -> bool {
    path == PATH && has_crashes(head) && !is_forwarded_call(head)
}

/// Takes over the records of another daemon, and answers with those that it lacks.
pub(super) fn answer_crash_news(
    head: &HeaderMap,
    blackboard: &Blackboard,
    clock: MonotonicClock,
) -> Response<Full<bytes::Bytes>> {
    let (quarantine, now) = (&blackboard.quarantine, clock.now());
    read_crashes(head, quarantine, now);
    let mut res = Response::new(Full::default());
    *res.status_mut() = StatusCode::NO_CONTENT;
    write_crashes(res.headers_mut(), quarantine, read_crash_digest(head), now);
    res
}
