//! Owns the closed list of message kinds that are counted at their sender.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Messages between processes or to clients, by what they did.
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
    /// A start order or the answer to one that ran; the only useful kind.
    Useful,
    /// A refusal to a client or by an agent.
    Refusal,
    /// A start order sent again.
    Retry,
    /// A message that had been received before.
    Duplicate,
    /// An answer that came after its question had been given up.
    LateAnswer,
    /// A task sent to test an ejected worker.
    Probe,
    /// A heartbeat that carried no change.
    Heartbeat,
    /// A report that changed no decision.
    IdleReport,
    /// A cancel or recall that came after the end.
    LateCancel,
    /// A question after silence.
    Question,
}

impl MessageKind {
    /// Whether the message did no work for an outcome.
    pub fn is_wasted(self) -> bool {
        self != MessageKind::Useful
    }
}
