//! Callers that place orders one after the other.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use serde::Serialize;
use ureq::Agent;

use crate::fleet::OrderFleet;

const BODY: &str = "one pallet";
/// Largest recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// How an order is sent, and which idempotency key it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum KeyUse {
    /// No key, and sent directly to the back end without a daemon.
    Direct,
    /// No key.
    None,
    /// A key issued by a daemon. The call that fetches the key is not part of the latency.
    Issued,
    /// A key chosen by the caller.
    Chosen,
}

/// Results of all callers under one load.
pub(crate) struct Load {
    /// Latency of the orders that ran, in microseconds.
    pub(crate) latency: Histogram<u64>,
    /// Latency of the calls for a key, in microseconds.
    pub(crate) issue_latency: Histogram<u64>,
    /// Orders that were not answered with status 200.
    pub(crate) refused: u64,
}

impl Load {
    fn new() -> Result<Self> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            issue_latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            refused: 0,
        })
    }

    /// Places orders from `callers` threads for the time `span`.
    pub(crate) fn run(
        fleet: &OrderFleet,
        key: KeyUse,
        callers: usize,
        span: Duration,
    ) -> Result<Self> {
        let addrs = match key {
            KeyUse::Direct => fleet.backend_addrs(),
            _ => fleet.caller_addrs(),
        };
        let until = Instant::now() + span;
        let mut all = Self::new()?;
        thread::scope(|scope| {
            let spawn = |n: usize| {
                let addr = addrs[n % addrs.len()];
                scope.spawn(move || Caller::new(addr, key, n).run(until))
            };
            let threads: Vec<_> = (0..callers).map(spawn).collect();
            for thread in threads {
                let load = thread.join().map_err(|_| eyre!("a caller panicked"))??;
                all.latency.add(&load.latency)?;
                all.issue_latency.add(&load.issue_latency)?;
                all.refused += load.refused;
            }
            Ok(all)
        })
    }
}

struct Caller {
    agent: Agent,
    orders_url: String,
    keys_url: String,
    key: KeyUse,
    number: usize,
}

impl Caller {
    fn new(addr: SocketAddr, key: KeyUse, number: usize) -> Self {
        let config = Agent::config_builder().http_status_as_error(false);
        Self {
            agent: config.build().into(),
            orders_url: format!("http://{addr}/orders"),
            keys_url: format!("http://{addr}/.well-known/lavenderhatch/keys?route=place-order"),
            key,
            number,
        }
    }

    fn run(&self, until: Instant) -> Result<Load> {
        let mut load = Load::new()?;
        let mut count = 0_u64;
        while Instant::now() < until {
            count += 1;
            let start = Instant::now();
            let key = match self.key {
                KeyUse::Direct | KeyUse::None => None,
                KeyUse::Chosen => Some(format!("{}-{count}-{:?}", self.number, until)),
                KeyUse::Issued => {
                    let key = self.issue_key()?;
                    load.issue_latency
                        .record(start.elapsed().as_micros() as u64)?;
                    Some(key)
                }
            };
            let start = Instant::now();
            let has_run = self.place_order(key.as_deref())?;
            match has_run {
                true => load.latency.record(start.elapsed().as_micros() as u64)?,
                false => load.refused += 1,
            }
        }
        Ok(load)
    }

    fn issue_key(&self) -> Result<String> {
        let mut res = self.agent.post(&self.keys_url).send_empty()?;
        Ok(res.body_mut().read_to_string()?)
    }

    fn place_order(&self, key: Option<&str>) -> Result<bool> {
        let mut req = self.agent.post(&self.orders_url);
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let mut res = req.send(BODY)?;
        res.body_mut().read_to_vec()?;
        Ok(res.status() == 200)
    }
}
