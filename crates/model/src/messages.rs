//! Owns the messages between the services of one process, and the requests
//! and answers between processes.
//!
//! Invariant: every message that asks for an answer carries the reserved room
//! for it, so that an answer is never refused by a full ring.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use kernel::Reservation;
use serde::{Deserialize, Serialize};

use crate::cluster::{AgentView, ConfigInForce, ControlView, MemberRecord, NodeWatch};
use crate::command::{Command, CommandResult, FigureIncrement};
use crate::error::Failure;
use crate::ids::{
    AttemptId, CallId, ConfigVersion, Incarnation, LogIndex, NodeId, RequestId, ServiceId,
    SubmissionId, TeamId, Term, WorkerId,
};
use crate::payload::Payload;
use crate::replica::{HardState, LogRecord, ReplicaEnvelope, SnapshotMark};
use crate::settings::ControlPeer;
use crate::work::{
    JobAnswer, JobKey, JobOrder, NotStartedReason, OwnerRef, StartOrder, TaskFate, TaskKey,
    TaskOutcome,
};

/// A caller's single request.
#[derive(Debug, Clone)]
pub struct RequestIntake {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// The caller's idempotency key.
    pub submission: Option<SubmissionId>,
    /// Time from arrival within which the answer is of use.
    pub deadline: Option<Duration>,
    /// The body.
    pub payload: Payload,
}

/// What a caller wants.
#[derive(Debug, Clone)]
pub enum CallerWish {
    /// One request.
    Request(RequestIntake),
    /// A job.
    Job {
        /// The job.
        order: JobOrder,
        /// Whether the caller waits for the whole answer.
        wait: bool,
    },
    /// State or answer of a job.
    Lookup {
        /// The job.
        key: JobKey,
    },
    /// What happened to a job, step by step.
    Explain {
        /// The job.
        key: JobKey,
    },
    /// Cancellation of a job.
    Cancel {
        /// The job.
        key: JobKey,
    },
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerAnswer {
    /// The whole answer to a request.
    Request {
        /// The backend server's answer.
        answer: Payload,
    },
    /// The whole answer to a job.
    Job {
        /// One answer for each task.
        answers: Vec<Payload>,
    },
    /// The submission is recorded and will run.
    Accepted,
    /// The job has not ended.
    InProgress {
        /// Tasks that have ended.
        ended: usize,
        /// Tasks in all.
        tasks: usize,
    },
    /// What happened to a job.
    Explained {
        /// One line for each step.
        lines: Vec<String>,
    },
    /// The failed answer.
    Failed {
        /// Why, and whether the work ran.
        failure: Failure,
    },
}

/// An answer on its way to the caller's edge.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerReply {
    /// The call.
    pub call: CallId,
    /// The answer.
    pub answer: CallerAnswer,
}

/// How a task ended as seen by its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ran at `worker` and its outcome is known.
    Ran {
        /// Where.
        worker: WorkerId,
        /// The outcome.
        outcome: TaskOutcome,
    },
    /// It did not start anywhere, and never will.
    NotStarted {
        /// Why it was given up.
        failure: Failure,
    },
    /// It may have started and its outcome can't be known.
    Unknown {
        /// What was seen.
        reason: CompactString,
    },
}

/// A step on a task's way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskNote {
    /// A start order goes to a worker.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker confirmed that it did not start the task.
    Refused {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: NotStartedReason,
    },
    /// Contact was lost; the worker will be asked.
    InDoubt {
        /// The worker.
        worker: WorkerId,
    },
    /// The task is tried again, as it may be repeated.
    Retried {
        /// What came of the try before.
        reason: CompactString,
    },
}

/// Tasks of one submission that ask to be let in.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitRequest {
    /// The submission.
    pub key: JobKey,
    /// The service.
    pub service: ServiceId,
    /// The tasks, by declared run time and size.
    pub tasks: Vec<AdmitTask>,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Whether the tasks may be repeated.
    pub idempotent: bool,
}

/// One task that asks to be let in.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitTask {
    /// Declared run time.
    pub declared: Option<Duration>,
    /// Declared size.
    pub size: crate::cluster::WorkerSize,
    /// The backend server's input.
    pub payload: Payload,
}

/// Messages to job tracking.
#[derive(Debug)]
pub enum JobMessage {
    /// A caller's wish, with room for its answer.
    Caller {
        /// The call.
        call: CallId,
        /// The wish.
        wish: CallerWish,
        /// When it arrived.
        arrived: Instant,
        /// Room for the answer.
        reply: Reservation<CallerReply>,
    },
    /// Dispatch let the submission in.
    Admitted {
        /// The submission.
        key: JobKey,
    },
    /// Dispatch refused the submission; none of it started.
    Refused {
        /// The submission.
        key: JobKey,
        /// Why.
        failure: Failure,
    },
    /// A task ended.
    TaskEnded {
        /// The task.
        key: TaskKey,
        /// How.
        end: TaskEnd,
    },
    /// A step on a task's way, for `explain`.
    Noted {
        /// The task.
        key: TaskKey,
        /// The step.
        note: TaskNote,
    },
    /// Control's word on a claim or a final answer.
    Ledger {
        /// The submission.
        key: JobKey,
        /// The word.
        word: LedgerWord,
    },
    /// A configuration came into force.
    Config {
        /// The configuration.
        config: Arc<ConfigInForce>,
    },
    /// The lease at control was gained, lost or fenced.
    Lease {
        /// What became of it.
        state: LeaseState,
    },
    /// Figures up to `sequence` are recorded.
    FiguresRecorded {
        /// The sequence.
        sequence: u64,
    },
    /// The process drains.
    Drain,
}

/// Control's word on a ledger command.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerWord {
    /// The command was applied.
    Applied {
        /// With this result.
        result: CommandResult,
    },
    /// The command never reached control.
    NotSent,
    /// The command may have been applied; its answer was lost.
    AnswerLost,
}

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

/// Messages to dispatch.
#[derive(Debug)]
pub enum DispatchMessage {
    /// Asks to let tasks in. They are held until released.
    Admit {
        /// The tasks.
        request: AdmitRequest,
        /// Whether they may be placed at once, without a claim.
        release: Option<ReleaseOrder>,
    },
    /// The submission is claimed: its tasks may be placed.
    Release {
        /// The submission.
        key: JobKey,
        /// Under which claim.
        order: ReleaseOrder,
    },
    /// Takes back every task of the submission that has not started, and
    /// stops those that run.
    Withdraw {
        /// The submission.
        key: JobKey,
    },
    /// What a link saw.
    Link {
        /// The worker at its other end.
        worker: WorkerId,
        /// What was seen.
        event: LinkEvent,
    },
    /// A configuration came into force.
    Config {
        /// The configuration.
        config: Arc<ConfigInForce>,
    },
    /// The member list changed.
    Members {
        /// Live agents.
        agents: Vec<MemberRecord>,
        /// Number of live entries.
        entries: usize,
    },
    /// The lease at control.
    Lease {
        /// What became of it.
        state: LeaseState,
    },
}

/// Under which claim tasks are placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// Claim epoch; 0 without a claim.
    pub epoch: crate::ids::ClaimEpoch,
    /// The owner.
    pub owner: OwnerRef,
    /// What a new owner must find out first.
    pub takeover: crate::command::Takeover,
}

/// What a link to an agent saw.
#[derive(Debug, Clone, PartialEq)]
pub enum LinkEvent {
    /// The agent's view, new or repeated.
    View {
        /// The view.
        view: AgentView,
    },
    /// A start or attach call was answered.
    Report {
        /// The answer.
        report: TaskReport,
    },
    /// A start or attach call ended without an answer.
    CallLost {
        /// The task.
        key: TaskKey,
        /// The attempt.
        attempt: AttemptId,
        /// Whether the call surely never left this process.
        sent: bool,
    },
    /// A recall was answered.
    Recalled {
        /// The answer.
        answer: RecallAnswer,
    },
    /// A recall ended without an answer.
    RecallLost {
        /// The tasks.
        questions: Vec<TaskQuestion>,
    },
    /// Nothing was heard for longer than allowed, or the connection broke.
    Silent,
}

/// Messages to the links to agents.
#[derive(Debug)]
pub enum LinkMessage {
    /// The agents to be connected to.
    Agents {
        /// The agents.
        agents: Vec<MemberRecord>,
        /// How often each is asked for news, at least.
        interval: Duration,
    },
    /// Sends a start order.
    Start {
        /// To which worker.
        worker: WorkerId,
        /// The order.
        order: Box<StartOrder>,
        /// Room for the answer.
        reply: Reservation<DispatchMessage>,
    },
    /// Asks for a task's end.
    Attach {
        /// At which worker.
        worker: WorkerId,
        /// The question.
        question: TaskQuestion,
        /// Room for the answer.
        reply: Reservation<DispatchMessage>,
    },
    /// Takes tasks back.
    Recall {
        /// At which worker.
        worker: WorkerId,
        /// The order.
        order: RecallOrder,
        /// Room for the answer.
        reply: Reservation<DispatchMessage>,
    },
}

/// A question about one task: did you start it? The agent's answer "not
/// started" binds it: it will refuse this attempt and all earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskQuestion {
    /// The task.
    pub key: TaskKey,
    /// The attempt up to which the answer binds.
    pub attempt: AttemptId,
}

/// Takes tasks back that have not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallOrder {
    /// The tasks.
    pub questions: Vec<TaskQuestion>,
    /// Whether running ones are stopped.
    pub stop_running: bool,
}

/// A recalled task's fate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallFate {
    /// The task and attempt asked about.
    pub question: TaskQuestion,
    /// What the agent knows.
    pub fate: TaskFate,
}

/// An agent's answer to a recall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallAnswer {
    /// The agent's incarnation: it knows nothing of what an earlier one did.
    pub incarnation: Incarnation,
    /// Each task's fate.
    pub fates: Vec<RecallFate>,
}

/// An agent's answer to a start or attach call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub key: TaskKey,
    /// The attempt that was asked about.
    pub attempt: AttemptId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// What became of the task.
    pub fate: TaskFate,
    /// Tasks of the service running there now.
    pub running: u32,
    /// Tasks of the service queued there now.
    pub queued: u32,
}

/// An entry's question to an agent for news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentWatch {
    /// Who asks.
    pub entry: NodeId,
    /// View version known there; 0 for none.
    pub version: u64,
    /// How long the agent may wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// Messages to an agent's start service.
#[derive(Debug)]
pub enum StartMessage {
    /// A start order.
    Order {
        /// The call.
        call: CallId,
        /// The order.
        order: Box<StartOrder>,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// A question after a task.
    Attach {
        /// The call.
        call: CallId,
        /// The question.
        question: TaskQuestion,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// A recall.
    Recall {
        /// The call.
        call: CallId,
        /// The order.
        order: RecallOrder,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// A question for news.
    Watch {
        /// The call.
        call: CallId,
        /// The question.
        watch: AgentWatch,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// The caller of an earlier message has gone.
    CallDropped {
        /// The call.
        call: CallId,
    },
    /// A backend server announced itself.
    Announced {
        /// The announcement.
        announcement: Announcement,
    },
    /// A backend server says that it leaves.
    Leaving {
        /// Its address.
        address: SocketAddr,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        key: TaskKey,
        /// Where it ran.
        address: SocketAddr,
        /// How it ended.
        end: RunEnd,
    },
    /// The lease at control.
    Lease {
        /// What became of it.
        state: LeaseState,
    },
    /// Fences, and whether this worker is drained.
    Fences {
        /// Highest fenced incarnation of each entry.
        fences: indexmap::IndexMap<NodeId, Incarnation>,
    },
    /// A configuration came into force.
    Config {
        /// The configuration.
        config: Arc<ConfigInForce>,
    },
    /// The process drains.
    Drain,
}

/// How a run at a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The outcome is known or unknown, but it may have run.
    Outcome(TaskOutcome),
    /// The backend server was never reached.
    NeverSent {
        /// What was seen.
        reason: CompactString,
    },
}

/// An answer on its way to the agent's edge.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentReply {
    /// The call.
    pub call: CallId,
    /// The answer.
    pub answer: AgentAnswer,
}

/// What an agent answers.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAnswer {
    /// To a start order or a question.
    Report(TaskReport),
    /// To a recall.
    Fates(RecallAnswer),
    /// To a question for news.
    View(AgentView),
}

/// A backend server's announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it runs.
    pub service: ServiceId,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Tasks that it runs at a time.
    pub slots: u32,
    /// Connections that it takes at a time.
    pub connections: u32,
}

/// A backend server's word that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveNotice {
    /// Its HTTP address.
    pub address: SocketAddr,
}

/// Messages to the backend servers' edge.
#[derive(Debug)]
pub enum BackendMessage {
    /// Runs a task.
    Run {
        /// At which backend server.
        address: SocketAddr,
        /// The service.
        service: ServiceId,
        /// The task.
        key: TaskKey,
        /// Time left.
        left: Duration,
        /// The input.
        payload: Payload,
        /// Room for the end of the run.
        done: Reservation<StartMessage>,
    },
    /// Stops a running task.
    Stop {
        /// The task.
        key: TaskKey,
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
    pub rows: Vec<crate::command::FigureRow>,
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

/// What a sync of the journal covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncMark {
    /// The hard state.
    HardState(HardState),
    /// Records up to a position.
    Records {
        /// The position.
        index: LogIndex,
        /// Its term when it was written.
        term: Term,
    },
}

/// Something to write, with room for the word that it is synced.
#[derive(Debug)]
pub struct JournalMessage {
    /// What to write.
    pub entry: JournalEntry,
    /// Room for the word.
    pub reply: Reservation<LogMessage>,
}

/// What the journal writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEntry {
    /// Writes the hard state.
    HardState {
        /// The state.
        state: HardState,
    },
    /// Drops records from a position on, then writes these.
    Records {
        /// First position to drop; none are dropped when it is past the end.
        from: LogIndex,
        /// The records.
        records: Vec<LogRecord>,
    },
    /// Replaces all records up to the mark by a snapshot.
    Snapshot {
        /// Where it stands.
        mark: SnapshotMark,
        /// The replicated state as JSON.
        state: String,
        /// Records after the mark.
        rest: Vec<LogRecord>,
        /// The hard state.
        hard_state: HardState,
    },
}

impl JournalEntry {
    /// What its sync covers.
    pub fn sync_mark(&self) -> SyncMark {
        match self {
            JournalEntry::HardState { state } => SyncMark::HardState(state.clone()),
            JournalEntry::Records { from, records } => match records.last() {
                Some(last) => SyncMark::Records { index: last.index, term: last.term },
                None => SyncMark::Records { index: from.saturating_sub(1), term: 0 },
            },
            JournalEntry::Snapshot { mark, rest, .. } => {
                let last = rest.last().map(|record| (record.index, record.term));
                let (index, term) = last.unwrap_or((mark.index, mark.term));
                SyncMark::Records { index, term }
            }
        }
    }
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
    pub deltas: Vec<(ConfigVersion, crate::text_delta::TextDelta)>,
    /// Version of the member list.
    pub members_version: crate::ids::MembersVersion,
    /// Members.
    pub members: indexmap::IndexMap<NodeId, MemberRecord>,
    /// Highest ended incarnation of each node that has one.
    pub ended: indexmap::IndexMap<NodeId, Incarnation>,
    /// Highest fenced incarnation of each entry.
    pub fences: indexmap::IndexMap<NodeId, Incarnation>,
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
    pub members_version: crate::ids::MembersVersion,
}

/// A job's answer as a caller's answer.
pub fn caller_answer(answer: JobAnswer, single: bool) -> CallerAnswer {
    match answer {
        JobAnswer::Complete { mut answers } if single && answers.len() == 1 => {
            CallerAnswer::Request { answer: answers.remove(0) }
        }
        JobAnswer::Complete { answers } => CallerAnswer::Job { answers },
        JobAnswer::Failed { failure } => CallerAnswer::Failed { failure },
    }
}
