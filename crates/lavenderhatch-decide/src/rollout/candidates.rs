//! Which daemons watch for orders.

use crate::stable_hash::stable_hash;

/// Salt of the ranking of daemons.
const CANDIDATE_SALT: u64 = 0x726f_6c6c;

/// Returns the `count` daemons of highest rank among `names`, highest first.
///
/// Rendezvous hashing: all daemons that know the same records agree, and a daemon that joins or
/// leaves replaces at most one of the chosen ones.
pub fn candidates<'a>(names: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = names
        .map(|name| (stable_hash(CANDIDATE_SALT, name), name))
        .collect();
    if count < ranked.len() {
        // Sorting all of a large fleet would take a good part of the time for control work.
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, name)| name).collect()
}
