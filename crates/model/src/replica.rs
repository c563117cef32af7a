//! Owns the records of the replicated log and the messages between its
//! replicas. The protocol is Raft with three additions: a pre-vote, a query by
//! which a restarted replica learns that no leader holds a lease that it
//! acknowledged, and recovery of replicas that lost their disk.
//!
//! Invariant (log matching): two logs that hold records of the same term at the
//! same position agree on all records up to that position.

use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::ids::{Fingerprint, Incarnation, LogIndex, NodeId, Term};
use crate::settings::ControlPeer;

/// One record of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the log, from 1.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Time that the leader gave the record, from its wall clock, in milliseconds
    /// since 1970; never lower than that of the record before it.
    pub at_ms: u64,
    /// The command to apply.
    pub command: Command,
}

impl LogRecord {
    /// Size of the encoded record in bytes.
    pub fn encoded_len(&self) -> usize {
        let mut counter = ByteCounter::default();
        // Counting can't fail, and every command can be encoded.
        let _counted = serde_json::to_writer(&mut counter, self);
        counter.bytes
    }
}

/// Counts the bytes that are written.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl std::io::Write for ByteCounter {
    fn write(&mut self, buffer: &[u8]) -> std::io::Result<usize> {
        self.bytes += buffer.len();
        Ok(buffer.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// State that a replica must sync to disk before it replies to a vote request.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate that the replica voted for in that term, if any.
    pub voted_for: Option<NodeId>,
    /// Whether the replica's copy counts towards quorums: its group has formed,
    /// or it has caught up after it joined or lost its disk.
    #[serde(rename = "formed")]
    pub in_quorum: bool,
}

/// Log position of a snapshot, and the control group at that position.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Last log position that the snapshot covers.
    pub index: LogIndex,
    /// Term of that position.
    pub term: Term,
    /// The group of control hosts at that position.
    pub group: Vec<ControlPeer>,
}

/// A part of the encoded state of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Size of the whole state, in bytes.
    pub total_bytes: u64,
    /// Fingerprint of the whole state.
    pub fingerprint: Fingerprint,
    /// Position of this part in the state, in bytes.
    pub offset: u64,
    /// The part.
    pub text: String,
}

/// How much of a snapshot a follower has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Last log position that the snapshot covers.
    pub index: LogIndex,
    /// Fingerprint of the whole state.
    pub fingerprint: Fingerprint,
    /// Size of the parts that were received, in bytes.
    pub bytes: u64,
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEnvelope {
    /// The sending replica.
    pub from: NodeId,
    /// The sender's current term.
    pub term: Term,
    /// Incarnation of the sender's process. What an earlier process
    /// acknowledged as synced is disregarded.
    pub boot: Incarnation,
    /// The enclosed message.
    pub message: ReplicaMessage,
}

/// Messages between replicas.
///
/// Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", 2014; the pre-vote is from Ongaro's thesis, section 9.6.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaMessage {
    /// Sent by a replica without data on disk, to determine whether its group
    /// is new or its disk was lost.
    Hello {
        /// Whether the sender has no history: term 0 and an empty log.
        fresh: bool,
        /// Whether the sender requests the same information from the receiver.
        #[serde(rename = "asks")]
        wants_reply: bool,
    },
    /// Requests a vote. A pre-vote changes no state at the voter.
    VoteRequest {
        /// Whether this is a pre-vote.
        #[serde(rename = "trial")]
        pre_vote: bool,
        /// Last log position of the candidate.
        last_index: LogIndex,
        /// Term of that position.
        last_term: Term,
    },
    /// Replies to a vote request.
    VoteReply {
        /// Whether the request was for a pre-vote.
        #[serde(rename = "trial")]
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends records to the follower's log; without records it is a
    /// heartbeat.
    Append {
        /// Log position before the first record.
        prev_index: LogIndex,
        /// Term of that position; the follower rejects the append when its own
        /// log differs there.
        prev_term: Term,
        /// The records to append.
        records: Vec<LogRecord>,
        /// Log position up to which the leader has committed.
        commit: LogIndex,
        /// Heartbeat round, increasing; echoed in the reply.
        round: u64,
        /// Whether the follower's copy may count towards commit quorums from
        /// now on: it has caught up.
        #[serde(rename = "may_count")]
        may_join_quorum: bool,
    },
    /// Replies to an append.
    AppendReply {
        /// Whether `prev_index` and `prev_term` matched the follower's log.
        accepted: bool,
        /// When accepted, the last matching position that the follower has
        /// synced; otherwise a hint where the leader should retry.
        match_index: LogIndex,
        /// Heartbeat round of the append.
        round: u64,
        /// Whether the follower's copy counts towards commit quorums yet.
        #[serde(rename = "counts")]
        counts_toward_quorum: bool,
        /// What the follower has of a snapshot that is sent in parts.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        snapshot: Option<SnapshotProgress>,
    },
    /// Installs a snapshot at a follower that is too far behind for an append. One
    /// that is too large for a message is sent as `SnapshotPart`s.
    Snapshot {
        /// Log position of the snapshot.
        mark: SnapshotMark,
        /// The replicated state, as JSON.
        state: String,
        /// Heartbeat round in which it was sent.
        round: u64,
    },
    /// Sends a part of a snapshot. The reply to one that is not the last has `accepted`
    /// false and states how much the follower has.
    SnapshotPart {
        /// Log position of the snapshot.
        mark: SnapshotMark,
        /// The part.
        part: SnapshotPart,
        /// Heartbeat round in which it was sent.
        round: u64,
    },
    /// Sent by a restarted replica, to determine whether some leader may still
    /// hold a lease that its previous process acknowledged.
    #[serde(rename = "lead_question")]
    LeaderQuery {
        /// The receiver's process, when the sender also denies to it that it
        /// leads.
        denied_to: Option<Incarnation>,
        /// Log position of the latest group change that the sender knows.
        group_index: LogIndex,
    },
    /// States that the sender neither leads nor has had contact with a leader
    /// within an election timeout.
    #[serde(rename = "lead_denial")]
    LeaderDenial {
        /// The querying process; a denial is valid for this process only.
        denied_to: Incarnation,
        /// Log position of the latest group change that the sender knows. A
        /// denial from a sender with a later group is disregarded, because it
        /// may know of a leader outside the receiver's group.
        group_index: LogIndex,
        /// Whether the sender requests the same information from the receiver.
        #[serde(rename = "asks")]
        wants_reply: bool,
    },
}
