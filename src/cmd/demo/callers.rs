//! Callers that send requests to the mesh of the demonstration.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, after, bounded, select, tick};
use eyre::Result;
use lavenderhatch_core::ErrorKind;
use ureq::Agent;
use ureq::http::Response;

use super::counts::CallCounts;

/// Number of callers for each daemon.
const CALLERS_PER_DAEMON: usize = 2;
/// Interval between two calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of repeats of one order.
const MAX_REPEATS: u64 = 20;
/// Delay before an order is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(250);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Running callers, which end with [`Callers::finish`].
pub(super) struct Callers {
    /// Nothing is sent on it. Dropping it ends the callers.
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
    /// Counts of the calls since the last `take_recent`, and of the calls before it.
    counts: Arc<Mutex<(CallCounts, CallCounts)>>,
}

impl Callers {
    /// Starts the callers of each daemon.
    pub(super) fn start(addrs: &[SocketAddr]) -> Result<Self> {
        let (stop, stopped) = bounded(0);
        let counts = Arc::default();
        let mut threads = Vec::new();
        for (index, addr) in addrs.iter().enumerate() {
            for n in 0..CALLERS_PER_DAEMON {
                let caller = Caller::new(*addr, format!("demo-{index}-{n}"), Arc::clone(&counts));
                let stopped = stopped.clone();
                let name = format!("caller-{index}-{n}");
                let builder = thread::Builder::new().name(name);
                threads.push(builder.spawn(move || caller.run(&stopped))?);
            }
        }
        Ok(Self {
            stop,
            threads,
            counts,
        })
    }

    /// Returns the counts of the calls since the previous `take_recent`.
    pub(super) fn take_recent(&self) -> CallCounts {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let (recent, earlier) = &mut *counts;
        let taken = std::mem::take(recent);
        earlier.add(&taken);
        taken
    }

    /// Waits for the calls in flight, ends the callers and returns the counts of all calls.
    pub(super) fn finish(self) -> CallCounts {
        drop(self.stop);
        for thread in self.threads {
            let _ = thread.join();
        }
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let (recent, earlier) = &*counts;
        let mut total = earlier.clone();
        total.add(recent);
        total
    }
}

/// HTTP client of one caller thread, and the counts that all callers share.
struct Caller {
    agent: Agent,
    base_url: String,
    name: String,
    counts: Arc<Mutex<(CallCounts, CallCounts)>>,
}

impl Caller {
    fn new(addr: SocketAddr, name: String, counts: Arc<Mutex<(CallCounts, CallCounts)>>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            base_url: format!("http://{addr}"),
            name,
            counts,
        }
    }

    fn run(&self, stopped: &Receiver<()>) {
        let ticks = tick(CALL_INTERVAL);
        let mut number = 0;
        loop {
            select! {
                recv(stopped) -> _ => return,
                recv(ticks) -> _ => {}
            }
            number += 1;
            let start = Instant::now();
            let (res, repeats) = self.call_until_settled(number);
            let header = |name: &str| {
                let value = res.as_ref().ok()?.headers().get(name)?;
                value.to_str().ok()
            };
            let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
            let outcome = header("lavenderhatch-outcome");
            if !matches!(outcome, Some("ran" | "not-run")) {
                self.print_call_in_doubt(number, &res, start.elapsed());
            }
            counts.0.count(outcome, header("lavenderhatch-error"));
            counts.0.repeated += repeats;
        }
    }

    /// Prints what is known of a call without an outcome, from which its cause is traced.
    fn print_call_in_doubt(
        &self,
        number: u64,
        res: &Result<Response<Vec<u8>>, ureq::Error>,
        elapsed: Duration,
    ) {
        let what = match res {
            Ok(res) => String::from_utf8_lossy(res.body()).into_owned(),
            Err(err) => err.to_string(),
        };
        let name = &self.name;
        println!("  in doubt: call {number} of {name} after {elapsed:?}: {what}");
    }

    /// Sends a call, and repeats it with the same key as long as the response says that the key is
    /// in flight, as callers are advised to do.
    ///
    /// Returns the last response and the number of repeats.
    fn call_until_settled(&self, number: u64) -> (Result<Response<Vec<u8>>, ureq::Error>, u64) {
        let mut repeats = 0;
        loop {
            let res = self.call(number);
            let is_in_flight = res.as_ref().is_ok_and(|res| {
                let error = res.headers().get("lavenderhatch-error");
                error.is_some_and(|kind| kind == ErrorKind::KeyInFlight.as_str())
            });
            if !is_in_flight || repeats == MAX_REPEATS {
                return (res, repeats);
            }
            repeats += 1;
            let _ = after(REPEAT_DELAY).recv();
        }
    }

    /// Sends one call and reads the whole response. By `number`, calls alternate between placing an
    /// order, reading an order and searching.
    fn call(&self, number: u64) -> Result<Response<Vec<u8>>, ureq::Error> {
        let base_url = &self.base_url;
        let res = match number % 3 {
            0 => {
                let key = format!("{}-{number}", self.name);
                let req = self.agent.post(format!("{base_url}/orders"));
                req.header("idempotency-key", key)
                    .send("two reams of vellum")
            }
            1 => self.agent.get(format!("{base_url}/orders/{number}")).call(),
            _ => self.agent.get(format!("{base_url}/search?q=vellum")).call(),
        };
        let (head, mut body) = res?.into_parts();
        Ok(Response::from_parts(head, body.read_to_vec()?))
    }
}
