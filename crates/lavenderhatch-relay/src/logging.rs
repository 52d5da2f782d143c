//! The log of a process.

use eyre::Result;
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Log lines that wait to be written. More are dropped, so that no request waits for the log.
const MAX_BUFFERED_LINES: usize = 4096;

/// Writes one JSON line for each event of at least `level` (`error` to `trace`) to standard output.
/// A thread of its own writes them; dropping the guard writes those that wait.
///
/// # Errors
///
/// If there is no such level.
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
