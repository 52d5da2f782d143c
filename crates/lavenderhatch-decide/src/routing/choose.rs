//! Choice of a backend server among those of a service.

use lavenderhatch_core::Zone;
use lavenderhatch_core::endpoint::{Endpoint, FULL_WEIGHT};

/// Slot utilization of the local zone from which on calls spill over to other zones.
const SPILLOVER_UTILIZATION: f64 = 0.8;
/// Maximum ratio of outstanding work to capacity that is compared.
///
/// Work above it waits by rank, so its amount does not show how long a call waits. Without the
/// maximum, a backend server that has just refused its whole queue would attract the calls of all
/// ranks.
const MAX_COMPARED_LOAD: f64 = 2.0;

/// Chooses the one of two random candidates with less outstanding work for its weight, and returns
/// its position.
///
/// The candidates are the backend servers of `zone`, the local zone, until its mean outstanding
/// work reaches 80% of its slots, and those of all zones from then on. Last-resort backend servers
/// are candidates only if no other is left. `excluded` holds the positions that must not be chosen
/// again. `random` is a uniformly distributed number.
///
/// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
pub fn choose_endpoint(
    endpoints: &[Endpoint],
    excluded: &[usize],
    zone: &Zone,
    random: u64,
) -> Option<usize> {
    let is_untried = |at: usize| !excluded.contains(&at);
    let is_regular = |at: usize| is_untried(at) && !endpoints[at].is_last_resort;
    let is_local = |at: usize| is_regular(at) && endpoints[at].zone == *zone;
    if has_spare_capacity(endpoints, is_local) {
        return choose_of_two(endpoints, is_local, random);
    }
    choose_of_two(endpoints, is_regular, random)
        .or_else(|| choose_of_two(endpoints, is_untried, random))
}

/// Whether the outstanding work of the candidates is below the level at which calls spill over.
fn has_spare_capacity(endpoints: &[Endpoint], is_candidate: impl Fn(usize) -> bool) -> bool {
    let candidates = || (0..endpoints.len()).filter(|at| is_candidate(*at));
    let work: u32 = candidates().map(|at| outstanding(&endpoints[at])).sum();
    let capacity: f64 = candidates().map(|at| capacity(&endpoints[at])).sum();
    f64::from(work) < capacity * SPILLOVER_UTILIZATION
}

fn choose_of_two(
    endpoints: &[Endpoint],
    is_candidate: impl Fn(usize) -> bool,
    random: u64,
) -> Option<usize> {
    let candidates = || (0..endpoints.len()).filter(|at| is_candidate(*at));
    let count = candidates().count();
    if count == 0 {
        return None;
    }
    // Both candidates may be the same. If they always differed, a light load would only reach the
    // backend servers with slightly greater weights, and nothing would be observed of the others.
    let first = candidates().nth(random as u32 as usize % count)?;
    let second = candidates().nth((random >> 32) as usize % count)?;
    match cost(&endpoints[second]) < cost(&endpoints[first]) {
        true => Some(second),
        false => Some(first),
    }
}

/// Returns the outstanding work per unit of capacity, including one more call.
fn cost(endpoint: &Endpoint) -> f64 {
    let cost = (f64::from(outstanding(endpoint)) + 1.0) / capacity(endpoint);
    cost.min(MAX_COMPARED_LOAD)
}

/// Returns the number of calls in flight from this daemon plus those that the backend server has
/// reported.
fn outstanding(endpoint: &Endpoint) -> u32 {
    let counters = &endpoint.counters;
    counters
        .outstanding()
        .saturating_add(counters.reported_calls())
}

/// Returns the number of slots scaled by the weight.
fn capacity(endpoint: &Endpoint) -> f64 {
    f64::from(endpoint.slots) * f64::from(endpoint.weight) / f64::from(FULL_WEIGHT)
}
