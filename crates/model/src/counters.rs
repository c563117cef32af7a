//! Owns the counters of one process. Duties update them; the metrics edge reads
//! them.
//!
//! Invariant: cells are updated with relaxed atomics, so different counters may
//! be read at slightly different moments.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::close_cause::CloseCause;
use crate::error::ErrorKind;
use crate::ids::QueueId;
use crate::message_kind::MessageKind;

/// A pair of kinds of tasks of which the second is known to slow the first one down.
#[derive(Debug, Clone, PartialEq)]
pub struct LearnedPair {
    /// The kind that is slowed down, by its queue.
    pub first: QueueId,
    /// The kind beside it that slows it down; may be the same.
    pub second: QueueId,
    /// Factor on the run time.
    pub factor: f64,
    /// Number of jobs that were compared, of both sorts.
    pub samples: u64,
    /// Time since an agent last reported the pair.
    pub age: Duration,
}

/// Counters of one process, shared by its duties.
#[derive(Debug, Clone, Default)]
pub struct ProcessCounters {
    cells: Arc<CounterCells>,
}

#[derive(Debug)]
struct CounterCells {
    /// Sent messages, indexed by [`MessageKind`].
    messages: Vec<AtomicU64>,
    /// Failed answers, indexed by [`ErrorKind`].
    failures: Vec<AtomicU64>,
    /// Refused and closed connections, indexed by [`CloseCause`].
    closed: Vec<AtomicU64>,
    completed: AtomicU64,
    waiting: AtomicU64,
    in_progress: AtomicU64,
    dropped_lines: AtomicU64,
    slots: AtomicU64,
    learned_pairs: Mutex<Vec<LearnedPair>>,
}

impl Default for CounterCells {
    fn default() -> CounterCells {
        CounterCells {
            messages: MessageKind::iter().map(|_| AtomicU64::new(0)).collect(),
            failures: ErrorKind::iter().map(|_| AtomicU64::new(0)).collect(),
            closed: CloseCause::iter().map(|_| AtomicU64::new(0)).collect(),
            completed: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            in_progress: AtomicU64::new(0),
            dropped_lines: AtomicU64::new(0),
            slots: AtomicU64::new(0),
            learned_pairs: Mutex::new(Vec::new()),
        }
    }
}

impl ProcessCounters {
    /// Counts one sent message.
    pub fn count_message(&self, kind: MessageKind) {
        self.cells.messages[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request and its reply as two messages.
    pub fn count_request_reply(&self, kind: MessageKind) {
        self.cells.messages[kind as usize].fetch_add(2, Ordering::Relaxed);
    }

    /// Number of messages of one kind.
    pub fn messages(&self, kind: MessageKind) -> u64 {
        self.cells.messages[kind as usize].load(Ordering::Relaxed)
    }

    /// Number of messages that did no work towards an outcome.
    pub fn wasted(&self) -> u64 {
        let wasted = MessageKind::iter().filter(|kind| kind.is_wasted());
        wasted.map(|kind| self.messages(kind)).sum()
    }

    /// Sets the pairs of kinds of tasks that are known to interfere.
    pub fn set_learned_pairs(&self, pairs: Vec<LearnedPair>) {
        let cell = &self.cells.learned_pairs;
        *cell.lock().unwrap_or_else(PoisonError::into_inner) = pairs;
    }

    /// Pairs of kinds of tasks that are known to interfere.
    pub fn learned_pairs(&self) -> Vec<LearnedPair> {
        let cell = &self.cells.learned_pairs;
        cell.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts a failed answer by its error kind.
    pub fn count_failure(&self, kind: ErrorKind) {
        self.cells.failures[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of failed answers of one kind.
    pub fn failures(&self, kind: ErrorKind) -> u64 {
        self.cells.failures[kind as usize].load(Ordering::Relaxed)
    }

    /// Counts refused and closed connections of one cause.
    pub fn count_closed(&self, cause: CloseCause, connections: u64) {
        self.cells.closed[cause as usize].fetch_add(connections, Ordering::Relaxed);
    }

    /// Number of refused and closed connections of one cause.
    pub fn closed(&self, cause: CloseCause) -> u64 {
        self.cells.closed[cause as usize].load(Ordering::Relaxed)
    }

    /// Counts a complete answer.
    pub fn count_completion(&self) {
        self.cells.completed.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of complete answers.
    pub fn completed(&self) -> u64 {
        self.cells.completed.load(Ordering::Relaxed)
    }

    /// Sets the number of tasks waiting for a slot.
    pub fn set_waiting(&self, tasks: usize) {
        self.cells.waiting.store(tasks as u64, Ordering::Relaxed);
    }

    /// Number of tasks waiting for a slot.
    pub fn waiting(&self) -> u64 {
        self.cells.waiting.load(Ordering::Relaxed)
    }

    /// Sets the number of submissions (entry), tasks or runs (agent) in
    /// progress.
    pub fn set_in_progress(&self, items: usize) {
        self.cells.in_progress.store(items as u64, Ordering::Relaxed);
    }

    /// Number of submissions, tasks or runs in progress.
    pub fn in_progress(&self) -> u64 {
        self.cells.in_progress.load(Ordering::Relaxed)
    }

    /// Sets the number of known slots that accept work.
    pub fn set_slots(&self, slots: u32) {
        self.cells.slots.store(u64::from(slots), Ordering::Relaxed);
    }

    /// Number of known slots that accept work.
    pub fn slots(&self) -> u64 {
        self.cells.slots.load(Ordering::Relaxed)
    }

    /// Counts a log line dropped because the log's ring refused it.
    pub fn count_dropped_line(&self) {
        self.cells.dropped_lines.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of dropped log lines.
    pub fn dropped_lines(&self) -> u64 {
        self.cells.dropped_lines.load(Ordering::Relaxed)
    }
}
