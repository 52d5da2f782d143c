//! Simulates a flood of long requests beside short ones of a more urgent rank.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{Demand, SlotQueue};

const SLOTS: u32 = 12;
const LENGTH_MS: u64 = 20_000;
/// Time until the slot use of the ranks is known.
const WARM_UP_MS: u64 = 2_000;
const SHORT: RequestKind = RequestKind {
    priority: 1,
    service_ms: 50,
    target_ms: 150,
    per_s: 100,
};
const LONG: RequestKind = RequestKind {
    priority: 2,
    service_ms: 400,
    target_ms: 2500,
    per_s: 60,
};

#[derive(Clone, Copy)]
struct RequestKind {
    priority: u8,
    service_ms: u64,
    target_ms: u64,
    per_s: u64,
}

#[derive(Default)]
struct RequestCounts {
    sent: u32,
    on_time: u32,
}

#[derive(Default)]
struct SimulatedBackend {
    queue: SlotQueue<(RequestKind, u64)>,
    running: BTreeMap<u64, Vec<(RequestKind, u64)>>,
    in_use: u32,
    counts: BTreeMap<u8, RequestCounts>,
}

impl SimulatedBackend {
    fn arrive(&mut self, kind: RequestKind, now: u64) {
        self.counts.entry(kind.priority).or_default().sent += 1;
        let at = Timestamp(now);
        let demand = Demand {
            class: u64::from(kind.priority),
            priority: kind.priority,
            arrived: at,
            target_at: at + Duration::from_millis(kind.target_ms),
            deadline: at + Duration::from_millis(kind.target_ms * 2),
        };
        let reserved = self.queue.reserved(&demand, SLOTS, at);
        if self.queue.is_empty() && self.in_use + reserved < SLOTS {
            return self.start(kind, now, now);
        }
        // A refused request is not served.
        let _ = self.queue.offer((kind, now), demand, SLOTS, at);
    }

    fn start(&mut self, kind: RequestKind, arrived: u64, now: u64) {
        self.in_use += 1;
        let end = now + kind.service_ms;
        self.running.entry(end).or_default().push((kind, arrived));
    }

    fn step(&mut self, now: u64) {
        for (kind, arrived) in self.running.remove(&now).unwrap_or_default() {
            self.in_use -= 1;
            let is_on_time = now - arrived <= kind.target_ms;
            let count = self.counts.entry(kind.priority).or_default();
            count.on_time += u32::from(is_on_time);
            let class = u64::from(kind.priority);
            let took = Duration::from_millis(kind.service_ms);
            self.queue
                .record(class, kind.priority, took, Timestamp(now));
        }
        while self.in_use < SLOTS {
            let free = SLOTS - self.in_use;
            let Some(at) = self.queue.next(free, SLOTS, Timestamp(now)) else {
                return;
            };
            let (kind, arrived) = self.queue.take(at);
            self.start(kind, arrived, now);
        }
    }
}

/// Guards against short urgent requests that wait for a long one to end, and against slots that are
/// reserved without need.
#[test]
fn long_requests_leave_slots_to_short_urgent_ones() {
    let mut backend = SimulatedBackend::default();
    // A linear congruential generator makes the arrivals irregular.
    let mut random: u64 = 7;
    for now in 1..LENGTH_MS + WARM_UP_MS {
        if now == WARM_UP_MS {
            backend.counts.clear();
        }
        backend.step(now);
        for kind in [SHORT, LONG] {
            random = random
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            if (random >> 33) % 1000 < kind.per_s {
                backend.arrive(kind, now);
            }
        }
    }
    let short = &backend.counts[&SHORT.priority];
    let long = &backend.counts[&LONG.priority];
    assert!(
        short.on_time * 100 >= short.sent * 98,
        "{} of {}",
        short.on_time,
        short.sent
    );
    // The short ones use 5 of 12 slots. The long ones get most of the other 7.
    let capacity = 7 * LENGTH_MS / LONG.service_ms;
    assert!(
        u64::from(long.on_time) * 100 >= capacity * 65,
        "{} of {capacity}",
        long.on_time
    );
}
