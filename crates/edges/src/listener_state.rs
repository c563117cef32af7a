//! Owns the open connections of one listener, as its tasks share them, and tells those that
//! [`ConnectionTable`] names to close.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use decisions::connections::{
    ConnectionId, ConnectionTable, ListenerKind, ListenerLimits, OpenStep, ReserveStep,
};
use indexmap::IndexMap;
use kernel::SharedClock;
use model::{CloseCause, EventLine, EventLog, ProcessCounters, ProcessLimits};
use tokio::sync::Notify;

/// Settings of a listener.
pub struct ListenerSettings {
    /// What it serves; its name in log lines.
    pub name: &'static str,
    /// Clock for the times of connections.
    pub clock: SharedClock,
    /// Takes a line for each interval in which something was refused or closed.
    pub log: EventLog,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Kind of its clients.
    pub kind: ListenerKind,
    /// Limits of the process.
    pub process: ProcessLimits,
}

/// The connections of a listener.
pub(crate) struct ListenerState {
    name: &'static str,
    clock: SharedClock,
    log: EventLog,
    counters: ProcessCounters,
    /// Limits that hold where the configuration sets none.
    pub(crate) defaults: ListenerLimits,
    table: Mutex<ConnectionTable>,
    /// Tells each open connection to close.
    closers: Mutex<IndexMap<ConnectionId, Arc<Notify>>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ListenerState {
    /// Creates the state of a listener without connections.
    pub(crate) fn new(settings: ListenerSettings) -> ListenerState {
        let ListenerSettings { name, clock, log, counters, kind, process } = settings;
        let defaults = ListenerLimits::new(kind, process);
        let table = Mutex::new(ConnectionTable::new(clock.now(), defaults));
        ListenerState { name, clock, log, counters, defaults, table, closers: Mutex::default() }
    }

    /// Decides on a new connection; `None` if it is refused. Another one may be closed for it.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let step = self.table().on_connect(self.now());
        let id = match step {
            OpenStep::Accept(id) => id,
            OpenStep::Replace(id, victim) => {
                self.close([victim]);
                id
            }
            OpenStep::Refuse => return None,
        };
        let closer = Arc::new(Notify::new());
        lock(&self.closers).insert(id, Arc::clone(&closer));
        Some(ConnectionGuard { state: Arc::clone(self), id, closer })
    }

    /// Holds more bytes for a connection; `false` if the listener holds as many as it may.
    pub(crate) fn reserve(&self, id: ConnectionId, bytes: u64) -> bool {
        let step = self.table().reserve(self.now(), id, bytes);
        match step {
            ReserveStep::Grant(victims) => {
                self.close(victims);
                true
            }
            ReserveStep::Refuse => false,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        lock(&self.table)
    }

    pub(crate) fn close(&self, ids: impl IntoIterator<Item = ConnectionId>) {
        let closers = lock(&self.closers);
        for id in ids {
            if let Some(closer) = closers.get(&id) {
                closer.notify_one();
            }
        }
    }

    /// Closes a connection for which there is no room, although it was accepted.
    pub(crate) fn refuse(&self, id: ConnectionId) {
        self.table().refuse(id);
        self.close([id]);
    }

    /// Closes overdue connections, writes the summary and returns memory after a burst.
    pub(crate) fn check(&self) {
        let now = self.now();
        let (overdue, summary, is_burst_over) = {
            let mut table = self.table();
            (table.overdue(now), table.take_summary(now), table.take_burst_end(now))
        };
        self.close(overdue);
        if let Some(summary) = summary {
            let mut line = EventLine::new("connections_limited")
                .with("listener", self.name)
                .with("interval_ms", summary.interval.as_millis())
                .with("open", summary.open)
                .with("max_open", summary.max_open)
                .with("max_held_bytes", summary.max_held_bytes);
            let mut is_limited = false;
            for (cause, count) in summary.closed {
                self.counters.count_closed(cause, count);
                line = line.with(cause.into(), count);
                is_limited |= cause != CloseCause::Idle;
            }
            // The idle timeout also ends connections of clients that stay within the limits.
            if is_limited {
                self.log.warn(line);
            }
        }
        if is_burst_over {
            crate::returned_memory::return_free_memory();
        }
    }
}

/// Removes a connection from the table when its task ends, also by a panic.
pub(crate) struct ConnectionGuard {
    state: Arc<ListenerState>,
    pub(crate) id: ConnectionId,
    closer: Arc<Notify>,
}

impl ConnectionGuard {
    /// Waits until the table closes the connection.
    pub(crate) async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Is notified when the table closes the connection.
    pub(crate) fn closer(&self) -> Arc<Notify> {
        Arc::clone(&self.closer)
    }

    /// The state of the listener.
    pub(crate) fn state(&self) -> &Arc<ListenerState> {
        &self.state
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.state.closers).swap_remove(&self.id);
        self.state.table().on_closed(self.id);
    }
}
