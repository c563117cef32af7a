//! Owns the messages and records of the replicated log.

use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::ids::{Incarnation, LogIndex, NodeId, Term};
use crate::settings::ControlPeer;

/// One position of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position, from 1.
    pub index: LogIndex,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Calendar time at the leader, in milliseconds since 1970.
    pub at_ms: u64,
    /// The change.
    pub command: Command,
}

/// What a replica must have synced before it answers a vote.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Whom the replica voted for in that term.
    pub voted_for: Option<NodeId>,
    /// Whether the replica counts: its group formed, or it was caught up after
    /// it had lost its disk or joined.
    pub formed: bool,
}

/// Where a snapshot stands in the log, and the group at that point.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Last position that the snapshot covers.
    pub index: LogIndex,
    /// The term of that position.
    pub term: Term,
    /// The group of control hosts at that position.
    pub group: Vec<ControlPeer>,
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEnvelope {
    /// The sender.
    pub from: NodeId,
    /// The sender's term.
    pub term: Term,
    /// Grows with each start of the sender's process; what an earlier process
    /// said of its disk counts no more.
    pub boot: Incarnation,
    /// The message.
    pub message: ReplicaMessage,
}

/// What replicas say to each other.
///
/// Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", 2014; the trial vote is from Ongaro's thesis, section 9.6.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaMessage {
    /// Sent by a replica that finds no data of its own, to learn whether its
    /// group is new or it has lost its disk.
    Hello {
        /// Whether the sender has promised nothing yet: no term, no record.
        fresh: bool,
        /// Whether the sender wants to know the same of the receiver.
        asks: bool,
    },
    /// Asks for a vote. A trial vote changes nothing at the voter.
    VoteRequest {
        /// Whether this is only a trial.
        trial: bool,
        /// Candidate's last position.
        last_index: LogIndex,
        /// The term of that position.
        last_term: Term,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the request was a trial.
        trial: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Carries records, or none as a heartbeat.
    Append {
        /// Position before the first record.
        prev_index: LogIndex,
        /// The term of that position.
        prev_term: Term,
        /// The records.
        records: Vec<LogRecord>,
        /// Position up to which the leader has committed.
        commit: LogIndex,
        /// Grows with each heartbeat round; echoed in the reply.
        round: u64,
        /// Whether the follower's copy may count for durability from now on.
        may_count: bool,
    },
    /// Answers an append.
    AppendReply {
        /// Whether the records fitted the follower's log.
        accepted: bool,
        /// Last position that the follower has synced and that matches, or a
        /// hint where to try next.
        match_index: LogIndex,
        /// The round of the append.
        round: u64,
        /// Whether the follower's copy counts for durability yet.
        counts: bool,
    },
    /// Carries a whole snapshot to a follower that is too far behind.
    Snapshot {
        /// Where it stands.
        mark: SnapshotMark,
        /// The replicated state as JSON.
        state: String,
        /// The round at which it was sent.
        round: u64,
    },
    /// Sent by a replica that has just started, to learn whether a leader may
    /// hold a lease that its earlier process acknowledged.
    LeadQuestion {
        /// The receiver's process, when the sender denies to it that it leads.
        denied_to: Option<Incarnation>,
        /// Position of the latest change of the group that the sender knows.
        group_index: LogIndex,
    },
    /// Says that the sender neither leads nor has heard a leader lately.
    LeadDenial {
        /// The process that asked.
        denied_to: Incarnation,
        /// Position of the latest change of the group that the sender knows.
        group_index: LogIndex,
        /// Whether the sender wants to know the same.
        asks: bool,
    },
}
