//! Polling for a condition, without a fixed sleep.

use std::time::{Duration, Instant};

use crossbeam::channel::tick;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `probe` until it returns a value, and panics after `limit`.
pub(crate) fn poll<T>(
    limit: Duration,
    description: &str,
    mut probe: impl FnMut() -> Option<T>,
) -> T {
    let deadline = Instant::now() + limit;
    let ticks = tick(POLL_INTERVAL);
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "{description}: not within {limit:?}"
        );
        let _ = ticks.recv();
    }
}
