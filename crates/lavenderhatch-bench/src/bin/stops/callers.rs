//! Callers that keep their connections open.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded};
use lavenderhatch_platform::ip_agent;
use ureq::http::Response;
use ureq::{Agent, Body};

/// Time for which a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Where a caller reconnects after a daemon has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reconnect {
    /// To the same daemon.
    SameDaemon,
    /// To the next daemon.
    NextDaemon,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The request ran on the backend server with this number.
    Ran(usize),
    /// The request was refused, and the answer says that it has not run.
    NotRun,
    /// The connection was refused.
    NotConnected,
    /// There was no answer, or one that does not say whether the request has run.
    Cut,
}

/// A finished call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    /// Number of the daemon that was called.
    pub(crate) entry_daemon: usize,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: CallOutcome,
}

/// Running callers.
pub(crate) struct Callers {
    /// Closing this channel stops the callers.
    stop_tx: Sender<()>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

impl Callers {
    /// Starts `callers_per_addr` callers for each address.
    pub(crate) fn start(
        addrs: &[SocketAddr],
        callers_per_addr: usize,
        reconnect: Reconnect,
    ) -> Self {
        let (stop_tx, stop_rx) = bounded::<()>(0);
        let starts = (0..addrs.len()).flat_map(|at| std::iter::repeat_n(at, callers_per_addr));
        let threads = starts.map(|at| {
            let (addrs, stop_rx) = (addrs.to_vec(), stop_rx.clone());
            thread::spawn(move || run(&addrs, at, reconnect, &stop_rx))
        });
        Self {
            threads: threads.collect(),
            stop_tx,
        }
    }

    /// Stops the callers and returns their calls.
    pub(crate) fn stop(self) -> Vec<Call> {
        drop(self.stop_tx);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    }
}

fn run(
    addrs: &[SocketAddr],
    mut at: usize,
    reconnect: Reconnect,
    stop_rx: &Receiver<()>,
) -> Vec<Call> {
    let config = Agent::config_builder().http_status_as_error(false);
    let agent = ip_agent(config.timeout_global(Some(TIMEOUT)).build());
    let mut calls = Vec::new();
    while stop_rx.try_recv() == Err(TryRecvError::Empty) {
        let started_at = Instant::now();
        let result = agent.post(format!("http://{}/jobs", addrs[at])).send("x");
        let is_closed = result
            .as_ref()
            .map_or(true, |res| res.headers().contains_key("connection"));
        let outcome = outcome_of(result);
        let ended_at = Instant::now();
        calls.push(Call {
            entry_daemon: at,
            started_at,
            ended_at,
            outcome,
        });
        if is_closed && reconnect == Reconnect::NextDaemon {
            at = (at + 1) % addrs.len();
        }
    }
    calls
}

fn outcome_of(result: Result<Response<Body>, ureq::Error>) -> CallOutcome {
    let mut res = match result {
        Ok(res) => res,
        Err(ureq::Error::Io(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            return CallOutcome::NotConnected;
        }
        Err(_) => return CallOutcome::Cut,
    };
    let outcome_header = res.headers().get("lavenderhatch-outcome");
    match outcome_header.and_then(|value| value.to_str().ok()) {
        Some("not-run") => return CallOutcome::NotRun,
        Some("ran") if res.status() == 200 => {}
        _ => return CallOutcome::Cut,
    }
    let body = res.body_mut().read_to_string().unwrap_or_default();
    let server = body
        .split(' ')
        .next()
        .and_then(|name| name.strip_prefix('n'));
    server
        .and_then(|number| number.parse().ok())
        .map_or(CallOutcome::Cut, CallOutcome::Ran)
}
