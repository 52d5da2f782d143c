//! A daemon at which calls enter, one for each availability zone.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderhatch_core::endpoint::{Endpoint, EndpointCounters, FULL_WEIGHT};
use lavenderhatch_core::{Incarnation, NodeId, Zone};
use lavenderhatch_decide::retry::RetryTokens;
use lavenderhatch_decide::routing::choose_endpoint;

use crate::scenario::{SERVERS, SLOTS};

/// Number of availability zones.
pub(crate) const ZONES: usize = 3;
/// One-way network delay within a zone, in microseconds.
const SAME_ZONE_DELAY_US: u64 = 100;
/// One-way network delay between zones, in microseconds.
const CROSS_ZONE_DELAY_US: u64 = 1000;
/// Weight of a backend server right after its restart, in thousandths.
const INITIAL_WEIGHT: u64 = 100;
/// Time in which the weight grows to [`FULL_WEIGHT`], in microseconds.
const SLOW_START_US: u64 = 20_000_000;

/// Endpoints and retry budget of one daemon at which calls enter.
pub(crate) struct EntryDaemon {
    number: usize,
    zone: Zone,
    endpoints: Vec<Endpoint>,
    /// Time at which each backend server was last found up again after a failure, in microseconds.
    restored_at_us: [Option<u64>; SERVERS],
    budget: RetryTokens,
}

impl EntryDaemon {
    pub(crate) fn new(number: usize) -> eyre::Result<Self> {
        let endpoints: eyre::Result<Vec<Endpoint>> = (0..SERVERS).map(endpoint).collect();
        Ok(Self {
            number,
            zone: zone(number)?,
            endpoints: endpoints?,
            restored_at_us: [None; SERVERS],
            budget: RetryTokens::default(),
        })
    }

    pub(crate) fn deposit(&mut self, ratio: f64) {
        self.budget = self.budget.deposit(ratio);
    }

    pub(crate) fn withdraw(&mut self) -> bool {
        let after = self.budget.withdraw();
        self.budget = after.unwrap_or(self.budget);
        after.is_some()
    }

    /// Chooses a backend server that is not in `tried`.
    pub(crate) fn choose(&self, tried: &[usize], random: u64, is_random: bool) -> Option<usize> {
        if !is_random {
            return choose_endpoint(&self.endpoints, tried, &self.zone, random);
        }
        let is_available = |at: &usize| !tried.contains(at) && !self.endpoints[*at].is_last_resort;
        let available: Vec<usize> = (0..SERVERS).filter(is_available).collect();
        match available.len() {
            0 => None,
            len => Some(available[random as usize % len]),
        }
    }

    /// Counts a call that starts. Returns the one-way delay in microseconds.
    pub(crate) fn start(&self, server: usize) -> u64 {
        self.endpoints[server].counters.start();
        self.delay_us(server)
    }

    pub(crate) fn finish(&self, server: usize) {
        self.endpoints[server].counters.finish(0, false);
    }

    pub(crate) fn delay_us(&self, server: usize) -> u64 {
        match server % ZONES == self.number {
            true => SAME_ZONE_DELAY_US,
            false => CROSS_ZONE_DELAY_US,
        }
    }

    /// Updates the calls of other daemons on each backend server, as heartbeats report them.
    ///
    /// `load` returns the calls in flight from all daemons.
    pub(crate) fn set_reported_load(&self, load: impl Fn(usize) -> u32) {
        for (at, endpoint) in self.endpoints.iter().enumerate() {
            let outstanding = endpoint.counters.outstanding();
            endpoint
                .counters
                .set_reported_calls(load(at).saturating_sub(outstanding));
        }
    }

    /// Updates which backend servers are up. Those that come back get a slow start.
    pub(crate) fn update_availability(&mut self, is_up: impl Fn(usize) -> bool, now_us: u64) {
        for (at, endpoint) in self.endpoints.iter_mut().enumerate() {
            if endpoint.is_last_resort && is_up(at) {
                self.restored_at_us[at] = Some(now_us);
            }
            endpoint.is_last_resort = !is_up(at);
            if let Some(since) = self.restored_at_us[at] {
                let weight = u64::from(FULL_WEIGHT) * (now_us - since) / SLOW_START_US;
                endpoint.weight = weight.clamp(INITIAL_WEIGHT, u64::from(FULL_WEIGHT)) as u32;
            }
        }
    }
}

fn zone(number: usize) -> eyre::Result<Zone> {
    Ok(Zone::new(&format!("zone-{number}"))?)
}

fn endpoint(number: usize) -> eyre::Result<Endpoint> {
    Ok(Endpoint {
        node: NodeId::new(&format!("o{number}"))?,
        incarnation: Incarnation(1),
        zone: zone(number % ZONES)?,
        peer_addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: SLOTS,
        weight: FULL_WEIGHT,
        is_last_resort: false,
        counters: Arc::new(EndpointCounters::default()),
    })
}
