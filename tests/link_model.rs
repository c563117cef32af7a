//! An agent's end of its stream to a scheduler, as the models of schedulers and agents
//! share it: numbers of messages, acknowledgements, and when a heartbeat is due.

use std::time::Instant;

use decisions::agent::heartbeat_interval;
use model::{AgentMessage, NumberedMessage};

/// An open connection of an agent.
#[derive(Debug, Clone)]
pub(crate) struct LinkModel {
    /// Unacknowledged messages: number, time, and whether it is a report.
    unacked: Vec<(u64, Instant, bool)>,
    last_number: u64,
    last_sent_at: Instant,
    acked_at: Instant,
}

impl LinkModel {
    pub(crate) fn new(now: Instant) -> LinkModel {
        LinkModel { unacked: Vec::new(), last_number: 0, last_sent_at: now, acked_at: now }
    }

    pub(crate) fn send(&mut self, now: Instant, message: AgentMessage) -> NumberedMessage {
        self.last_number += 1;
        self.last_sent_at = now;
        let is_report = matches!(message, AgentMessage::Report(_));
        self.unacked.push((self.last_number, now, is_report));
        NumberedMessage { number: self.last_number, message }
    }

    /// Handles an acknowledgement; returns the number of reports that it covers.
    pub(crate) fn on_ack(&mut self, received: u64) -> usize {
        let acked = self.unacked.iter().filter(|(number, ..)| *number <= received);
        let reports = acked.clone().filter(|(_, _, is_report)| *is_report).count();
        self.acked_at = acked.map(|(_, at, _)| *at).max().unwrap_or(self.acked_at);
        self.unacked.retain(|(number, ..)| *number > received);
        reports
    }

    /// When the latest acknowledged message was sent.
    pub(crate) fn acked_at(&self) -> Instant {
        self.acked_at
    }

    /// When the first unacknowledged message was sent.
    pub(crate) fn unacked_since(&self) -> Option<Instant> {
        self.unacked.first().map(|(_, at, _)| *at)
    }

    /// Whether a heartbeat is due; `is_active` tells whether there are runs of the scheduler.
    pub(crate) fn heartbeat_due(&self, now: Instant, is_active: bool) -> bool {
        self.last_number > 0 && self.last_sent_at + heartbeat_interval(is_active) <= now
    }
}
