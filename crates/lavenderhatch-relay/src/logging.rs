//! Logging set-up.

use eyre::Result;
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Most log lines that are buffered. Further lines are dropped, so that no request waits for the
/// log.
const MAX_BUFFERED_LINES: usize = 4096;

/// Logs each event of at least `level` (`error` to `trace`) as a JSON line on standard output.
///
/// A separate thread writes the lines. Dropping the guard flushes the buffer.
///
/// # Errors
///
/// Fails if `level` is not a known level.
pub fn init_logging(level: &str) -> Result<WorkerGuard> {
    let level: Level = level.parse()?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .with_max_level(level)
        .with_target(false)
        .with_writer(writer)
        .init();
    Ok(guard)
}
