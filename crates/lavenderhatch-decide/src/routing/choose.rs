//! Choice between the backend servers of a service.

use lavenderhatch_core::Zone;
use lavenderhatch_core::endpoint::{Endpoint, FULL_WEIGHT};

/// Part of the slots of the own zone that is in use when calls spill over to other zones.
const SPILL_LEVEL: f64 = 0.8;
/// Outstanding work over capacity from which on more makes no difference. Work above it waits by
/// rank, so its amount does not tell how long a call waits; a backend server that has just refused
/// its queue would draw the calls of all ranks.
const MAX_COMPARED: f64 = 2.0;

/// Chooses a backend server by two random candidates and less outstanding work for their weight.
///
/// Candidates are those of `zone` until its mean outstanding work exceeds 80% of its slots, and
/// those of all zones from then on. Last-resort backend servers are candidates only if nothing else
/// is left. `random` is a uniformly distributed number. `excluded` holds positions that must not be
/// chosen again. Returns the position of the chosen backend server.
///
/// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
pub fn choose(
    endpoints: &[Endpoint],
    excluded: &[usize],
    zone: &Zone,
    random: u64,
) -> Option<usize> {
    let is_open = |at: usize| !excluded.contains(&at);
    let is_regular = |at: usize| is_open(at) && !endpoints[at].is_last_resort;
    let is_near = |at: usize| is_regular(at) && endpoints[at].zone == *zone;
    if has_room(endpoints, is_near) {
        return choose_of(endpoints, is_near, random);
    }
    choose_of(endpoints, is_regular, random).or_else(|| choose_of(endpoints, is_open, random))
}

/// Whether the candidates have less outstanding work than the level at which calls spill over.
fn has_room(endpoints: &[Endpoint], is_candidate: impl Fn(usize) -> bool) -> bool {
    let candidates = || (0..endpoints.len()).filter(|at| is_candidate(*at));
    let work: u32 = candidates().map(|at| outstanding(&endpoints[at])).sum();
    let capacity: f64 = candidates().map(|at| capacity(&endpoints[at])).sum();
    f64::from(work) < capacity * SPILL_LEVEL
}

fn choose_of(
    endpoints: &[Endpoint],
    is_candidate: impl Fn(usize) -> bool,
    random: u64,
) -> Option<usize> {
    let candidates = || (0..endpoints.len()).filter(|at| is_candidate(*at));
    let count = candidates().count();
    if count == 0 {
        return None;
    }
    // Both may be the same. Two that always differ would send each call of a light load to the one
    // with the slightly greater weight, and nothing would be learned of the others.
    let first = candidates().nth(random as u32 as usize % count)?;
    let second = candidates().nth((random >> 32) as usize % count)?;
    match cost(&endpoints[second]) < cost(&endpoints[first]) {
        true => Some(second),
        false => Some(first),
    }
}

/// Outstanding work, one more call included, for each unit of capacity.
fn cost(endpoint: &Endpoint) -> f64 {
    let cost = (f64::from(outstanding(endpoint)) + 1.0) / capacity(endpoint);
    cost.min(MAX_COMPARED)
}

/// Calls in flight from this daemon and those that the backend server has reported.
fn outstanding(endpoint: &Endpoint) -> u32 {
    let counters = &endpoint.counters;
    counters
        .outstanding()
        .saturating_add(counters.reported_calls())
}

/// Slots by weight.
fn capacity(endpoint: &Endpoint) -> f64 {
    f64::from(endpoint.slots) * f64::from(endpoint.weight) / f64::from(FULL_WEIGHT)
}
