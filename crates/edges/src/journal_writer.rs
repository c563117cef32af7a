//! The duty that writes the journal. What arrives while a sync is under way
//! goes into the next frame together.

use kernel::{Popped, Registry, RingReceiver, RingSender};
use model::{JournalEntry, JournalMessage, LogMessage, ServiceName};

use crate::journal::Journal;

/// Messages in one frame.
const MOST_BATCHED: usize = 1_024;

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the replicated log is not registered.
pub fn run(
    ring: &RingReceiver<JournalMessage>,
    registry: &Registry<ServiceName>,
    mut journal: Journal,
) {
    let replicated: RingSender<LogMessage> =
        registry.find(ServiceName::ReplicatedLog).expect("the log is registered");
    loop {
        let first = match ring.pop(None) {
            Popped::Message(message) => message,
            Popped::DeadlinePassed => continue,
            Popped::Closed => return,
        };
        let batch = gather(first, ring);
        if let Err(error) = write(&mut journal, batch) {
            // A full ring is emptied before long; the journal refuses meanwhile.
            let reason = error.to_string().into();
            let _full = replicated.push(LogMessage::JournalFailed { reason });
        }
    }
}

fn gather(first: JournalMessage, ring: &RingReceiver<JournalMessage>) -> Vec<JournalMessage> {
    let mut batch = vec![first];
    while batch.len() < MOST_BATCHED {
        let Some(message) = ring.try_next() else { break };
        batch.push(message);
    }
    batch
}

/// Writes a batch and gives the word on each entry; after a failure no word is
/// given.
fn write(
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
