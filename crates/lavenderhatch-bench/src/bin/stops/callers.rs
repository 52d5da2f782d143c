//! Callers with connections that they keep open.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded};
use lavenderhatch_platform::ip_agent;
use ureq::http::Response;
use ureq::{Agent, Body};

/// Time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Where a caller reconnects after a daemon has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Moves {
    /// To the same daemon.
    Never,
    /// To the next daemon.
    ToNext,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// On the backend server with this number.
    Ran(usize),
    /// Refused with "not run".
    NotRun,
    /// No connection could be made.
    NotConnected,
    /// Without an answer, or with one that does not say whether the request ran.
    Cut,
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    /// The daemon that was called.
    pub(crate) entered: usize,
    pub(crate) begin: Instant,
    pub(crate) end_at: Instant,
    pub(crate) end: End,
}

/// Running callers.
pub(crate) struct Callers {
    stop: Sender<()>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

impl Callers {
    /// Starts `each` callers at each address.
    pub(crate) fn start(addrs: &[SocketAddr], each: usize, moves: Moves) -> Self {
        let (stop, stopped) = bounded::<()>(0);
        let starts = (0..addrs.len()).flat_map(|at| std::iter::repeat_n(at, each));
        let threads = starts.map(|at| {
            let (addrs, stopped) = (addrs.to_vec(), stopped.clone());
            thread::spawn(move || run(&addrs, at, moves, &stopped))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Ends the callers and gives their calls.
    pub(crate) fn end(self) -> Vec<Call> {
        drop(self.stop);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    }
}

fn run(addrs: &[SocketAddr], mut at: usize, moves: Moves, stopped: &Receiver<()>) -> Vec<Call> {
    let config = Agent::config_builder().http_status_as_error(false);
    let agent = ip_agent(config.timeout_global(Some(TIMEOUT)).build());
    let mut calls = Vec::new();
    while stopped.try_recv() == Err(TryRecvError::Empty) {
        let begin = Instant::now();
        let result = agent.post(format!("http://{}/jobs", addrs[at])).send("x");
        let is_closed = result
            .as_ref()
            .map_or(true, |res| res.headers().contains_key("connection"));
        let end = end(result);
        let end_at = Instant::now();
        calls.push(Call {
            entered: at,
            begin,
            end_at,
            end,
        });
        if is_closed && moves == Moves::ToNext {
            at = (at + 1) % addrs.len();
        }
    }
    calls
}

fn end(result: Result<Response<Body>, ureq::Error>) -> End {
    let mut res = match result {
        Ok(res) => res,
        Err(ureq::Error::Io(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            return End::NotConnected;
        }
        Err(_) => return End::Cut,
    };
    let outcome = res.headers().get("lavenderhatch-outcome");
    match outcome.and_then(|value| value.to_str().ok()) {
        Some("not-run") => return End::NotRun,
        Some("ran") if res.status() == 200 => {}
        _ => return End::Cut,
    }
    let body = res.body_mut().read_to_string().unwrap_or_default();
    let server = body
        .split(' ')
        .next()
        .and_then(|name| name.strip_prefix('n'));
    server
        .and_then(|number| number.parse().ok())
        .map_or(End::Cut, End::Ran)
}
