//! Owns what entries and agents say to the control host that schedules, and
//! the messages of its scheduling duty.
//!
//! Invariants:
//! - an agent's reports and polls name its session; those of an earlier
//!   session are of no use any more;
//! - orders and reports name the life of the backend server that they are
//!   about.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use kernel::Reservation;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::control_messages::ControlReply;
use crate::ids::{
    CallId, ConfigVersion, DomainId, EndNumber, Incarnation, JobId, LabelId, LifeId, NodeId,
    QueueId, RunNumber, ServiceId, SessionId, StepIndex, TaskIndex, Term,
};
use crate::queue_catalog::QueueCatalog;
use crate::queue_jobs::{EndKind, JobPhase, QueuedJob, RoomSize, TaskName, TaskRun};
use crate::replica::LogRecord;

/// A call about a queued job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobCall {
    /// Hands a job in.
    Accept {
        /// The job.
        job: Arc<QueuedJob>,
        /// How long the caller of a best-effort job waits for its end, in
        /// milliseconds.
        wait_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// The queue that it was asked on.
        queue: QueueId,
        /// The job.
        job: JobId,
    },
    /// Asks how far a job is.
    Phase {
        /// The queue that it was asked on.
        queue: QueueId,
        /// The job.
        job: JobId,
    },
    /// Asks how many accepted jobs of a queue have started nothing.
    Waiting {
        /// The queue.
        queue: QueueId,
    },
}

impl JobCall {
    /// The job that the call is about, if it is about one.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            JobCall::Accept { job, .. } => Some(&job.id),
            JobCall::Cancel { job, .. } | JobCall::Phase { job, .. } => Some(job),
            JobCall::Waiting { .. } => None,
        }
    }
}

/// Why a job was refused; nothing of it runs.
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
    /// The work ahead of it leaves no time for it.
    QueueFull,
    /// It waited, and there is no time left for it; nothing of it ran.
    TimeOver,
    /// No such queue is in force.
    UnknownQueue,
    /// The scheduling host's queues of messages are full.
    Busy,
    /// It asks for something that is not supported.
    Unsupported,
}

/// The answer to a call about a queued job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobReply {
    /// The job is stored and will run.
    Accepted,
    /// The job was not taken; it never runs because of this call.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// When trying again makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// How far the job is.
    Phase(JobPhase),
    /// Jobs that wait.
    Waiting(u64),
    /// No such job is known.
    UnknownJob,
    /// Nothing certain can be said in time; the call may have had its effect.
    Unclear,
}

/// What an agent knows of its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerView {
    /// Its present life.
    pub life: LifeId,
    /// The service that it runs.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// All its room.
    pub room: RoomSize,
    /// Its kind and its rack.
    pub labels: Vec<LabelId>,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// Why an agent or its backend server started nothing.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StartRefusal {
    /// A later leader has given orders.
    Fence,
    /// A later run of the task was known there.
    OldRun,
    /// The order came too late.
    Late,
    /// It does not fit.
    Room,
    /// The backend server is unhealthy.
    Unhealthy,
    /// The backend server is draining, gone, or has begun another life.
    Gone,
    /// The backend server can't read the order.
    Malformed,
    /// The order was in doubt and is barred now.
    Barred,
}

/// Something new about a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunNews {
    /// It did not start and never will.
    Refused {
        /// The run.
        run: TaskRun,
        /// Why.
        refusal: StartRefusal,
    },
    /// It ended.
    Ended {
        /// Its position in the backend server's list; 0 when it is not listed.
        number: EndNumber,
        /// The run.
        run: TaskRun,
        /// How it ended.
        kind: EndKind,
    },
}

/// Who gives an agent orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SchedulerKey {
    /// The control host that leads: jobs that are stored.
    Control,
    /// An entry: its callers' best-effort jobs.
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

/// An entry that schedules, as agents find it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryHost {
    /// Its name.
    pub name: NodeId,
    /// Where agents reach it.
    pub address: std::net::SocketAddr,
}

/// What an agent tells a scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The agent.
    pub agent: NodeId,
    /// Grows with each start of the agent.
    pub incarnation: Incarnation,
    /// The agent's connection.
    pub session: SessionId,
    /// The backend server; `None` while none is known.
    pub server: Option<ServerView>,
    /// Every run of this scheduler that may be at work there; in the first
    /// report of a session and of each life.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub runs: Option<Vec<TaskRun>>,
    /// Runs whose scheduler the agent does not know, since it was started
    /// after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unowned: Vec<TaskRun>,
    /// What is new.
    pub news: Vec<RunNews>,
    /// Room that other schedulers' runs take.
    pub others: RoomSize,
}

/// An agent's question for orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentPoll {
    /// The agent.
    pub agent: NodeId,
    /// Grows with each start of the agent.
    pub incarnation: Incarnation,
    /// The agent's connection.
    pub session: SessionId,
}

/// Ends that are recorded and may be forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotedEnds {
    /// The life that listed them.
    pub life: LifeId,
    /// The last of them.
    pub upto: EndNumber,
}

/// Something that an agent is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentOrder {
    /// Starts tasks of one step.
    Start {
        /// The life that is meant.
        life: LifeId,
        /// The runs.
        runs: Vec<TaskRun>,
        /// Text of the job.
        spec: String,
        /// What each run needs.
        size: RoomSize,
    },
    /// Stops a run, or bars it if it has not started.
    Stop {
        /// The run.
        run: TaskRun,
    },
    /// A run whose scheduler the agent did not know is this one's.
    Keep {
        /// The run.
        run: TaskRun,
    },
}

/// The scheduling host's answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentOrders {
    /// The host's term; orders of an earlier one count for nothing. Entries
    /// have none.
    pub term: Term,
    /// How long the agent may keep runs at work, in milliseconds from when it
    /// sent the poll.
    pub grant_ms: u64,
    /// Least time between two reports of others' room alone, in milliseconds.
    pub room_gap_ms: u64,
    /// Ends that may be forgotten.
    pub noted: Option<NotedEnds>,
    /// The orders, to be carried out in this order.
    pub orders: Vec<AgentOrder>,
    /// Entries that schedule, when control names them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<EntryHost>>,
}

/// An entry's question for a newer catalog; it tells control where agents
/// find the entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogQuestion {
    /// The version that the entry has.
    pub version: ConfigVersion,
    /// The entry.
    pub entry: EntryHost,
}

/// Room for the answer to a call about a job.
#[derive(Debug)]
pub enum JobSlot {
    /// The caller is an entry, over control's edge.
    Peer(Reservation<ControlReply>),
    /// The caller is this entry's own front.
    Front(Reservation<QueueFrontMessage>),
}

/// What the replicated log keeps of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue.
    pub queue: QueueId,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The term in which it was accepted.
    pub accepted_term: Term,
    /// Whether it ended, and how.
    pub ended: Option<JobPhase>,
    /// When it ended, in milliseconds since 1970.
    pub ended_ms: u64,
    /// The job; dropped when it ended.
    pub job: Option<Arc<QueuedJob>>,
    /// Tasks that are done.
    pub done: IndexSet<(StepIndex, TaskIndex)>,
    /// Failed runs of tasks that have any.
    pub failures: IndexMap<TaskName, IndexSet<RunNumber>>,
}

impl JobRecord {
    /// Whether a task is done.
    pub fn is_done(&self, task: &TaskName) -> bool {
        self.done.contains(&(task.step, task.index))
    }
}

/// What scheduling needs of the replicated state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScheduleState {
    /// Jobs by id.
    pub jobs: IndexMap<JobId, JobRecord>,
    /// Agents that may hold work.
    pub registered: IndexSet<NodeId>,
    /// The catalog in force.
    pub catalog: Option<Arc<QueueCatalog>>,
}

/// Messages to the scheduling duty.
#[derive(Debug)]
pub enum SchedulingMessage {
    /// A call about a job.
    Job {
        /// The call.
        call: CallId,
        /// What is asked.
        job: JobCall,
        /// Room for the answer.
        reply: JobSlot,
    },
    /// The caller of a best-effort job has gone away.
    Abandoned {
        /// Its call.
        call: CallId,
    },
    /// An agent's news.
    Report {
        /// The call.
        call: CallId,
        /// The news.
        report: Box<AgentReport>,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
    /// An agent's question for orders.
    Poll {
        /// The call.
        call: CallId,
        /// The question.
        poll: AgentPoll,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
    /// An entry's question for a catalog newer than the one it has.
    CatalogWatch {
        /// The call.
        call: CallId,
        /// The question.
        question: CatalogQuestion,
        /// Room for the answer.
        reply: Reservation<ControlReply>,
    },
    /// Control has confirmed a newer catalog; for an entry.
    Catalog {
        /// The catalog.
        catalog: Arc<QueueCatalog>,
    },
    /// Records were committed.
    Applied {
        /// The records, in their order.
        records: Vec<LogRecord>,
    },
    /// The replicated state was read from the disk or taken from the leader.
    Restored {
        /// What scheduling needs of it.
        state: Box<ScheduleState>,
    },
    /// Whether this host leads.
    Leading {
        /// The term, when it does.
        term: Option<Term>,
        /// The leader's address, if known.
        leader: Option<std::net::SocketAddr>,
    },
}

/// Messages to an entry's duty that carries calls to control.
#[derive(Debug)]
pub enum JobCallMessage {
    /// A call of the front.
    Call {
        /// The call.
        call: CallId,
        /// What is asked.
        job: JobCall,
        /// When the caller stops waiting.
        deadline: std::time::Instant,
        /// Room for the answer.
        reply: Reservation<QueueFrontMessage>,
    },
}

/// Messages to an entry's front for callers of queues.
#[derive(Debug)]
pub enum QueueFrontMessage {
    /// The answer to a call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
    /// A catalog came into force.
    Catalog {
        /// The catalog.
        catalog: Arc<QueueCatalog>,
    },
    /// The process is told to end.
    Drain,
}

/// The name of a host that is known by its address only.
pub fn host_name(address: std::net::SocketAddr) -> NodeId {
    CompactString::from(address.ip().to_string())
}
