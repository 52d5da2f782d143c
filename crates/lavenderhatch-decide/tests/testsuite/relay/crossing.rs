//! Simulates three zones of unequal demand and capacity.

use std::collections::VecDeque;

use lavenderhatch_decide::relay::{Candidate, Need, choose_backend};
use rstest::rstest;

use crate::support::Random;

const SLOTS: u32 = 18;
const SERVICE_MS: u64 = 90;
const TARGET_MS: u64 = 250;
const LENGTH_MS: u64 = 20_000;
/// Requests per second that one backend server can serve.
const CAPACITY: f64 = SLOTS as f64 * 1000.0 / SERVICE_MS as f64;
/// A request with a large answer.
const NEED: Need = Need {
    service_share: SERVICE_MS as f64 / TARGET_MS as f64,
    bytes: 5000.0,
};

/// A backend server that serves in order of arrival.
#[derive(Default)]
struct Server {
    zone: usize,
    relative_service_time: f64,
    /// Times at which the running requests end.
    running: VecDeque<u64>,
    waiting: VecDeque<u64>,
    latencies: Vec<u64>,
}

impl Server {
    fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    fn step(&mut self, now: u64) {
        while self.running.front().is_some_and(|end| *end <= now) {
            self.running.pop_front();
        }
        while self.running.len() < SLOTS as usize {
            let Some(arrived) = self.waiting.pop_front() else {
                return;
            };
            let end = now + (SERVICE_MS as f64 * self.relative_service_time) as u64;
            self.latencies.push(end - arrived);
            self.running.push_back(end);
        }
    }
}

/// Plays arrivals in each zone, in requests per second, with a backend server for each relative
/// service time. Returns the share of the requests that crossed zones, and the longest latency.
fn play(zones: [&[f64]; 3], rates: [f64; 3]) -> (f64, u64) {
    let server = |(zone, relative_service_time)| Server {
        zone,
        relative_service_time,
        ..Server::default()
    };
    let zones = zones.into_iter().enumerate();
    let mut servers: Vec<Server> = zones
        .flat_map(|(zone, times)| times.iter().map(move |time| (zone, *time)))
        .map(server)
        .collect();
    let mut random = Random(7);
    let (mut crossed, mut total) = (0, 0);
    for now in 0..LENGTH_MS {
        servers.iter_mut().for_each(|server| server.step(now));
        for (zone, rate) in rates.iter().enumerate() {
            // About one arrival per millisecond at most.
            if random.fraction() >= rate / 1000.0 {
                continue;
            }
            let candidate = |server: &Server| Candidate {
                load: server.load(),
                slots: SLOTS,
                relative_service_time: server.relative_service_time,
                relative_delay: 0.0,
                failure_rate: 0.0,
                is_in_local_zone: server.zone == zone,
                is_available: true,
            };
            let candidates: Vec<Candidate> = servers.iter().map(candidate).collect();
            let at = choose_backend(&candidates, &NEED, || random.next()).unwrap();
            servers[at].waiting.push_back(now);
            total += 1;
            crossed += u32::from(servers[at].zone != zone);
        }
    }
    let latencies = servers.iter().flat_map(|server| &server.latencies);
    let share = f64::from(crossed) / f64::from(total);
    (share, latencies.copied().max().unwrap())
}

/// Guards against traffic that crosses zones although its own zone could serve it in time, and
/// against requests that are late because they stay. The lower bound is the demand of a zone beyond
/// its capacity.
#[rstest]
#[case::busy_zones([&[1.0][..], &[1.0, 1.0], &[1.0]], [0.85, 0.6, 0.85])]
#[case::slow_servers([&[1.4][..], &[0.6, 1.0], &[1.4]], [0.8, 0.5, 0.8])]
#[case::one_zone_above_its_capacity([&[1.0][..], &[1.0, 1.0], &[1.0]], [0.85, 0.6, 1.25])]
#[case::two_zones_above_their_capacity([&[1.4][..], &[0.6, 1.0], &[1.0]], [1.2, 0.5, 1.1])]
fn only_what_a_zone_cannot_serve_crosses(#[case] zones: [&[f64]; 3], #[case] load: [f64; 3]) {
    let capacity = zones.map(|times| times.iter().map(|time| CAPACITY / time).sum::<f64>());
    let rates: [f64; 3] = std::array::from_fn(|zone| load[zone] * capacity[zone]);
    let excess: f64 = (0..3)
        .map(|zone| (rates[zone] - capacity[zone]).max(0.0))
        .sum();
    let lower_bound = excess / rates.iter().sum::<f64>();
    let (crossed, longest) = play(zones, rates);
    // A zone near its capacity is above it at times; 2% is for those times.
    assert!(
        crossed <= 1.3 * lower_bound + 0.02,
        "{crossed} crossed, {lower_bound} had to"
    );
    assert!(longest <= TARGET_MS, "{longest} ms");
}
