//! Admission queue of a simulated backend server with a fixed service time.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::mesh::Rank;
use lavenderhatch_core::{ErrorKind, RankName, Timestamp};
use lavenderhatch_decide::ranks::{AdmissionQueue, RankTable, Request};
use rstest::rstest;

const SLOTS: usize = 10;
const SERVICE_MS: u64 = 10;
/// Number of requests that the backend server can run per millisecond, over all ranks.
const CAPACITY_PER_MS: f64 = SLOTS as f64 / SERVICE_MS as f64;
const RUN_MS: u64 = 5000;
const TIMEOUT: Duration = Duration::from_secs(2);
const TARGETS_MS: [u64; 3] = [50, 200, 1000];
const SHARES: [f64; 3] = [0.4, 0.3, 0.1];

fn table() -> RankTable {
    let names = ["urgent", "normal", "background"];
    let worths = [100, 20, 1];
    let rank = |at: usize| {
        let rank = Rank {
            target_ms: TARGETS_MS[at],
            worth: worths[at],
            share: SHARES[at],
        };
        (RankName::new(names[at]).unwrap(), rank)
    };
    RankTable::new(&(0..3).map(rank).collect::<BTreeMap<_, _>>())
}

fn queue() -> AdmissionQueue<u64> {
    let mut queue = AdmissionQueue::new(table(), SLOTS as u32, 1000);
    for rank in 0..3 {
        queue.record(rank, 100, 100 * SERVICE_MS * 1000);
    }
    queue
}

fn request(rank: usize, now: Timestamp, timeout: Duration) -> Request<u64> {
    Request {
        item: now.as_millis(),
        rank,
        arrived: now,
        deadline: now + timeout,
    }
}

/// Simulates a flood of one rank beside normal load of the others. Returns the fraction of the
/// requests of each rank that were answered within its target.
fn run_flood(flood: usize, load_factor: f64) -> [f64; 3] {
    let mut queue = queue();
    let (mut offered, mut within, mut due) = ([0.0; 3], [0.0; 3], [0.0; 3]);
    let mut ends: Vec<u64> = Vec::new();
    for ms in 0..RUN_MS {
        let now = Timestamp(ms);
        ends.retain(|end| *end > ms);
        for rank in 0..3 {
            due[rank] += match rank == flood {
                true => load_factor * CAPACITY_PER_MS,
                false => 0.9 * SHARES[rank] * CAPACITY_PER_MS,
            };
            while due[rank] >= 1.0 {
                due[rank] -= 1.0;
                offered[rank] += 1.0;
                queue.offer(request(rank, now, TIMEOUT), now);
            }
        }
        queue.expire(now);
        while ends.len() < SLOTS {
            let Some(granted) = queue.next(now) else {
                break;
            };
            ends.push(ms + SERVICE_MS);
            if ms + SERVICE_MS - granted.item <= TARGETS_MS[granted.rank] {
                within[granted.rank] += 1.0;
            }
        }
    }
    std::array::from_fn(|rank| within[rank] / offered[rank])
}

/// Guards against a flood that takes the guaranteed shares of the other ranks.
#[rstest]
#[case::least_urgent_twice(2, 2.0)]
#[case::least_urgent_five_times(2, 5.0)]
#[case::most_urgent_twice(0, 2.0)]
#[case::most_urgent_five_times(0, 5.0)]
fn flood_leaves_other_ranks_their_share_within_target(
    #[case] flood: usize,
    #[case] load_factor: f64,
) {
    let within = run_flood(flood, load_factor);
    for rank in (0..3).filter(|rank| *rank != flood) {
        assert!(within[rank] >= 0.99, "rank {rank}: {within:?}");
    }
}

/// Guards against a flooding rank whose answers are all late because its oldest requests are served
/// first.
#[test]
fn flooding_rank_itself_is_served_within_target() {
    // The other ranks use 0.9 of their shares of 0.3 and 0.1, so 0.64 of the capacity is left.
    let within = run_flood(0, 5.0)[0];
    assert!(within * 5.0 >= 0.9 * 0.64, "{within}");
}

/// Guards against an urgent request that waits behind less urgent ones that arrived earlier.
#[test]
fn urgent_request_overtakes() {
    let mut queue = queue();
    for _ in 0..50 {
        queue.offer(request(2, Timestamp(0), TIMEOUT), Timestamp(0));
    }
    queue.offer(request(0, Timestamp(1), TIMEOUT), Timestamp(1));
    assert_eq!(queue.next(Timestamp(1)).unwrap().rank, 0);
}

/// Guards against a caller that waits for a refusal that was certain on arrival.
#[rstest]
#[case::shorter_than_service(0, 5, true)]
#[case::longer_than_service(0, 15, false)]
#[case::shorter_than_queue(500, 100, true)]
#[case::longer_than_queue(500, 1500, false)]
fn deadline_that_cannot_be_met_is_refused_at_once(
    #[case] ahead: usize,
    #[case] timeout_ms: u64,
    #[case] is_refused: bool,
) {
    let (mut queue, now) = (queue(), Timestamp(0));
    for _ in 0..ahead {
        queue.offer(request(0, now, TIMEOUT), now);
    }
    assert!(queue.take_refused().is_empty());
    queue.offer(request(0, now, Duration::from_millis(timeout_ms)), now);
    let refused = queue.take_refused();
    assert_eq!(refused.len(), usize::from(is_refused));
    assert!(
        refused
            .iter()
            .all(|r| r.kind == ErrorKind::DeadlineUnmeetable)
    );
}

/// Guards against a request that is both granted a slot and refused.
#[test]
fn each_request_is_granted_or_refused_once() {
    let mut queue = queue();
    let (mut decided, mut offered) = (0, 0);
    for ms in 0..3000 {
        let now = Timestamp(ms);
        for rank in 0..3 {
            queue.offer(request(rank, now, Duration::from_millis(300)), now);
            offered += 1;
        }
        queue.expire(now);
        decided += usize::from(queue.next(now).is_some()) + queue.take_refused().len();
    }
    let waiting: usize = queue.lengths().sum();
    assert_eq!(decided + waiting, offered);
}
