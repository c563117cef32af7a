//! The duty that writes the journal, with group commit: messages that arrive
//! during a sync are written as one frame.
//!
//! Invariant: entries are written in the order of their messages, and each is
//! acknowledged only after its sync.

use kernel::{PopResult, Registry, RingReceiver, RingSender};
use model::{JournalEntry, JournalMessage, LogMessage, ServiceName};

use crate::journal::Journal;

/// Maximum number of messages in one frame.
const MAX_BATCH_MESSAGES: usize = 1_024;

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the replicated log is not registered.
pub fn run(
    ring: &RingReceiver<JournalMessage>,
    registry: &Registry<ServiceName>,
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
        let batch = collect_batch(first, ring);
        if let Err(error) = write_batch(&mut journal, batch) {
            // A dropped message is repeated: after a failure every later write fails
            // too, and the full ring is drained in the meantime.
            let reason = error.to_string().into();
            let _full = replicated_log.push(LogMessage::JournalFailed { reason });
        }
    }
}

/// Collects a batch: the first message and all others that wait in the ring.
fn collect_batch(
    first: JournalMessage,
    ring: &RingReceiver<JournalMessage>,
) -> Vec<JournalMessage> {
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_MESSAGES {
        let Some(message) = ring.try_next() else { break };
        batch.push(message);
    }
    batch
}

/// Writes a batch and acknowledges each entry; after a failure none is
/// acknowledged.
fn write_batch(
    journal: &mut Journal,
    batch: Vec<JournalMessage>,
) -> Result<(), crate::journal::JournalError> {
    let (entries, replies): (Vec<JournalEntry>, Vec<_>) =
        batch.into_iter().map(|message| (message.entry, message.reply)).unzip();
    journal.write(&entries)?;
    for (entry, reply) in entries.iter().zip(replies) {
        reply.push(LogMessage::Synced { mark: entry.sync_mark() });
    }
    Ok(())
}
