//! Owns a scheduler's view of the connection to one agent: which of the agent's
//! messages have arrived, and since when one waits for its acknowledgement.

use std::time::Instant;

use model::{LinkId, MessageNumber};

/// Connection of an agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AgentLink {
    pub(super) id: LinkId,
    /// Number of the agent's latest message.
    received: MessageNumber,
    /// Number of the latest message that is acknowledged.
    acked: MessageNumber,
    /// Arrival of the first message that is not acknowledged.
    unacked_since: Option<Instant>,
}

impl AgentLink {
    pub(super) fn new(id: LinkId) -> AgentLink {
        AgentLink { id, received: 0, acked: 0, unacked_since: None }
    }

    /// Records the arrival of a message.
    pub(super) fn on_message(&mut self, now: Instant, number: MessageNumber) {
        self.received = self.received.max(number);
        self.unacked_since.get_or_insert(now);
    }

    /// Number of messages that are not acknowledged.
    pub(super) fn unacked(&self) -> u64 {
        self.received - self.acked
    }

    /// Arrival of the first message that is not acknowledged, if there is one.
    pub(super) fn unacked_since(&self) -> Option<Instant> {
        self.unacked_since
    }

    /// Returns the number of the latest message, and marks all as acknowledged.
    pub(super) fn ack_all(&mut self) -> MessageNumber {
        self.acked = self.received;
        self.unacked_since = None;
        self.received
    }
}
