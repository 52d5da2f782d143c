//! The connections of one port, of which each holds a descriptor and memory.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{
    ConnectionAdmission, ConnectionId, ConnectionTable, ConnectionUse,
};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::monotonic_clock::MonotonicClock;

/// Time between two records of progress in the same use of a connection.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// The connections of one port.
#[derive(Debug)]
pub(crate) struct Connections {
    /// `None` if their number is not limited.
    table: Option<RefCell<ConnectionTable>>,
    evictions: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    port: &'static str,
    clock: MonotonicClock,
    metrics: Metrics,
}

impl Connections {
    /// Creates the empty set of a port with at most `max` connections.
    pub(crate) fn new(
        port: &'static str,
        max: Option<usize>,
        clock: MonotonicClock,
        metrics: Metrics,
    ) -> Rc<Self> {
        metrics.set_connection_limit(port, max.unwrap_or(0));
        Rc::new(Self {
            table: max.map(|max| RefCell::new(ConnectionTable::new(max))),
            evictions: RefCell::default(),
            port,
            clock,
            metrics,
        })
    }

    /// Adds a new connection; `None` if it must be closed.
    pub(crate) fn open(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let Some(table) = &self.table else {
            return Some(ConnectionSlot(None));
        };
        let now = self.clock.now();
        let id = match table.borrow_mut().open(now) {
            ConnectionAdmission::Admitted(id) => id,
            ConnectionAdmission::Replaces { admitted, evicted } => {
                if let Some(eviction) = self.evictions.borrow().get(&evicted) {
                    eviction.notify_one();
                }
                self.metrics.record_closed(self.port, "gave-way", now);
                admitted
            }
            ConnectionAdmission::Refused => {
                self.metrics.record_closed(self.port, "refused", now);
                return None;
            }
        };
        let eviction = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, Rc::clone(&eviction));
        self.update_metrics(table);
        Some(ConnectionSlot(Some(Rc::new(Entry {
            connections: Rc::clone(self),
            id,
            eviction,
            last: Cell::new((ConnectionUse::Idle, now)),
        }))))
    }

    fn update_metrics(&self, table: &RefCell<ConnectionTable>) {
        let open = table.borrow().len();
        self.metrics.set_connections(self.port, open);
    }
}

#[derive(Debug)]
struct Entry {
    connections: Rc<Connections>,
    id: ConnectionId,
    eviction: Rc<Notify>,
    /// What was recorded last, and when.
    last: Cell<(ConnectionUse, Timestamp)>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.connections.evictions.borrow_mut().remove(&self.id);
        if let Some(table) = &self.connections.table {
            table.borrow_mut().close(self.id);
            self.connections.update_metrics(table);
        }
    }
}

/// The place of one connection, until all copies are dropped.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionSlot(Option<Rc<Entry>>);

impl ConnectionSlot {
    /// Records what the connection is used for, or that it has made progress in the same use.
    pub(crate) fn record(&self, used_for: ConnectionUse) {
        let Some(entry) = &self.0 else {
            return;
        };
        let now = entry.connections.clock.now();
        let (last_use, last_at) = entry.last.get();
        if last_use == used_for && now.since(last_at) < PROGRESS_INTERVAL {
            return;
        }
        entry.last.set((used_for, now));
        if let Some(table) = &entry.connections.table {
            table.borrow_mut().record(entry.id, used_for, now);
        }
    }

    /// Returns what the connection is used for; `None` if that is not recorded.
    pub(crate) fn last_use(&self) -> Option<ConnectionUse> {
        self.0.as_ref().map(|entry| entry.last.get().0)
    }

    /// Waits until the connection must be closed to make room for another one.
    pub(crate) async fn evicted(&self) {
        match &self.0 {
            Some(entry) => entry.eviction.notified().await,
            None => std::future::pending().await,
        }
    }
}
