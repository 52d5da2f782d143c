//! Limit on the bodies that are on their way to a daemon over the link of its machine.
//!
//! Load that it answers: uploads from many daemons to a few backend servers with small links. Each
//! sender asks before it sends a body, and a free slot does not tell how many other bodies are on
//! their way. They would queue in the link for seconds, and with them the configuration, answers and
//! the opening packets of connections.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Part of the link that bodies may use in the long run. The rest is for all other messages.
const BODY_SHARE: f64 = 0.7;
/// Longest time for which admitted bodies may occupy the link when another one is admitted. Far
/// below the time within which a configuration must be in force.
const MAX_BACKLOG: Duration = Duration::from_millis(200);

/// Time for which the bodies that a daemon has agreed to receive occupy its link.
#[derive(Clone, Copy, Debug)]
pub struct LinkBacklog {
    /// Bytes of bodies that the link carries in a second.
    bytes_per_second: f64,
    /// Time that the link needed at `updated_at` for the bodies admitted until then.
    backlog: Duration,
    updated_at: Timestamp,
}

impl LinkBacklog {
    /// Creates the backlog of an idle link that carries `bytes_per_second` in all.
    pub fn new(bytes_per_second: f64, now: Timestamp) -> Self {
        Self {
            bytes_per_second: bytes_per_second * BODY_SHARE,
            backlog: Duration::ZERO,
            updated_at: now,
        }
    }

    /// Admits a body of `bytes`, of any size if the link is not occupied for too long already.
    /// Otherwise returns the time after which it may be admitted.
    pub fn admit(&mut self, bytes: u64, now: Timestamp) -> Result<(), Duration> {
        let backlog = self.backlog.saturating_sub(now.since(self.updated_at));
        if backlog > MAX_BACKLOG {
            return Err(backlog - MAX_BACKLOG);
        }
        let transfer = Duration::try_from_secs_f64(bytes as f64 / self.bytes_per_second);
        self.backlog = backlog.saturating_add(transfer.unwrap_or(Duration::MAX));
        self.updated_at = now;
        Ok(())
    }
}
