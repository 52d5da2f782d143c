//! Which connections a port serves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::byte_budget_limits::CONNECTION_BYTES;

/// Descriptors that are kept for files.
const RESERVED_FDS: usize = 200;
/// Time without progress after which a connection whose request arrives may give way. Packets that
/// are lost are sent again within this time.
const READ_STALL: Duration = Duration::from_millis(1000);
/// Time without progress after which a connection whose answer is written may give way.
const WRITE_STALL: Duration = Duration::from_millis(2500);

/// Identifies a connection in a [`ConnectionTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It carries no request.
    Idle,
    /// A request arrives.
    Reading,
    /// A request has arrived whole and has no answer yet.
    Running,
    /// An answer is written.
    Writing,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAdmission {
    /// There is room for it.
    Admitted(ConnectionId),
    /// It is admitted, and another connection must be closed.
    Replaces {
        /// The new connection.
        admitted: ConnectionId,
        /// The connection that gives way. It is no longer in the table.
        evicted: ConnectionId,
    },
    /// All connections are in use.
    Refused,
}

/// The connections that a port serves, at most a fixed number.
///
/// When all are taken, a new one replaces the one that has been idle or without progress for
/// longest, so that no client keeps others out by holding connections. A connection whose request
/// runs never gives way.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    max: usize,
    /// Time from which each connection may give way; `None` while its request runs.
    connections: BTreeMap<ConnectionId, Option<Timestamp>>,
    /// The connections that may give way, by that time. Invariant: the entries of `connections`
    /// that have a time.
    by_time: BTreeSet<(Timestamp, ConnectionId)>,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            connections: BTreeMap::new(),
            by_time: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a new connection, which is idle.
    pub fn open(&mut self, now: Timestamp) -> ConnectionAdmission {
        let mut evicted = None;
        if self.connections.len() >= self.max {
            let Some((since, id)) = self.by_time.first().copied() else {
                return ConnectionAdmission::Refused;
            };
            if since > now {
                return ConnectionAdmission::Refused;
            }
            self.close(id);
            evicted = Some(id);
        }
        let admitted = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(admitted, Some(now));
        self.by_time.insert((now, admitted));
        match evicted {
            None => ConnectionAdmission::Admitted(admitted),
            Some(evicted) => ConnectionAdmission::Replaces { admitted, evicted },
        }
    }

    /// Records what a connection is used for, or that it has made progress in the same use.
    pub fn record(&mut self, id: ConnectionId, used_for: ConnectionUse, now: Timestamp) {
        let Some(gives_way_at) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(before) = gives_way_at.take() {
            self.by_time.remove(&(before, id));
        }
        *gives_way_at = match used_for {
            ConnectionUse::Idle => Some(now),
            ConnectionUse::Reading => Some(now + READ_STALL),
            ConnectionUse::Running => None,
            ConnectionUse::Writing => Some(now + WRITE_STALL),
        };
        if let Some(time) = *gives_way_at {
            self.by_time.insert((time, id));
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(Some(time)) = self.connections.remove(&id) {
            self.by_time.remove(&(time, id));
        }
    }
}

/// Largest numbers of connections at the two ports of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other daemons.
    pub peers: usize,
}

/// The machine has no descriptors for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("limits.max_fds is {max_fds}, but {RESERVED_FDS} descriptors are kept for files")]
pub struct TooFewDescriptors {
    max_fds: usize,
}

impl ConnectionLimits {
    /// Lowers the limits to what the memory of the machine holds: a quarter of it at each port if
    /// every connection has unread bytes.
    pub fn within_memory(self, memory_mb: usize) -> Self {
        let max = memory_mb * 1024 * 1024 / 4 / CONNECTION_BYTES;
        Self {
            callers: self.callers.min(max),
            peers: self.peers.min(max),
        }
    }

    /// Works out the limits of a machine with so many descriptors.
    ///
    /// Each request needs a second connection, to a backend server or another daemon: callers get
    /// three eighths of the descriptors, and as many are left for those. Other daemons get the rest,
    /// of which each of their requests needs a part for the backend server's slots.
    pub fn of_descriptors(max_fds: usize) -> Result<Self, TooFewDescriptors> {
        let sockets = max_fds.saturating_sub(RESERVED_FDS);
        if sockets < 16 {
            return Err(TooFewDescriptors { max_fds });
        }
        Ok(Self {
            callers: sockets * 3 / 8,
            peers: sockets / 4,
        })
    }
}
