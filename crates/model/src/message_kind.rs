//! Owns the closed list of message kinds, by which senders count their
//! messages.
//!
//! Invariant: every kind but [`MessageKind::Useful`] counts as wasted.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Messages between processes or to clients, classified by their effect.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MessageKind {
    /// A start order, or the answer of one that ran; the only kind that is not
    /// wasted.
    Useful,
    /// A refusal, sent to a client or by an agent.
    Refusal,
    /// A start order sent again.
    Retry,
    /// A message that had already been received.
    Duplicate,
    /// An answer that arrived after its call had been abandoned.
    LateAnswer,
    /// A task sent to test an ejected worker.
    Probe,
    /// A heartbeat that carried no change.
    Heartbeat,
    /// A report that changed no decision of the receiver.
    IdleReport,
    /// A cancel or recall that arrived after the task had ended.
    LateCancel,
    /// A query, such as one for the status of a task after contact was lost.
    Question,
}

impl MessageKind {
    /// Whether the message did no work towards an outcome.
    pub fn is_wasted(self) -> bool {
        self != MessageKind::Useful
    }
}
