//! Messages with numbers that no correct replica can have reached. They are refused as a
//! whole, without a reply: the highest term would be believed for ever, since none is later.

use model::{
    EventLine, LogIndex, MAX_INCARNATION, ReplicaEnvelope, ReplicaMessage, Term,
    is_reachable_index, is_reachable_term,
};

use super::{Replica, ReplicaStep};

/// Which number of a message is odd.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum OddNumber {
    /// The term is too far ahead.
    Term,
    /// The incarnation of the process is too high.
    Boot,
    /// A log position is too far ahead.
    Index,
    /// A log position has a later term than the message.
    LogTerm,
}

impl Replica {
    /// The line about an odd message; `None` if its numbers are in range.
    pub(super) fn refuse_odd(&self, envelope: &ReplicaEnvelope) -> Option<ReplicaStep> {
        let odd = self.odd_number(envelope)?;
        let line = EventLine::new("replica_message_refused")
            .with("from", &envelope.from)
            .with("term", envelope.term)
            .with("own_term", self.hard_state.term)
            .with("reason", odd);
        Some(ReplicaStep::Log(line))
    }

    fn odd_number(&self, envelope: &ReplicaEnvelope) -> Option<OddNumber> {
        if !is_reachable_term(self.hard_state.term, envelope.term) {
            return Some(OddNumber::Term);
        }
        if envelope.boot > MAX_INCARNATION {
            return Some(OddNumber::Boot);
        }
        let (index, term) = last_position(&envelope.message)?;
        if !is_reachable_index(self.log.last_index(), index) {
            return Some(OddNumber::Index);
        }
        (term > envelope.term).then_some(OddNumber::LogTerm)
    }
}

/// The log position that a message claims for its sender, with its term.
fn last_position(message: &ReplicaMessage) -> Option<(LogIndex, Term)> {
    match message {
        ReplicaMessage::VoteRequest { last_index, last_term, .. } => {
            Some((*last_index, *last_term))
        }
        ReplicaMessage::Snapshot { mark, .. } | ReplicaMessage::SnapshotPart { mark, .. } => {
            Some((mark.index, mark.term))
        }
        ReplicaMessage::Append { prev_index, prev_term, .. } => Some((*prev_index, *prev_term)),
        ReplicaMessage::AppendReply { match_index, .. } => Some((*match_index, 0)),
        ReplicaMessage::Hello { .. }
        | ReplicaMessage::VoteReply { .. }
        | ReplicaMessage::LeaderQuery { .. }
        | ReplicaMessage::LeaderDenial { .. } => None,
    }
}
