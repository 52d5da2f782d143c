//! Choice between the backend servers of a service.

use lavenderhatch_core::endpoint::Endpoint;

/// Chooses a backend server by two random candidates and fewer calls in flight for their weight.
///
/// `random` is a uniformly distributed number. `excluded` holds positions that must not be chosen
/// again. A last resort is chosen only if nothing else is left. Returns the position of the chosen
/// backend server.
///
/// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
pub fn choose(endpoints: &[Endpoint], excluded: &[usize], random: u64) -> Option<usize> {
    let is_allowed = |at: &usize| !excluded.contains(at);
    let is_regular = |at: &usize| is_allowed(at) && !endpoints[*at].is_last_resort;
    let has_regular = (0..endpoints.len()).any(|at| is_regular(&at));
    let is_open = |at: &usize| match has_regular {
        true => is_regular(at),
        false => is_allowed(at),
    };
    let count = (0..endpoints.len()).filter(is_open).count();
    if count == 0 {
        return None;
    }
    let nth = |n: usize| (0..endpoints.len()).filter(is_open).nth(n);
    let first = nth(random as u32 as usize % count)?;
    let second = nth((random >> 32) as usize % count)?;
    if cost(&endpoints[second]) < cost(&endpoints[first]) {
        return Some(second);
    }
    Some(first)
}

/// Calls in flight, one more included, for each unit of capacity.
fn cost(endpoint: &Endpoint) -> f64 {
    let capacity = f64::from(endpoint.slots) * f64::from(endpoint.weight);
    (f64::from(endpoint.counters.outstanding()) + 1.0) / capacity
}
