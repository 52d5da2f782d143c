//! Replays more load than a backend server can take, with callers that come back once.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{Demand, FirstAttemptEstimator, SlotQueue};
use rstest::rstest;

const SLOTS: u32 = 12;
const SERVICE_MS: u64 = 120;
const TARGET_MS: u64 = 500;
const DEADLINE_MS: u64 = 2000;
const TIMEOUT_MS: u64 = 1000;
const LENGTH_MS: u64 = 20_000;
/// Time after which a refused caller comes back.
const COMEBACK_MS: u64 = 100;

#[derive(Clone, Copy)]
struct Arrival {
    first_sent: u64,
    is_comeback: bool,
}

/// A gate under load, one millisecond at a time.
#[derive(Default)]
struct Gate {
    queue: SlotQueue<Arrival>,
    spans: FirstAttemptEstimator,
    /// Requests that run, by the time at which they end.
    running: BTreeMap<u64, Vec<Arrival>>,
    in_use: u32,
    on_time: u32,
    served: u32,
    refused: Vec<(u64, Arrival)>,
}

impl Gate {
    fn arrive(&mut self, arrival: Arrival, knows_first_attempts: bool, now: u64) {
        let since = now - arrival.first_sent;
        let allowed = Duration::from_millis(DEADLINE_MS - since);
        let mut elapsed = self.spans.elapsed(0, allowed);
        if !knows_first_attempts {
            elapsed = Duration::ZERO;
        }
        let now_at = Timestamp(now);
        let target = Duration::from_millis(TARGET_MS).saturating_sub(elapsed);
        let demand = Demand {
            class: 0,
            priority: 0,
            arrived: now_at,
            target_at: now_at + target,
            expires_at: now_at + allowed.min(Duration::from_millis(TIMEOUT_MS)),
        };
        if self.in_use < SLOTS && self.queue.is_empty() {
            return self.start(arrival, now);
        }
        if self.queue.offer(arrival, demand, SLOTS, now_at).is_err() && !arrival.is_comeback {
            let comeback = Arrival {
                is_comeback: true,
                ..arrival
            };
            self.refused.push((now + COMEBACK_MS, comeback));
        }
    }

    fn start(&mut self, arrival: Arrival, now: u64) {
        self.in_use += 1;
        self.running
            .entry(now + SERVICE_MS)
            .or_default()
            .push(arrival);
    }

    fn step(&mut self, now: u64) {
        for ended in self.running.remove(&now).unwrap_or_default() {
            self.in_use -= 1;
            self.served += 1;
            self.on_time += u32::from(now - ended.first_sent <= TARGET_MS);
            let took = Duration::from_millis(SERVICE_MS);
            self.queue.record(0, 0, took, Timestamp(now));
        }
        while self.in_use < SLOTS {
            let free = SLOTS - self.in_use;
            let Some(at) = self.queue.next(free, SLOTS, Timestamp(now)) else {
                return;
            };
            let next = self.queue.take(at);
            self.start(next, now);
        }
    }
}

/// Plays a steady load of `per_s` first attempts.
fn play(per_s: u64, knows_first_attempts: bool) -> Gate {
    let mut gate = Gate::default();
    let mut due = 0;
    for now in 1..LENGTH_MS {
        gate.step(now);
        let back: Vec<Arrival> = {
            let (back, later) = gate.refused.drain(..).partition(|(at, _)| *at <= now);
            gate.refused = later;
            let back: Vec<(u64, Arrival)> = back;
            back.into_iter().map(|(_, arrival)| arrival).collect()
        };
        for arrival in back {
            gate.arrive(arrival, knows_first_attempts, now);
        }
        due += per_s;
        while due >= 1000 {
            due -= 1000;
            let first = Arrival {
                first_sent: now,
                is_comeback: false,
            };
            gate.arrive(first, knows_first_attempts, now);
        }
    }
    gate
}

/// Guards against slots that are spent on answers which come too late to be of full worth, while
/// requests that could be answered in time are refused.
#[rstest]
#[case::at_capacity(100)]
#[case::half_above(150)]
#[case::twice_the_capacity(200)]
#[case::four_times_the_capacity(400)]
fn what_is_served_under_overload_is_on_time(#[case] per_s: u64) {
    let capacity = u64::from(SLOTS) * LENGTH_MS / SERVICE_MS;
    let gate = play(per_s, true);
    let expected = capacity.min(per_s * LENGTH_MS / 1000);
    assert!(
        u64::from(gate.served) * 100 >= expected * 97,
        "served {}",
        gate.served
    );
    assert!(
        u64::from(gate.on_time) * 100 >= expected * 95,
        "on time {}",
        gate.on_time
    );
}

/// Shows what the time since the first attempt is worth: without it, callers that come back take the
/// slots of those that can still be on time.
#[test]
fn without_first_attempts_many_answers_are_late() {
    let with = play(200, true);
    let without = play(200, false);
    assert!(
        without.on_time * 10 < with.on_time * 9,
        "{} of {}",
        without.on_time,
        with.on_time
    );
}
