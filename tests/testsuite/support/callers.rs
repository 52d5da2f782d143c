//! Callers that send requests in the background while a test acts on the daemons.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded};
use ureq::Agent;

/// A completed or failed call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) end: Instant,
    /// Body of the response if its status is 200, otherwise the error or the body of the response.
    pub(crate) result: Result<String, String>,
}

/// Caller threads. Each sends its calls to one daemon, and moves on to the next when that daemon
/// closes the connection.
pub(crate) struct Callers {
    stop: Sender<()>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

impl Callers {
    /// Starts `callers_per_addr` callers for each address.
    pub(crate) fn start(addrs: &[SocketAddr], callers_per_addr: usize, path: &'static str) -> Self {
        let (stop, stopped) = bounded::<()>(0);
        let first = (0..addrs.len()).flat_map(|index| std::iter::repeat_n(index, callers_per_addr));
        let threads = first.map(|index| {
            let (addrs, stopped) = (addrs.to_vec(), stopped.clone());
            thread::spawn(move || run(&addrs, index, path, &stopped))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Stops the callers and returns their calls.
    pub(crate) fn stop(self) -> Vec<Call> {
        drop(self.stop);
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn run(addrs: &[SocketAddr], mut index: usize, path: &str, stopped: &Receiver<()>) -> Vec<Call> {
    let config = Agent::config_builder().http_status_as_error(false);
    let agent: Agent = config
        .timeout_global(Some(Duration::from_secs(30)))
        .build()
        .into();
    let mut calls = Vec::new();
    while stopped.try_recv() == Err(TryRecvError::Empty) {
        let res = agent
            .post(format!("http://{}{path}", addrs[index]))
            .send("x");
        let is_closed = res
            .as_ref()
            .is_ok_and(|res| res.headers().contains_key("connection"));
        index = (index + usize::from(is_closed)) % addrs.len();
        let result = res.map_err(|err| err.to_string()).and_then(|mut res| {
            let body = res.body_mut().read_to_string();
            let body = body.map_err(|err| err.to_string())?;
            if res.status() == 200 {
                Ok(body)
            } else {
                Err(body)
            }
        });
        let end = Instant::now();
        calls.push(Call { end, result });
    }
    calls
}
