//! Owns the messages between the services of a control host, and its protocol
//! with nodes and operators.
//!
//! Invariant: every message that expects a reply carries a reserved ring slot
//! for it, so that a full ring never refuses a reply.

use compact_str::CompactString;
use indexmap::IndexMap;
use kernel::Reservation;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Instant;

use crate::cluster::{ConfigInForce, ControlView, MemberRecord, NodeWatch};
use crate::command::{Command, CommandResult, FigureIncrement, FigureRow};
use crate::config_delta::ConfigDelta;
use crate::entry_messages::JobMessage;
use crate::ids::{
    CallId, ConfigVersion, Incarnation, LogIndex, MembersVersion, NodeId, RequestId, Term,
};
use crate::journal_messages::SyncMark;
use crate::leader_hint::LeaderHint;
use crate::queue_catalog::QueueCatalog;
use crate::replica::ReplicaEnvelope;
use crate::schedule_messages::{EvacuationList, JobReply, ServiceServers};
use crate::settings::ControlPeer;
use crate::work::JobKey;

/// State of a node's lease at control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease is valid until this time.
    ValidUntil(Instant),
    /// The incarnation was fenced; the node continues under a new one.
    Fenced {
        /// The new incarnation.
        incarnation: Incarnation,
    },
}

/// Messages to the connection of an entry or agent to control.
#[derive(Debug)]
pub enum ControlLinkMessage {
    /// Proposes a ledger command for a submission.
    Ledger {
        /// The submission that the command is about.
        key: JobKey,
        /// The command to propose.
        command: Box<Command>,
        /// Ring slot reserved for control's reply.
        reply: Reservation<JobMessage>,
    },
    /// Sends an increment of the monthly figures.
    Figures {
        /// Counters to add, with their sequence number.
        increment: FigureIncrement,
    },
}

/// An operator's query to control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlQuery {
    /// The control group, the members and their configuration versions.
    Status,
    /// The operator configuration in force.
    Config,
    /// The catalog of queues in force.
    Catalog,
    /// The backend servers of queues that the leader knows, by service.
    Servers,
    /// The accepted configuration versions.
    History,
    /// The figures of one month.
    Figures {
        /// Calendar month, as `2026-12`.
        month: CompactString,
    },
}

/// Control's answer to an operator's query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlAnswer {
    /// Answers `Status`.
    Status(ControlStatus),
    /// Answers `Config`; `None` before the first configuration.
    Config(Option<ConfigInForce>),
    /// Answers `Catalog`; `None` before the first catalog.
    Catalog(Option<Arc<QueueCatalog>>),
    /// Answers `Servers`.
    Servers(Vec<ServiceServers>),
    /// Answers `History`, one line for each version.
    History(Vec<HistoryLine>),
    /// Answers `Figures`.
    Figures(MonthFigures),
}

/// One accepted configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// The accepted version.
    pub version: ConfigVersion,
    /// Time at which the leader accepted it, in milliseconds since 1970.
    pub at_ms: u64,
    /// The operator's request id.
    pub request: RequestId,
}

/// The figures of one month.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MonthFigures {
    /// Calendar month, as `2026-12`.
    pub month: CompactString,
    /// Version of the definitions that the figures follow.
    pub definitions: u32,
    /// Whether the month is closed to further increments.
    pub closed: bool,
    /// One row for each service and team.
    pub rows: Vec<FigureRow>,
}

/// State of the control group and of the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The control host that answered.
    pub host: NodeId,
    /// Its term.
    pub term: Term,
    /// Highest log position that it knows to be committed.
    pub commit: LogIndex,
    /// The control group.
    pub group: Vec<ControlPeer>,
    /// Whether that group is committed.
    #[serde(default)]
    pub group_committed: bool,
    /// The current configuration version.
    pub config_version: ConfigVersion,
    /// Last synced log position of each replica that the answering host tracks:
    /// all of them when it leads, otherwise only its own.
    pub replicas: Vec<(NodeId, LogIndex)>,
    /// Hosts that catch up before they join the control group.
    #[serde(default)]
    pub joining: Vec<JoiningStatus>,
    /// Members, each with the configuration version that it reported.
    pub members: Vec<MemberStatus>,
}

/// A host that catches up before it joins the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoiningStatus {
    /// The host.
    pub host: ControlPeer,
    /// Time since it asked to join, in milliseconds.
    pub joining_ms: u64,
    /// Time since it last made progress, in milliseconds.
    pub stalled_ms: u64,
    /// Last log position that it has stored.
    pub index: LogIndex,
    /// Bytes that it has received of a snapshot.
    pub snapshot_bytes: u64,
}

/// A member and what it reported in its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's record.
    pub member: MemberRecord,
    /// The configuration version that it has applied.
    pub config_version: ConfigVersion,
    /// Time since its last heartbeat, in milliseconds.
    pub silent_ms: u64,
}

/// A control host's reply to a proposal, a query or another call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlReplyBody {
    /// Results of the proposed commands, in their order.
    Results(Vec<CommandResult>),
    /// Reply to a watch.
    View(Box<ControlView>),
    /// Answer to an operator's query.
    Answer(Box<ControlAnswer>),
    /// Reply to a call about a queued job.
    Job(JobReply),
    /// The catalog in force; `None` when the caller already has it.
    Catalog(Option<Arc<QueueCatalog>>),
    /// Reply to another replica; `None` for messages without a reply.
    Replica(Option<Box<ReplicaEnvelope>>),
    /// This host leads, and its group has changed since the caller last learnt it.
    Group(LeaderHint),
    /// This host leads, and the evacuated failure domains have changed since the caller last
    /// learnt them.
    Evacuation(EvacuationList),
    /// This host is not the leader; nothing was changed.
    NotLeader(LeaderHint),
    /// Outcome unknown: leadership was lost before the commands were committed;
    /// they may still be applied.
    Unknown,
}

/// A reply on its way to control's RPC server.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlReply {
    /// Call that the reply belongs to.
    pub call: CallId,
    /// The reply to encode.
    pub body: ControlReplyBody,
}

/// Messages to the replicated log.
#[derive(Debug)]
pub enum LogMessage {
    /// Proposes commands of a node or an operator.
    Propose {
        /// Echoed in the reply.
        call: CallId,
        /// The commands, appended in this order.
        commands: Vec<Command>,
        /// Ring slot reserved for the results.
        reply: Reservation<ControlReply>,
    },
    /// Proposes commands of a service of this host that needs no results.
    ProposeDetached {
        /// The commands, appended in this order.
        commands: Vec<Command>,
    },
    /// The leader has told this host, which may not be a member, of the group.
    GroupLearned {
        /// The leader's name.
        leader: NodeId,
        /// What the leader told.
        hint: LeaderHint,
    },
    /// An operator's query.
    Query {
        /// Echoed in the reply.
        call: CallId,
        /// The state to read.
        query: ControlQuery,
        /// Ring slot reserved for the reply.
        reply: Reservation<ControlReply>,
    },
    /// A message from another replica.
    Replica {
        /// Echoed in the reply.
        call: CallId,
        /// The message with its sender and term.
        envelope: Box<ReplicaEnvelope>,
        /// Ring slot reserved for the reply.
        reply: Reservation<ControlReply>,
    },
    /// Another replica's reply.
    ReplicaAnswer {
        /// The reply with its sender and term.
        envelope: Box<ReplicaEnvelope>,
    },
    /// The journal has synced an entry to disk.
    Synced {
        /// What is now durable.
        mark: SyncMark,
    },
    /// The journal could not write. It tries again; the next entry that is reported as
    /// synced ends the failure.
    JournalFailed {
        /// The I/O error.
        reason: CompactString,
    },
    /// The members' reports for a `Status` query.
    MemberReports {
        /// Call of that query.
        call: CallId,
        /// One report for each member.
        members: Vec<MemberStatus>,
        /// Ring slot reserved for the reply.
        reply: Reservation<ControlReply>,
    },
}

/// Messages to membership on a control host.
#[derive(Debug)]
pub enum MembershipMessage {
    /// A node's heartbeat and its long poll for changes.
    Watch {
        /// Echoed in the reply.
        call: CallId,
        /// The heartbeat with the versions that the node has.
        watch: Box<NodeWatch>,
        /// Ring slot reserved for the reply.
        reply: Reservation<ControlReply>,
    },
    /// The replicated state has advanced.
    Applied {
        /// The part of it that membership uses.
        snapshot: Arc<MembershipState>,
    },
    /// Leadership of the control group changed.
    Leading {
        /// Term in which this host leads; `None` while it does not.
        term: Option<Term>,
        /// The leader and the group, as far as this host knows them.
        hint: LeaderHint,
    },
    /// A `Status` query, to which membership adds the members' reports before
    /// it forwards it to the replicated log.
    Reports {
        /// Echoed in the reply.
        call: CallId,
        /// Ring slot reserved for the reply.
        reply: Reservation<ControlReply>,
    },
}

/// The part of the replicated state that membership uses.
#[derive(Debug, Clone, Default)]
pub struct MembershipState {
    /// The configuration in force; `None` before the first.
    pub config: Option<Arc<ConfigInForce>>,
    /// Recent configuration changes, oldest first, each with the version that
    /// it produces.
    pub deltas: Vec<(ConfigVersion, ConfigDelta)>,
    /// Version of the member list.
    pub members_version: MembersVersion,
    /// The member list.
    pub members: IndexMap<NodeId, MemberRecord>,
    /// Highest ended incarnation of each node that has one.
    pub ended: IndexMap<NodeId, Incarnation>,
    /// Highest fenced incarnation of each entry that has one.
    pub fences: IndexMap<NodeId, Incarnation>,
    /// Fences that are not yet in force because some agent has not acknowledged
    /// them.
    pub pending_fences: Vec<PendingFence>,
}

/// A fence that agents have yet to acknowledge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingFence {
    /// The fenced entry.
    pub entry: NodeId,
    /// The fenced incarnation.
    pub incarnation: Incarnation,
    /// Version of the member list that introduced the fence.
    pub members_version: MembersVersion,
}

/// Messages to the duty that keeps this host a member of its group.
#[derive(Debug)]
pub enum GroupJoinMessage {
    /// Whether this host's replica knows a leader has changed.
    Leader {
        /// Whether it knows one.
        known: bool,
    },
    /// Whether the group has more hosts than it needs has changed.
    Surplus {
        /// Whether it has.
        exists: bool,
    },
    /// This process is about to end.
    Leave,
}

/// Messages to the connections between replicas.
#[derive(Debug)]
pub enum ReplicaLinkMessage {
    /// Sets the control group to connect to.
    Group {
        /// The complete group, this host included.
        group: Vec<ControlPeer>,
    },
    /// Sends a message to another replica.
    Send {
        /// The receiving host.
        to: NodeId,
        /// The message with its sender and term.
        envelope: Box<ReplicaEnvelope>,
    },
}
