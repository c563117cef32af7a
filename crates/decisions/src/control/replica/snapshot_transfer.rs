//! Transfer of a snapshot in parts of bounded size.
//!
//! The follower's replies state how much it has, and the leader sends the part that
//! follows. A part that was lost is sent again, and another leader starts anew.
//!
//! Invariants:
//! - parts of different snapshots, or of different terms, are never joined;
//! - a snapshot is handed on only as a whole, with the length and the fingerprint that
//!   its leader stated.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use model::{
    Fingerprint, ReplicaMessage, SnapshotMark, SnapshotPart, SnapshotProgress, Term, fingerprint,
};

/// Time allowed for a message with a snapshot before it is sent again.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// A snapshot that a leader sends to followers.
#[derive(Debug, Clone)]
pub struct EncodedSnapshot {
    mark: SnapshotMark,
    state: String,
    fingerprint: Fingerprint,
}

impl EncodedSnapshot {
    /// Creates a snapshot from the encoded state.
    pub fn new(mark: SnapshotMark, state: String) -> EncodedSnapshot {
        let fingerprint = fingerprint([state.as_bytes()]);
        EncodedSnapshot { mark, state, fingerprint }
    }

    /// Last index and term that the snapshot covers, and the group there.
    pub fn mark(&self) -> &SnapshotMark {
        &self.mark
    }

    /// Size of the encoded state in bytes.
    pub fn bytes(&self) -> usize {
        self.state.len()
    }

    /// Whether what a follower has received belongs to this snapshot.
    pub fn matches(&self, received: &SnapshotProgress) -> bool {
        received.index == self.mark.index && received.fingerprint == self.fingerprint
    }

    /// The message to a follower that has received this much: the whole state, or, if
    /// that exceeds `max_bytes`, the next part.
    pub fn message(
        &self,
        received: Option<SnapshotProgress>,
        max_bytes: usize,
        round: u64,
    ) -> ReplicaMessage {
        let mark = self.mark.clone();
        if self.state.len() <= max_bytes {
            return ReplicaMessage::Snapshot { mark, state: self.state.clone(), round };
        }
        let received = received.filter(|received| self.matches(received));
        let offset = received.map_or(0, |received| received.bytes as usize);
        let (offset, rest) = match self.state.get(offset..) {
            Some(rest) => (offset, rest),
            None => (0, self.state.as_str()),
        };
        let part = SnapshotPart {
            total_bytes: self.state.len() as u64,
            fingerprint: self.fingerprint,
            offset: offset as u64,
            text: rest[..rest.floor_char_boundary(max_bytes)].to_owned(),
        };
        ReplicaMessage::SnapshotPart { mark, part, round }
    }
}

/// A leader's view of the transfer to one follower.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct OutgoingTransfer {
    /// What the follower has, by its latest reply.
    received: Option<SnapshotProgress>,
    /// What it had when a message was last sent.
    sent_after: Option<SnapshotProgress>,
    /// Time at which that message counts as lost; `None` before the first one.
    retry_at: Option<Instant>,
}

impl OutgoingTransfer {
    /// Records what a reply states. It may be that of an earlier message.
    pub(super) fn on_reply(&mut self, received: Option<SnapshotProgress>) {
        self.received = received;
    }

    /// Whether a message is to be sent: the follower has received the latest one, or
    /// that counts as lost.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| at <= now) || self.has_advanced()
    }

    fn has_advanced(&self) -> bool {
        let Some(received) = self.received else { return false };
        let same = self.sent_after.filter(|sent_after| {
            (sent_after.index, sent_after.fingerprint) == (received.index, received.fingerprint)
        });
        received.bytes > same.map_or(0, |sent_after| sent_after.bytes)
    }

    /// Starts the next message and returns what the follower has.
    pub(super) fn start_message(&mut self, now: Instant) -> Option<SnapshotProgress> {
        self.retry_at = Some(now + SNAPSHOT_RETRY_INTERVAL);
        self.sent_after = self.received;
        self.received
    }
}

/// Result of adding a part.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum PartResult {
    /// Further parts are missing.
    Incomplete,
    /// The encoded state, which is as long as stated and has the stated fingerprint.
    Complete(String),
    /// All parts have arrived, and are not what the leader stated.
    Corrupt,
}

/// A follower's parts of a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct IncomingTransfer {
    /// Term of the leader that sends them.
    term: Term,
    mark: SnapshotMark,
    total_bytes: u64,
    fingerprint: Fingerprint,
    /// The parts so far, without a gap.
    state: String,
}

impl IncomingTransfer {
    /// Starts the transfer that a part belongs to.
    pub(super) fn new(term: Term, mark: SnapshotMark, part: &SnapshotPart) -> IncomingTransfer {
        let SnapshotPart { total_bytes, fingerprint, .. } = *part;
        IncomingTransfer { term, mark, total_bytes, fingerprint, state: String::new() }
    }

    /// Whether a part belongs to this transfer.
    pub(super) fn includes(&self, term: Term, mark: &SnapshotMark, part: &SnapshotPart) -> bool {
        let same_state =
            (self.total_bytes, self.fingerprint) == (part.total_bytes, part.fingerprint);
        self.term == term && self.mark == *mark && same_state
    }

    /// Adds a part. One that doesn't follow on those that have arrived is ignored.
    pub(super) fn add(&mut self, part: &SnapshotPart) -> PartResult {
        if part.offset != self.state.len() as u64 {
            return PartResult::Incomplete;
        }
        self.state.push_str(&part.text);
        match (self.state.len() as u64).cmp(&self.total_bytes) {
            Ordering::Less => PartResult::Incomplete,
            Ordering::Equal if fingerprint([self.state.as_bytes()]) == self.fingerprint => {
                PartResult::Complete(std::mem::take(&mut self.state))
            }
            Ordering::Equal | Ordering::Greater => PartResult::Corrupt,
        }
    }

    /// What has arrived.
    pub(super) fn progress(&self) -> SnapshotProgress {
        let (index, fingerprint) = (self.mark.index, self.fingerprint);
        SnapshotProgress { index, fingerprint, bytes: self.state.len() as u64 }
    }
}
