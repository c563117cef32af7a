//! Owns the messages between the services of a control host, and what nodes
//! and operators ask of it.
//!
//! Invariant: every message that asks for an answer carries the reserved room
//! for it, so that an answer is never refused by a full ring.

use compact_str::CompactString;
use indexmap::IndexMap;
use kernel::Reservation;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::cluster::{ConfigInForce, ControlView, MemberRecord, NodeWatch};
use crate::command::{Command, CommandResult, FigureIncrement, FigureRow};
use crate::entry_messages::JobMessage;
use crate::ids::{
    CallId, ConfigVersion, Incarnation, LogIndex, MembersVersion, NodeId, RequestId, Term,
};
use crate::journal_messages::SyncMark;
use crate::queue_catalog::QueueCatalog;
use crate::replica::ReplicaEnvelope;
use crate::schedule_messages::{AgentOrders, JobReply};
use crate::settings::ControlPeer;
use crate::text_delta::TextDelta;
use crate::work::JobKey;

/// What became of a node's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// Held until the given moment.
    HeldUntil(Instant),
    /// The incarnation was fenced; a new one takes its place.
    Fenced {
        /// The new incarnation.
        incarnation: Incarnation,
    },
}

/// Messages to the control link of an entry or agent.
#[derive(Debug)]
pub enum ControlLinkMessage {
    /// Proposes a ledger command of a submission.
    Ledger {
        /// The submission.
        key: JobKey,
        /// The command.
        command: Box<Command>,
        /// Room for the word on it.
        reply: Reservation<JobMessage>,
    },
    /// Ships figures.
    Figures {
        /// The increment.
        increment: FigureIncrement,
    },
}

/// An operator's question to control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlQuery {
    /// The group, the members and the configuration versions in force.
    Status,
    /// The configuration.
    Config,
    /// The catalog of queues.
    Catalog,
    /// Earlier versions.
    History,
    /// A month's figures, as `2026-12`.
    Figures {
        /// The month.
        month: CompactString,
    },
}

/// Control's answer to an operator's question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlAnswer {
    /// To `Status`.
    Status(ControlStatus),
    /// To `Config`; `None` before the first text.
    Config(Option<ConfigInForce>),
    /// To `Catalog`; `None` before the first.
    Catalog(Option<Arc<QueueCatalog>>),
    /// To `History`: version, time in milliseconds since 1970, request id.
    History(Vec<HistoryLine>),
    /// To `Figures`.
    Figures(MonthFigures),
}

/// One accepted version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// The version.
    pub version: ConfigVersion,
    /// When the leader accepted it, in milliseconds since 1970.
    pub at_ms: u64,
    /// The operator's request id.
    pub request: RequestId,
}

/// A month's figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MonthFigures {
    /// The month, as `2026-12`.
    pub month: CompactString,
    /// Version of the figures' definitions.
    pub definitions: u32,
    /// Whether the month is closed.
    pub closed: bool,
    /// One row for each service and team.
    pub rows: Vec<FigureRow>,
}

/// State of the control group and the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The answering host.
    pub host: NodeId,
    /// Its term.
    pub term: Term,
    /// Position up to which it has committed.
    pub commit: LogIndex,
    /// The group.
    pub group: Vec<ControlPeer>,
    /// Current configuration version.
    pub config_version: ConfigVersion,
    /// Configuration version in force at each control host heard from.
    pub replicas: Vec<(NodeId, LogIndex)>,
    /// Members and the configuration version in force there.
    pub members: Vec<MemberStatus>,
}

/// A member and what it reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberRecord,
    /// The configuration version in force there.
    pub config_version: ConfigVersion,
    /// Milliseconds since it was last heard.
    pub silent_ms: u64,
}

/// What a control host answers to a proposal or a question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlReplyBody {
    /// The results of the commands, in their order.
    Results(Vec<CommandResult>),
    /// The answer to a watch.
    View(Box<ControlView>),
    /// The answer to a question.
    Answer(Box<ControlAnswer>),
    /// The answer to a call about a queued job.
    Job(JobReply),
    /// The answer to an agent's poll.
    Orders(Box<AgentOrders>),
    /// An agent's report was taken.
    ReportTaken,
    /// The catalog in force; `None` when it is the one that was named.
    Catalog(Option<Arc<QueueCatalog>>),
    /// The answer to another replica, if there is one to this message.
    Replica(Option<Box<ReplicaEnvelope>>),
    /// This host does not lead; nothing was changed.
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// Leadership was lost while the commands were on their way; they may
    /// still be applied.
    Unknown,
}

/// An answer on its way to control's edge.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlReply {
    /// The call.
    pub call: CallId,
    /// The answer.
    pub body: ControlReplyBody,
}

/// Messages to the replicated log.
#[derive(Debug)]
pub enum LogMessage {
    /// Commands from a node or an operator.
    Propose {
        /// The call.
        call: CallId,
        /// The commands.
        commands: Vec<Command>,
        /// Room for the results.
        reply: Reservation<ControlReply>,
    },
    /// Commands from membership; nobody waits for the results.
    ProposeQuietly {
        /// The commands.
        commands: Vec<Command>,
    },
    /// A question.
    Query {
        /// The call.
        call: CallId,
        /// The question.
        query: ControlQuery,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
    /// A message of another replica.
    Replica {
        /// The call.
        call: CallId,
        /// The message.
        envelope: Box<ReplicaEnvelope>,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
    /// Another replica's answer.
    ReplicaAnswer {
        /// The answer.
        envelope: Box<ReplicaEnvelope>,
    },
    /// The journal has synced what it was given.
    Synced {
        /// What is on disk now.
        mark: SyncMark,
    },
    /// The journal can't write any more; nothing later will be confirmed.
    JournalFailed {
        /// What was seen.
        reason: CompactString,
    },
    /// What members reported, for `status`.
    MemberReports {
        /// The call that asked.
        call: CallId,
        /// The reports.
        members: Vec<MemberStatus>,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
}

/// Messages to control's membership.
#[derive(Debug)]
pub enum MembershipMessage {
    /// A node's heartbeat.
    Watch {
        /// The call.
        call: CallId,
        /// The heartbeat.
        watch: Box<NodeWatch>,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
    /// The state moved on.
    Applied {
        /// What watchers need of it.
        snapshot: Arc<MembershipState>,
    },
    /// Whether this host leads.
    Leading {
        /// The term, when it does.
        term: Option<Term>,
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// A `status` question passes through to gather reports.
    Reports {
        /// The call.
        call: CallId,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
}

/// What membership needs of the replicated state.
#[derive(Debug, Clone, Default)]
pub struct MembershipState {
    /// Current configuration, if any.
    pub config: Option<Arc<ConfigInForce>>,
    /// Recent changes, oldest first: the version each leads to.
    pub deltas: Vec<(ConfigVersion, TextDelta)>,
    /// Version of the member list.
    pub members_version: MembersVersion,
    /// Members.
    pub members: IndexMap<NodeId, MemberRecord>,
    /// Highest ended incarnation of each node that has one.
    pub ended: IndexMap<NodeId, Incarnation>,
    /// Highest fenced incarnation of each entry.
    pub fences: IndexMap<NodeId, Incarnation>,
    /// Fences that are not yet in force, with the member list version that
    /// brought them.
    pub pending_fences: Vec<PendingFence>,
}

/// A fence that agents must learn of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingFence {
    /// The entry.
    pub entry: NodeId,
    /// The fenced incarnation.
    pub incarnation: Incarnation,
    /// The member list version that brought it.
    pub members_version: MembersVersion,
}

/// Messages to the links between replicas.
#[derive(Debug)]
pub enum ReplicaLinkMessage {
    /// The group, this host included.
    Group {
        /// The group.
        group: Vec<ControlPeer>,
    },
    /// Sends a message.
    Send {
        /// To which host.
        to: NodeId,
        /// The message.
        envelope: Box<ReplicaEnvelope>,
    },
}
