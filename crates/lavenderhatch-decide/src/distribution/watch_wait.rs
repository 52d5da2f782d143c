//! How long a watch of the store waits.

use std::time::Duration;

/// Longest wait of one watch. Each watch counts as a call.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(25);
/// Mean wait of the watches of few daemons. With the time after which a watch is overdue and a
/// listing, it stays below the shortest apply deadline of 2 s and the silence of the store that has
/// swallowed the watch: there may be no other daemon that tells of the missed version.
const SHORT_WAIT: Duration = Duration::from_millis(1500);
/// Part of [`SHORT_WAIT`] by which the wait differs at most.
const SHORT_WAIT_JITTER: f64 = 0.05;
/// Mean time between the ends of two watches of all daemons together.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the wait that is random, so that the watches of daemons that started together do not end
/// together.
const JITTER_SHARE: f64 = 0.5;

/// Returns how long a watch waits for a change if there are `daemons` daemons, zero if that is not
/// known. `fraction` is random, 0 to 1.
///
/// A store that has fallen silent may ignore the watches of all daemons. The first one that ends
/// shows its daemon the version that was missed, and the others learn of it from that daemon's
/// messages. So the watches of all daemons together end at a fixed rate, and their calls do not grow
/// with the number of daemons, up to the longest wait. A daemon that does not know of others must
/// find out by itself.
pub fn watch_wait(daemons: usize, fraction: f64) -> Duration {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    let wait = RENEWAL_INTERVAL.saturating_mul(daemons).min(MAX_WATCH_WAIT);
    let mean = wait.mul_f64(1.0 - JITTER_SHARE / 2.0);
    if mean <= SHORT_WAIT {
        return SHORT_WAIT.mul_f64(1.0 + SHORT_WAIT_JITTER * (1.0 - 2.0 * fraction));
    }
    wait.mul_f64(1.0 - JITTER_SHARE * fraction)
}
