//! Owns the record of an agent's messages in one session that are not acknowledged yet.

use std::collections::VecDeque;
use std::time::Instant;

use model::MessageNumber;

/// A message that is not acknowledged yet.
#[derive(Debug, Clone, Copy)]
struct SentMessage {
    number: MessageNumber,
    at: Instant,
    is_report: bool,
}

/// The messages of one session.
#[derive(Debug, Default)]
pub(crate) struct SentMessages {
    unacked: VecDeque<SentMessage>,
    last_number: MessageNumber,
    last_sent_at: Option<Instant>,
    /// When the latest acknowledged message was sent.
    acked_at: Option<Instant>,
}

/// What an acknowledgement covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MessageAck {
    /// When the latest acknowledged message was sent.
    pub(crate) sent_at: Instant,
    /// Number of reports that it acknowledges for the first time.
    pub(crate) reports: usize,
}

impl SentMessages {
    /// Adds a message that is sent now; returns its number.
    pub(crate) fn add(&mut self, now: Instant, is_report: bool) -> MessageNumber {
        self.last_number += 1;
        self.last_sent_at = Some(now);
        let number = self.last_number;
        self.unacked.push_back(SentMessage { number, at: now, is_report });
        number
    }

    /// Handles an acknowledgement of all messages up to a number; `None` if no such
    /// message was sent.
    pub(crate) fn on_ack(&mut self, number: MessageNumber) -> Option<MessageAck> {
        if number > self.last_number {
            return None;
        }
        let mut reports = 0;
        while let Some(message) = self.unacked.pop_front_if(|message| message.number <= number) {
            reports += usize::from(message.is_report);
            self.acked_at = Some(message.at);
        }
        self.acked_at.map(|sent_at| MessageAck { sent_at, reports })
    }

    /// When the first message that is not acknowledged was sent.
    pub(crate) fn unacked_since(&self) -> Option<Instant> {
        self.unacked.front().map(|message| message.at)
    }

    /// When the latest message was sent.
    pub(crate) fn last_sent_at(&self) -> Option<Instant> {
        self.last_sent_at
    }
}
