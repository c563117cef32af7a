//! Owns the counters of one process. Duties add to them; the metrics edge
//! reads them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::IntoEnumIterator;

use crate::error::ErrorKind;
use crate::waste::MessageKind;

/// Counters of one process, shared by its duties.
#[derive(Debug, Clone, Default)]
pub struct ProcessCounters {
    inner: Arc<CounterCells>,
}

#[derive(Debug)]
struct CounterCells {
    messages: Vec<AtomicU64>,
    failures: Vec<AtomicU64>,
    completed: AtomicU64,
    waiting: AtomicU64,
    in_progress: AtomicU64,
    dropped_lines: AtomicU64,
    slots: AtomicU64,
}

impl Default for CounterCells {
    fn default() -> CounterCells {
        CounterCells {
            messages: MessageKind::iter().map(|_| AtomicU64::new(0)).collect(),
            failures: ErrorKind::iter().map(|_| AtomicU64::new(0)).collect(),
            completed: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            in_progress: AtomicU64::new(0),
            dropped_lines: AtomicU64::new(0),
            slots: AtomicU64::new(0),
        }
    }
}

impl ProcessCounters {
    /// Counts one message.
    pub fn count(&self, kind: MessageKind) {
        self.inner.messages[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a question and its answer.
    pub fn count_exchange(&self, kind: MessageKind) {
        self.inner.messages[kind as usize].fetch_add(2, Ordering::Relaxed);
    }

    /// Messages of one kind.
    pub fn messages(&self, kind: MessageKind) -> u64 {
        self.inner.messages[kind as usize].load(Ordering::Relaxed)
    }

    /// Messages that did no work for an outcome.
    pub fn wasted(&self) -> u64 {
        let wasted = MessageKind::iter().filter(|kind| kind.is_wasted());
        wasted.map(|kind| self.messages(kind)).sum()
    }

    /// Counts a failed answer.
    pub fn fail(&self, kind: ErrorKind) {
        self.inner.failures[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Failed answers of one kind.
    pub fn failures(&self, kind: ErrorKind) -> u64 {
        self.inner.failures[kind as usize].load(Ordering::Relaxed)
    }

    /// Counts a whole answer.
    pub fn complete(&self) {
        self.inner.completed.fetch_add(1, Ordering::Relaxed);
    }

    /// Whole answers.
    pub fn completed(&self) -> u64 {
        self.inner.completed.load(Ordering::Relaxed)
    }

    /// Sets how many tasks wait.
    pub fn set_waiting(&self, tasks: usize) {
        self.inner.waiting.store(tasks as u64, Ordering::Relaxed);
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> u64 {
        self.inner.waiting.load(Ordering::Relaxed)
    }

    /// Sets how many submissions or tasks are in progress.
    pub fn set_in_progress(&self, items: usize) {
        self.inner.in_progress.store(items as u64, Ordering::Relaxed);
    }

    /// Submissions or tasks in progress.
    pub fn in_progress(&self) -> u64 {
        self.inner.in_progress.load(Ordering::Relaxed)
    }

    /// Sets how many slots are known to take work.
    pub fn set_slots(&self, slots: u32) {
        self.inner.slots.store(u64::from(slots), Ordering::Relaxed);
    }

    /// Slots known to take work.
    pub fn slots(&self) -> u64 {
        self.inner.slots.load(Ordering::Relaxed)
    }

    /// Counts a log line that found no room.
    pub fn drop_line(&self) {
        self.inner.dropped_lines.fetch_add(1, Ordering::Relaxed);
    }

    /// Log lines that found no room.
    pub fn dropped_lines(&self) -> u64 {
        self.inner.dropped_lines.load(Ordering::Relaxed)
    }
}
