//! The duty that writes the journal, with group commit: messages that arrive
//! during a sync are written as one frame.
//!
//! Invariants:
//! - entries are written in the order of their messages, and each is acknowledged
//!   only after its sync;
//! - a batch that could not be written is written again until that succeeds: a full
//!   disk has room again, and a process that gave up would be lost to its group.

use std::time::{Duration, Instant};

use kernel::{PopResult, Registry, Reservation, RingReceiver, RingSender, SharedClock};
use model::{JournalEntry, JournalMessage, LogMessage, ServiceName};

use crate::journal::Journal;

/// Maximum number of messages in one frame.
const MAX_BATCH_MESSAGES: usize = 1_024;
/// Pause before a batch that could not be written is written again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the replicated log is not registered.
pub fn run(
    ring: &RingReceiver<JournalMessage>,
    registry: &Registry<ServiceName>,
    clock: &SharedClock,
    mut journal: Journal,
) {
    let replicated_log: RingSender<LogMessage> =
        registry.find(ServiceName::ReplicatedLog).expect("the log is registered");
    loop {
        let first = match ring.pop(None) {
            PopResult::Message(message) => message,
            PopResult::DeadlinePassed => continue,
            PopResult::Closed => return,
        };
        let mut batch = JournalBatch::default();
        batch.collect(first, ring);
        while let Err(error) = journal.write(&batch.entries) {
            // The log goes on as soon as an entry of the batch is synced. If its ring is
            // full, it is told with the next attempt.
            let reason = error.to_string().into();
            let _full = replicated_log.push(LogMessage::JournalFailed { reason });
            if batch.collect_until(clock.now() + RETRY_DELAY, ring) == RingState::Closed {
                return;
            }
        }
        batch.acknowledge();
    }
}

/// Whether a ring accepts messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RingState {
    Open,
    Closed,
}

/// Entries that are written as one frame, each with the slot for its acknowledgement.
#[derive(Default)]
struct JournalBatch {
    entries: Vec<JournalEntry>,
    replies: Vec<Reservation<LogMessage>>,
}

impl JournalBatch {
    fn add(&mut self, message: JournalMessage) {
        let JournalMessage { entry, reply } = message;
        self.entries.push(entry);
        self.replies.push(reply);
    }

    /// Adds a message and all others that wait in the ring.
    fn collect(&mut self, first: JournalMessage, ring: &RingReceiver<JournalMessage>) {
        self.add(first);
        while self.entries.len() < MAX_BATCH_MESSAGES {
            let Some(message) = ring.try_next() else { break };
            self.add(message);
        }
    }

    /// Waits until `deadline`, and adds the messages that arrive meanwhile.
    fn collect_until(
        &mut self,
        deadline: Instant,
        ring: &RingReceiver<JournalMessage>,
    ) -> RingState {
        loop {
            match ring.pop(Some(deadline)) {
                PopResult::Message(message) => self.add(message),
                PopResult::DeadlinePassed => return RingState::Open,
                PopResult::Closed => return RingState::Closed,
            }
        }
    }

    /// Acknowledges all entries, which are synced.
    fn acknowledge(self) {
        for (entry, reply) in self.entries.iter().zip(self.replies) {
            reply.push(LogMessage::Synced { mark: entry.sync_mark() });
        }
    }
}
