//! The backend server of the new version that gets the share.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

/// Time for which one backend server of the new version gets the share.
const FOCUS_TIME: Duration = Duration::from_millis(1500);
/// That time while the new version is worse at too few backend servers.
const SUSPECT_FOCUS_TIME: Duration = Duration::from_millis(600);

/// The backend server of the new version that gets the share. Each one does in turn.
#[derive(Clone, Debug)]
pub(super) struct Focus {
    name: Option<String>,
    since: Timestamp,
    time: Duration,
}

impl Focus {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            name: None,
            since: now,
            time: FOCUS_TIME,
        }
    }

    /// Returns the name of its daemon.
    pub(super) fn name(&self) -> Option<&str> {
        self.name.as_deref()
    }

    /// Sets whether another backend server must soon show whether the version is worse.
    pub(super) fn set_urgent(&mut self, is_urgent: bool) {
        self.time = match is_urgent {
            true => SUSPECT_FOCUS_TIME,
            false => FOCUS_TIME,
        };
    }

    /// Gives the current one its whole time again.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.since = now;
    }

    /// Chooses among the daemons that can be used, in the order of their names. Returns whether it
    /// is another one than before.
    pub(super) fn choose(&mut self, usable: &[&String], now: Timestamp) -> bool {
        let current = self.name.as_ref().filter(|name| usable.contains(name));
        if current.is_some() && now.since(self.since) < self.time {
            return false;
        }
        let next = usable.iter().find(|name| Some(**name) > current);
        let next = next.or(usable.first()).map(|name| (*name).clone());
        self.since = now;
        let is_other = next != self.name;
        self.name = next;
        is_other
    }
}
