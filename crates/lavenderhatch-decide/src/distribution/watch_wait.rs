//! How long a watch of the store waits.

use std::time::Duration;

/// Longest wait of one watch. Each watch counts as a call.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(25);
/// Shortest wait of one watch.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(2);
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
/// with the number of daemons, up to the longest wait.
pub fn watch_wait(daemons: usize, fraction: f64) -> Duration {
    let wait = match u32::try_from(daemons) {
        Ok(1..) => RENEWAL_INTERVAL.saturating_mul(daemons as u32),
        _ => MAX_WATCH_WAIT,
    };
    let wait = wait.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
    wait.mul_f64(1.0 - JITTER_SHARE * fraction)
}
