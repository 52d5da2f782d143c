//! Delay between readings of a configuration that changes quickly.

use std::time::Duration;

/// Share of the apply deadline within which a version must have been read. The rest covers a link
/// shared with others.
const READ_SHARE: f64 = 0.7;
/// Maximum share of the apply deadline that the delay takes so that readings leave room on a small
/// link.
const MAX_LINK_SHARE: f64 = 0.25;
/// Minimum delay.
const MIN_DELAY: Duration = Duration::from_millis(200);

/// Returns the delay before the next reading during a burst of changes.
///
/// A version that is written just after a reading began waits for the end of that reading, for the
/// delay and for the next reading. Readings of `read_time` each use at most half of a small link,
/// unless the deadline asks for more.
pub fn coalescing_delay(apply_deadline: Duration, read_time: Duration) -> Duration {
    let until_deadline = apply_deadline
        .mul_f64(READ_SHARE)
        .saturating_sub(read_time * 2);
    let for_link = read_time.min(apply_deadline.mul_f64(MAX_LINK_SHARE));
    until_deadline.max(for_link).max(MIN_DELAY)
}
