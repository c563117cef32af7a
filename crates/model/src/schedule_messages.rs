//! Owns the protocol between schedulers and the entries and agents that call
//! them, and the messages of the scheduling duty. A scheduler is the control
//! leader (for stored jobs) or an entry (for best-effort jobs).
//!
//! An agent and a scheduler share one stream. The agent sends reports, and
//! heartbeats where it has nothing to report; the scheduler sends orders as soon as
//! there are any. Orders acknowledge all messages of the agent up to a number, so
//! neither side sends a message only to answer one.
//!
//! Invariants:
//! - an agent's messages carry its session id; those of an earlier session are
//!   ignored;
//! - orders and reports carry the life id of the backend server that they refer
//!   to.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use kernel::Reservation;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::control_messages::ControlReply;
use crate::ids::{
    CallId, ConfigVersion, DomainId, EndNumber, Incarnation, JobId, LabelId, LifeId, LinkId,
    LogIndex, MessageNumber, NodeId, QueueId, Revision, RunNumber, ServiceId, SessionId, StepIndex,
    TaskIndex, Term,
};
use crate::leader_hint::LeaderHint;
use crate::queue_catalog::{QueueCatalog, QueueRule};
use crate::queue_jobs::{EndKind, JobPhase, QueuedJob, ResourceAmount, TaskName, TaskRun};
use crate::replica::LogRecord;

/// A call about a queued job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobCall {
    /// Submits a job.
    #[serde(rename = "accept")]
    Submit {
        /// The job, with the id that its caller chose.
        job: Arc<QueuedJob>,
        /// How long the caller of a best-effort job waits for its end, in
        /// milliseconds.
        wait_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// Queue that the call was addressed to.
        queue: QueueId,
        /// The job to cancel.
        job: JobId,
    },
    /// Queries the phase of a job.
    Phase {
        /// Queue that the call was addressed to.
        queue: QueueId,
        /// The job to look up.
        job: JobId,
    },
    /// Queries how many accepted jobs of a queue have not started a task.
    Waiting {
        /// The queue to count.
        queue: QueueId,
    },
}

impl JobCall {
    /// Takes the time that the call itself has waited off its caller's wait.
    pub fn shorten_wait(&mut self, lag: std::time::Duration) {
        if let JobCall::Submit { wait_ms, .. } = self {
            *wait_ms = wait_ms.saturating_sub(lag.as_millis() as u64);
        }
    }

    /// The job that the call refers to; `None` for calls about a whole queue.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            JobCall::Submit { job, .. } => Some(&job.id),
            JobCall::Cancel { job, .. } | JobCall::Phase { job, .. } => Some(job),
            JobCall::Waiting { .. } => None,
        }
    }
}

/// Most reports of an agent to one scheduler that are not acknowledged; later changes
/// wait and go together.
pub const MAX_UNACKED_REPORTS: usize = 4;

/// Why a job was refused. No task of a refused job runs.
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
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalCause {
    /// The work queued ahead of the job leaves no time to complete it within
    /// its limit.
    QueueFull,
    /// The job waited until too little time was left to run it; none of its
    /// tasks started.
    TimeOver,
    /// By the run times of its queue, the job is more likely to end after its limit than
    /// before, even on the fastest backend server.
    TooLong,
    /// No backend server can hold a task of the job, even when it is idle.
    NoServer,
    /// The catalog in force has no such queue.
    UnknownQueue,
    /// The message rings of the scheduling host are full.
    Busy,
    /// The job requests a feature that is not supported.
    Unsupported,
}

/// The reply to a call about a queued job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobReply {
    /// The job is stored and will run.
    Accepted,
    /// The job was not accepted; it never runs because of this call.
    Refused {
        /// Why it was refused.
        cause: RefusalCause,
        /// Delay after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The phase of the job.
    Phase(JobPhase),
    /// Number of accepted jobs that have not started a task.
    Waiting(u64),
    /// No job with this id is known.
    UnknownJob,
    /// Outcome unknown: the call was not confirmed in time but may have taken
    /// effect.
    Unclear,
}

/// What an agent knows of its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerView {
    /// Id of the server's current life.
    pub life: LifeId,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// Failure domain of the worker.
    pub domain: DomainId,
    /// Total capacity, whether in use or free.
    #[serde(rename = "room")]
    pub capacity: ResourceAmount,
    /// Labels that steps can require: its kind and its rack.
    pub labels: Vec<LabelId>,
    /// Whether it accepts no new work.
    pub draining: bool,
}

/// The backend servers of one service that a scheduler knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceServers {
    /// The service.
    pub service: ServiceId,
    /// Number of its backend servers, those that accept no new work included.
    pub servers: usize,
    /// The highest capacity among them, in each dimension of its own.
    pub highest: ResourceAmount,
}

impl ServiceServers {
    /// Whether one of the backend servers has any capacity.
    pub fn has_capacity(&self) -> bool {
        self.servers > 0 && self.highest != ResourceAmount::default()
    }
}

/// Why an agent or its backend server refused to start a run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StartRefusal {
    /// A later leader has already sent orders, so the order's fence or term is
    /// too low.
    Fence,
    /// A run of the same task with a higher number is already known there.
    OldRun,
    /// The order arrived too late to be started.
    Late,
    /// The free capacity is smaller than the run needs.
    Room,
    /// The backend server is unhealthy.
    Unhealthy,
    /// The backend server is draining, has ended, or is in another life than
    /// the order names.
    Gone,
    /// The backend server can't decode the order.
    Malformed,
    /// The outcome of an earlier start order was unknown; the run is now barred
    /// from starting.
    Barred,
}

/// A change in the state of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunUpdate {
    /// The run did not start and never will.
    Refused {
        /// The refused run.
        run: TaskRun,
        /// Why it was refused.
        refusal: StartRefusal,
    },
    /// The run ended.
    Ended {
        /// Its position in the backend server's list of ended runs, from 1; 0
        /// when it is not listed.
        number: EndNumber,
        /// The ended run.
        run: TaskRun,
        /// How it ended.
        kind: EndKind,
        /// Time between its start and its end, as measured by the agent, in
        /// milliseconds; `None` if the agent doesn't know both.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        ran_ms: Option<u64>,
    },
}

impl RunUpdate {
    /// The end of a run that was stopped by the expiry of its lease; the backend
    /// server lists no end of it.
    pub fn lapsed(run: TaskRun) -> RunUpdate {
        RunUpdate::Ended { number: 0, run, kind: EndKind::Lapsed, ran_ms: None }
    }
}

/// Identifies a scheduler that sends orders to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SchedulerKey {
    /// The control leader, which schedules stored jobs.
    Control,
    /// The entry of this name, which schedules its callers' best-effort jobs.
    Entry(NodeId),
}

impl std::fmt::Display for SchedulerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SchedulerKey::Control => f.write_str("control"),
            SchedulerKey::Entry(name) => f.write_str(name),
        }
    }
}

/// Name and address of an entry that schedules best-effort jobs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryHost {
    /// The entry's name.
    pub name: NodeId,
    /// Address at which it accepts the streams of agents.
    pub address: std::net::SocketAddr,
}

/// A change of a claim that concerns its holder or a claimant.
///
/// An entry claims a best-effort job at one agent before it starts its tasks, so that
/// no two entries run the same job at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimUpdate {
    /// The scheduler holds the claim: no run of another one is active.
    Granted {
        /// The claimed job.
        job: JobId,
    },
    /// Another scheduler holds the claim; the grant follows once that one has no active
    /// run.
    Held {
        /// The claimed job.
        job: JobId,
    },
    /// The agent has just started: other schedulers may have active runs under claims that
    /// it doesn't know. It grants the claim once these are over; another agent may sooner.
    Declined {
        /// The claimed job.
        job: JobId,
        /// Time before which the agent grants no claim, in milliseconds; `None` if it does not
        /// know.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        grants_in_ms: Option<u64>,
    },
    /// Another scheduler claims the job; the holder has to stop its runs and release
    /// the claim.
    Recalled {
        /// The claimed job.
        job: JobId,
    },
    /// Another scheduler claims the job at an agent that doesn't know all claims: this one
    /// has to stop its runs of the job, and to confirm that none is active.
    Confirm {
        /// The claimed job.
        job: JobId,
    },
    /// Another scheduler has given an agent up: this one has to give it up too, unless it
    /// knows it.
    GiveUp {
        /// The agent that was given up.
        agent: NodeId,
    },
    /// The agent counts those agents as given up by this scheduler that it has told it of, up to
    /// a revision. In the first message of a session that is 0: it follows these lists.
    FollowsGiveUps {
        /// The latest revision that the agent has handled.
        revision: Revision,
    },
}

/// An entry's claims at one agent.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimOrders {
    /// Incarnation of the entry, which increases with each start of its process.
    pub incarnation: Incarnation,
    /// Whether this is its first message of the session: it has released the claims
    /// that it does not list.
    #[serde(default)]
    pub is_first: bool,
    /// In the first message, how long the entry's process has run, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub up_ms: Option<u64>,
    /// Agents that it has given up since its last message, or all of them in the first one:
    /// it has listed elsewhere what it runs under their grants, and asks them for nothing.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub given_up: Vec<NodeId>,
    /// Agents that it is going to ask again, once their return is acknowledged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub readmitted: Vec<NodeId>,
    /// Revision of these lists that is to be acknowledged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Jobs that it runs under a claim.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<JobId>,
    /// Jobs that it claims.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claimed: Vec<JobId>,
    /// Jobs that it claims here although another entry may hold the claim at another agent:
    /// an agent that comes before this one is gone or silent, or the claim was recalled.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub passed_on: Vec<JobId>,
    /// Jobs of which it has no active run, in answer to a request to confirm that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub confirmed: Vec<JobId>,
    /// Jobs that it no longer claims, and of which it has no active run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<JobId>,
}

/// What a report says of the agent's backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerReport {
    /// The same as the previous report of the session.
    #[default]
    Unchanged,
    /// None is known.
    Absent,
    /// It is this one.
    Present(ServerView),
}

impl ServerReport {
    /// Whether nothing changed since the previous report.
    pub fn is_unchanged(&self) -> bool {
        *self == ServerReport::Unchanged
    }

    /// The same report of a backend server that gets no new work.
    #[must_use]
    pub fn draining(mut self) -> ServerReport {
        if let ServerReport::Present(view) = &mut self {
            view.draining = true;
        }
        self
    }
}

/// A report of an agent to one scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The reporting agent.
    pub agent: NodeId,
    /// The agent's incarnation, which increases with each start of its process.
    pub incarnation: Incarnation,
    /// The agent's connection; reports of an earlier one are ignored.
    pub session: SessionId,
    /// The agent's backend server.
    #[serde(default, skip_serializing_if = "ServerReport::is_unchanged")]
    pub server: ServerReport,
    /// Every run of this scheduler that may still execute there. Present in the
    /// first report of a session and of each life.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub runs: Option<Vec<TaskRun>>,
    /// Whether there may be more runs, and ends, than the lists show: the agent has just
    /// started, and its backend server has not listed all yet. A report with all runs follows.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub runs_partial: bool,
    /// Runs whose scheduler the agent does not know, because it restarted after
    /// they were started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unowned: Vec<TaskRun>,
    /// Changes in the state of runs since the last report.
    #[serde(default, rename = "news", skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<RunUpdate>,
    /// Changes of claims since the last report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimUpdate>,
    /// Capacity used by the runs of other schedulers.
    #[serde(rename = "others")]
    pub other_usage: ResourceAmount,
    /// Speed of the backend server, if it has changed since it was last reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<SpeedReport>,
    /// Comparisons of kinds of tasks that have changed since they were last reported.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pairs: Vec<PairReport>,
    /// Those of the watched kinds of which other schedulers have runs there, if that has
    /// changed since it was last reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other_kinds: Option<Vec<QueueId>>,
}

/// Comparison of the run times of one kind of tasks, by queue, with and without runs of
/// another kind on the same backend server. Sums decay, so the counts are not those of all
/// runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairReport {
    /// The kind whose run times are compared.
    pub first: QueueId,
    /// The kind that was present or absent; may be the same.
    pub second: QueueId,
    /// Number of jobs with the second kind present.
    pub beside: u32,
    /// Number of jobs without it.
    pub alone: u32,
    /// Weight of the difference, in thousandths: its variance is `variance` over this.
    #[serde(rename = "weight")]
    pub weight_milli: u32,
    /// Mean logarithm of run time over estimate with the second kind present less that
    /// without, in thousandths.
    #[serde(rename = "excess")]
    pub excess_milli: i32,
    /// Variance of the logarithm among jobs of one sort, in thousandths.
    #[serde(rename = "variance")]
    pub variance_milli: u32,
}

/// Speed of a backend server as its agent has learned it from the runs of all schedulers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Run time over the estimate, in thousandths; above 1,000 is slower.
    #[serde(rename = "slowness")]
    pub slowness_milli: u32,
    /// Number of jobs from which the speed was learned so far.
    pub jobs: u32,
}

impl SpeedReport {
    /// Run time over the estimate.
    pub fn slowness(&self) -> f64 {
        f64::from(self.slowness_milli) / 1_000.0
    }
}

/// A message of an agent that has nothing to report; its acknowledgement extends the
/// grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// The sending agent.
    pub agent: NodeId,
    /// The agent's incarnation, which increases with each start of its process.
    pub incarnation: Incarnation,
    /// The agent's connection; heartbeats of an earlier one are ignored.
    pub session: SessionId,
}

/// The content of a message of an agent to a scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentMessage {
    /// What has changed at the agent.
    Report(Box<AgentReport>),
    /// Nothing has changed.
    Heartbeat(AgentHeartbeat),
}

/// A message of an agent on its stream to a scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedMessage {
    /// Position of the message within the session.
    pub number: MessageNumber,
    /// Its content.
    pub message: AgentMessage,
}

/// A message of a scheduler on an agent's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SchedulerMessage {
    /// Orders, with an acknowledgement and a grant.
    Orders(Box<AgentOrders>),
    /// This host does not schedule, or doesn't know the agent's session; the session
    /// ends.
    Closed(LeaderHint),
}

/// Cumulative acknowledgement of ended runs: those recorded by the scheduler,
/// which the backend server may forget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndAck {
    /// The life whose list of ended runs is acknowledged.
    pub life: LifeId,
    /// Highest acknowledged position, inclusive.
    pub upto: EndNumber,
}

/// An order of a scheduler to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentOrder {
    /// Starts tasks of one step.
    Start {
        /// The backend server's life that the order is valid for.
        life: LifeId,
        /// The runs to start.
        runs: Vec<TaskRun>,
        /// The job's specification, passed to the backend server unchanged.
        spec: String,
        /// Capacity that each run needs.
        size: ResourceAmount,
        /// Estimated run time of each run, in milliseconds; absent in the orders of
        /// schedulers that use no speeds learned by agents.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        estimate_ms: Option<u64>,
        /// Queue of the job, its kind; absent in the orders of schedulers that use no
        /// comparisons of kinds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        queue: Option<QueueId>,
    },
    /// Stops a run, or bars it from starting if it has not started.
    Stop {
        /// The run to stop.
        run: TaskRun,
    },
    /// Claims a run whose scheduler the agent did not know as this scheduler's
    /// own.
    Keep {
        /// The claimed run.
        run: TaskRun,
    },
}

/// A scheduler's message to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentOrders {
    /// The leader's term; orders of an earlier term are ignored. 0 in the
    /// messages of entries, which have no term.
    pub term: Term,
    /// Number of the agent's latest message that was handled; acknowledges all up to
    /// it.
    pub received: MessageNumber,
    /// How long the agent may keep runs executing, in milliseconds from when it
    /// sent that message.
    pub grant_ms: u64,
    /// Minimum interval between two reports that carry only a change in other
    /// schedulers' usage, in milliseconds.
    #[serde(rename = "room_gap_ms")]
    pub usage_interval_ms: u64,
    /// Ended runs that may be forgotten, if any.
    #[serde(default, rename = "noted", skip_serializing_if = "Option::is_none")]
    pub ack: Option<EndAck>,
    /// The orders, to be executed in this order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<AgentOrder>,
    /// Claims of an entry, if any changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claims: Option<Box<ClaimOrders>>,
    /// Entries that schedule best-effort jobs; present when control sends a new
    /// list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<EntryHost>>,
    /// The group of control hosts; present when control sends a changed one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controls: Option<LeaderHint>,
    /// All failure domains that are evacuated; present when control sends a changed list, and
    /// in its first message of a session. `None` leaves the agent with what it knew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<Vec<DomainId>>,
    /// Kinds of tasks whose presence the agent reports; present when the list has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watched_kinds: Option<Vec<QueueId>>,
}

/// An entry's query for a catalog newer than its own. It also registers the
/// address at which agents reach the entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogQuery {
    /// Version of the entry's current catalog.
    pub version: ConfigVersion,
    /// The querying entry.
    pub entry: EntryHost,
    /// Age of the entry's list of control hosts, which a newer one answers; `None` in
    /// queries of earlier versions, which know no such answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group_version: Option<(Term, LogIndex)>,
    /// Version of the entry's list of evacuated domains, which a newer one answers; `None` in
    /// queries of earlier versions, which know no such answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuation_version: Option<LogIndex>,
}

/// The failure domains on whose backend servers nothing more is started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Log position of the record that changed the list last; 0 before the first.
    pub version: LogIndex,
    /// All evacuated domains.
    pub domains: Vec<DomainId>,
}

/// Ring slot reserved for the reply to a call about a job.
#[derive(Debug)]
pub enum JobReplySlot {
    /// The caller is an entry, connected to control's RPC server.
    Peer(Reservation<ControlReply>),
    /// The caller is a client of this entry's own HTTP front.
    Front(Reservation<QueueFrontMessage>),
}

/// The replicated state of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue that accepted the job.
    pub queue: QueueId,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The leader's term at acceptance.
    pub accepted_term: Term,
    /// Final phase; `None` while the job is open.
    pub ended: Option<JobPhase>,
    /// Time of the end, in milliseconds since 1970.
    pub ended_ms: u64,
    /// The job itself; dropped when it has ended.
    pub job: Option<Arc<QueuedJob>>,
    /// Tasks that completed.
    pub done: IndexSet<(StepIndex, TaskIndex)>,
    /// Failed runs of each task; tasks without failures are absent.
    pub failures: IndexMap<TaskName, IndexSet<RunNumber>>,
}

impl JobRecord {
    /// Whether a task has completed.
    pub fn is_done(&self, task: &TaskName) -> bool {
        self.done.contains(&(task.step, task.index))
    }
}

/// The part of the replicated state that scheduling uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScheduleState {
    /// Jobs by id.
    pub jobs: IndexMap<JobId, JobRecord>,
    /// Agents that may have runs executing.
    pub registered: IndexSet<NodeId>,
    /// The catalog in force; `None` before the first.
    pub catalog: Option<Arc<QueueCatalog>>,
    /// Rules of queues that are not in the catalog any more, and have jobs.
    pub retired: IndexMap<QueueId, QueueRule>,
    /// Failure domains on whose backend servers nothing more is started.
    pub evacuated: IndexSet<DomainId>,
    /// Log position of the record that changed `evacuated` last; 0 before the first.
    pub evacuation_version: LogIndex,
}

/// Messages to the scheduling duty.
#[derive(Debug)]
pub enum SchedulingMessage {
    /// A call about a queued job.
    Job {
        /// Echoed in the reply.
        call: CallId,
        /// Time at which the process received the call.
        arrived_at: std::time::Instant,
        /// The requested operation.
        job: JobCall,
        /// Ring slot reserved for the reply.
        reply: JobReplySlot,
    },
    /// The client of a best-effort job disconnected.
    CallerDisconnected {
        /// The call that submitted the job.
        call: CallId,
    },
    /// The entry is shutting down; sent to an entry's scheduler only.
    Drain {
        /// Time by which each caller has to be answered.
        until: std::time::Instant,
    },
    /// A message of an agent.
    Agent {
        /// The agent's connection.
        link: LinkId,
        /// The message, of any session.
        message: NumberedMessage,
    },
    /// The connection of an agent was lost.
    LinkLost {
        /// The lost connection.
        link: LinkId,
    },
    /// An entry's query for a catalog newer than its own.
    CatalogWatch {
        /// Echoed in the reply.
        call: CallId,
        /// The entry and the version that it has.
        query: CatalogQuery,
        /// Ring slot reserved for the reply.
        reply: Reservation<ControlReply>,
    },
    /// Control confirmed a newer catalog; sent to an entry's scheduler only.
    Catalog {
        /// The catalog now in force.
        catalog: Arc<QueueCatalog>,
    },
    /// Control's newer list of evacuated failure domains; sent to an entry's scheduler only.
    Evacuation {
        /// The list.
        list: EvacuationList,
    },
    /// An operator's query for the known backend servers; sent to control's scheduler only.
    Servers {
        /// Echoed in the reply.
        call: CallId,
        /// Ring slot reserved for the reply.
        reply: Reservation<ControlReply>,
    },
    /// Log records were committed.
    Applied {
        /// The committed records, in log order.
        records: Vec<LogRecord>,
    },
    /// The replicated state was loaded from disk or installed from the leader's
    /// snapshot.
    Restored {
        /// The part of it that scheduling uses.
        state: Box<ScheduleState>,
    },
    /// Leadership of the control group changed.
    Leading {
        /// Term in which this host leads; `None` while it does not.
        term: Option<Term>,
        /// The leader and the group, as far as this host knows them.
        hint: LeaderHint,
    },
}

/// Messages to the duty that serves the streams of agents.
#[derive(Debug)]
pub enum ScheduleEdgeMessage {
    /// Serves a connection that was accepted by another duty.
    Connected {
        /// The connection, after its first message.
        stream: std::net::TcpStream,
        /// That message.
        first: Box<NumberedMessage>,
    },
    /// Sends a message to an agent. The connection ends after
    /// [`SchedulerMessage::Closed`].
    Send {
        /// The agent's connection.
        link: LinkId,
        /// The message to send.
        message: SchedulerMessage,
    },
}

/// Messages to the duty of an entry that forwards calls to control.
#[derive(Debug)]
pub enum JobCallMessage {
    /// Forwards a call of the HTTP front.
    Call {
        /// Echoed in the reply.
        call: CallId,
        /// The requested operation.
        job: JobCall,
        /// Time at which the caller stops waiting.
        deadline: std::time::Instant,
        /// Ring slot reserved for the reply.
        reply: Reservation<QueueFrontMessage>,
    },
}

/// Messages to the HTTP front of an entry for queued jobs.
#[derive(Debug)]
pub enum QueueFrontMessage {
    /// The reply to a call.
    Answer {
        /// Call that the reply belongs to.
        call: CallId,
        /// The reply, from control or the entry's own scheduler.
        reply: JobReply,
    },
    /// A catalog came into force.
    Catalog {
        /// The catalog now in force.
        catalog: Arc<QueueCatalog>,
        /// Time at which it was in force: when the query was sent that returned it.
        confirmed_at: std::time::Instant,
    },
    /// The leader has confirmed that no newer catalog was in force at this time.
    CatalogConfirmed {
        /// When the query was sent.
        at: std::time::Instant,
    },
    /// The process is shutting down.
    Drain {
        /// Time by which each request has to be answered.
        until: std::time::Instant,
    },
}

/// Name of a host that is known by its address only: the text of its IP
/// address.
pub fn host_name(address: std::net::SocketAddr) -> NodeId {
    CompactString::from(address.ip().to_string())
}
