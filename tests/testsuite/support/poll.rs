//! Waits for a condition without a fixed sleep.

use std::time::{Duration, Instant};

use crossbeam::channel::tick;

const INTERVAL: Duration = Duration::from_millis(20);

/// Asks until there is an answer, for at most `limit`.
pub(crate) fn poll<T>(limit: Duration, what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + limit;
    let ticks = tick(INTERVAL);
    loop {
        if let Some(answer) = ask() {
            return answer;
        }
        assert!(Instant::now() < deadline, "{what}: not within {limit:?}");
        let _ = ticks.recv();
    }
}
