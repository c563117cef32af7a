//! Owns the messages between the services of an entry.
//!
//! Invariant: every message that expects a reply carries a reserved ring slot
//! for it, so that a full ring never refuses a reply.

use compact_str::CompactString;
use kernel::Reservation;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::{AgentView, ConfigInForce, MemberRecord, WorkerSize};
use crate::command::{CommandResult, Takeover};
use crate::control_messages::LeaseState;
use crate::error::Failure;
use crate::ids::{AttemptId, CallId, ClaimEpoch, ServiceId, SubmissionId, TeamId, WorkerId};
use crate::payload::Payload;
use crate::peer_messages::{RecallAnswer, RecallOrder, TaskQuery, TaskReport};
use crate::work::{
    JobAnswer, JobKey, JobSubmission, NotStartedReason, OwnerRef, StartOrder, TaskKey, TaskOutcome,
};

/// A client's single request, as decoded by the HTTP edge.
#[derive(Debug, Clone)]
pub struct SingleRequest {
    /// The addressed service.
    pub service: ServiceId,
    /// The team that the request is charged to.
    pub team: TeamId,
    /// The client's idempotency key, if it sent one.
    pub submission: Option<SubmissionId>,
    /// Time limit from arrival, if the client set one.
    pub deadline: Option<Duration>,
    /// Request body, passed to the backend server.
    pub payload: Payload,
}

/// The operation that a client requests.
#[derive(Debug, Clone)]
pub enum CallerRequest {
    /// Runs a single request and waits for its answer.
    Request(SingleRequest),
    /// Submits a job.
    Job {
        /// The submitted job.
        order: JobSubmission,
        /// Whether the client waits for the complete answer.
        wait: bool,
    },
    /// Queries the state or the answer of a job.
    Lookup {
        /// The submission to look up.
        key: JobKey,
    },
    /// Queries the recorded events of a job.
    Explain {
        /// The submission to explain.
        key: JobKey,
    },
    /// Cancels a job.
    Cancel {
        /// The submission to cancel.
        key: JobKey,
    },
}

/// The answer to a client's request.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerAnswer {
    /// The complete answer to a request.
    Request {
        /// The backend server's answer.
        answer: Payload,
    },
    /// The complete answer to a job.
    Job {
        /// One answer for each task, in the order of the tasks.
        answers: Vec<Payload>,
    },
    /// The submission is recorded and will run.
    Accepted,
    /// The job has not ended.
    InProgress {
        /// Number of tasks that have ended.
        ended: usize,
        /// Total number of tasks.
        tasks: usize,
    },
    /// The recorded events of a job.
    Explained {
        /// One line for each event, oldest first.
        lines: Vec<String>,
    },
    /// The request failed.
    Failed {
        /// Error kind, which decides whether the work may have run, and a
        /// detail for the client.
        failure: Failure,
    },
}

/// An answer on its way to the entry's HTTP edge.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerReply {
    /// Call that the answer belongs to.
    pub call: CallId,
    /// The answer to encode.
    pub answer: CallerAnswer,
}

/// How a task ended, as known to its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task ran and its outcome was reported.
    Ran {
        /// Worker that ran it.
        worker: WorkerId,
        /// The reported outcome.
        outcome: TaskOutcome,
    },
    /// The task did not start on any worker and never will.
    NotStarted {
        /// Why the task was abandoned.
        failure: Failure,
    },
    /// The task may have started and its outcome can't be determined.
    Unknown {
        /// The observed fault.
        reason: CompactString,
    },
}

/// An event in the placement of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEvent {
    /// A start order was sent to a worker.
    Placed {
        /// Worker that was chosen.
        worker: WorkerId,
        /// Attempt that the order carries.
        attempt: AttemptId,
    },
    /// A worker confirmed that it did not start the task.
    Refused {
        /// Worker that refused.
        worker: WorkerId,
        /// Why it refused.
        reason: NotStartedReason,
    },
    /// Contact with the worker was lost and the outcome is unknown; the worker
    /// will be queried.
    Unacknowledged {
        /// Worker that the start order was sent to.
        worker: WorkerId,
    },
    /// The task is retried, which is safe because it is idempotent.
    Retried {
        /// Why the previous attempt failed.
        reason: CompactString,
    },
}

/// Requests admission of all tasks of one submission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitRequest {
    /// The submission to admit.
    pub key: JobKey,
    /// Service that runs the tasks.
    pub service: ServiceId,
    /// The tasks, with their declared run time and size.
    pub tasks: Vec<AdmitTask>,
    /// Time by which the client needs the answer.
    pub deadline: Instant,
    /// Whether the tasks may be repeated.
    pub idempotent: bool,
}

/// One task of an [`AdmitRequest`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitTask {
    /// Declared run time; `None` uses the service's default.
    pub declared: Option<Duration>,
    /// Declared size.
    pub size: WorkerSize,
    /// Input for the backend server.
    pub payload: Payload,
}

/// Messages to job tracking.
#[derive(Debug)]
pub enum JobMessage {
    /// A client's request.
    Caller {
        /// Echoed in the reply.
        call: CallId,
        /// The requested operation.
        request: CallerRequest,
        /// Time of arrival, from which the deadline counts.
        arrived: Instant,
        /// Ring slot reserved for the reply.
        reply: Reservation<CallerReply>,
    },
    /// Dispatch admitted the submission.
    Admitted {
        /// The admitted submission.
        key: JobKey,
    },
    /// Dispatch refused the submission; none of its tasks started.
    Refused {
        /// The refused submission.
        key: JobKey,
        /// Why it was refused.
        failure: Failure,
    },
    /// A task ended.
    TaskEnded {
        /// The ended task.
        key: TaskKey,
        /// How it ended.
        end: TaskEnd,
    },
    /// An event in the placement of a task, recorded for `explain`.
    TaskEvent {
        /// The task that the event is about.
        key: TaskKey,
        /// The recorded event.
        event: TaskEvent,
    },
    /// Control's reply to a claim or a final answer.
    Ledger {
        /// The submission that the command was about.
        key: JobKey,
        /// Result of the command, or why there is none.
        reply: LedgerReply,
    },
    /// A configuration came into force.
    Config {
        /// The configuration now in force.
        config: Arc<ConfigInForce>,
    },
    /// The state of this entry's lease at control changed.
    Lease {
        /// The new state.
        state: LeaseState,
    },
    /// Control recorded the figures up to `sequence`.
    FiguresRecorded {
        /// Highest recorded sequence number of this incarnation.
        sequence: u64,
    },
    /// The process is draining.
    Drain,
}

/// Control's reply to a ledger command.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerReply {
    /// The command was committed and applied.
    Applied {
        /// Result of the command.
        result: CommandResult,
    },
    /// Control did not accept the command; it has no effect.
    NotAccepted,
    /// The reply was lost; the command may have been applied.
    ReplyLost,
}

/// Messages to dispatch.
#[derive(Debug)]
pub enum DispatchMessage {
    /// Requests admission of tasks. Admitted tasks are queued but not placed
    /// until they are released.
    Admit {
        /// The submission and its tasks.
        request: AdmitRequest,
        /// Releases the tasks at once when present, for submissions that need
        /// no claim.
        release: Option<ReleaseOrder>,
    },
    /// The submission is claimed; its tasks may be placed.
    Release {
        /// The claimed submission.
        key: JobKey,
        /// The claim that the tasks run under.
        order: ReleaseOrder,
    },
    /// Recalls every task of the submission that has not started, and stops
    /// those that run.
    Withdraw {
        /// The submission to withdraw.
        key: JobKey,
    },
    /// An event on the connection to an agent.
    Link {
        /// Worker of that agent.
        worker: WorkerId,
        /// The observed event.
        event: LinkEvent,
    },
    /// A configuration came into force.
    Config {
        /// The configuration now in force.
        config: Arc<ConfigInForce>,
    },
    /// The member list changed.
    Members {
        /// Agents with a valid lease.
        agents: Vec<MemberRecord>,
        /// Number of entries with a valid lease.
        entries: usize,
    },
    /// The state of this entry's lease at control changed.
    Lease {
        /// The new state.
        state: LeaseState,
    },
}

/// The claim under which tasks are placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// Claim epoch; 0 when the submission has no claim.
    pub epoch: ClaimEpoch,
    /// The entry that owns the submission.
    pub owner: OwnerRef,
    /// What a new owner must find out before it places tasks.
    pub takeover: Takeover,
}

/// An event on the connection to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum LinkEvent {
    /// The agent sent its view, changed or unchanged.
    View {
        /// Capacity and load of the worker.
        view: AgentView,
    },
    /// The agent replied to a start or attach call.
    Report {
        /// The task's status, and the load of its service on the worker.
        report: TaskReport,
    },
    /// A start or attach call ended without a reply.
    CallLost {
        /// The task that the call was about.
        key: TaskKey,
        /// Attempt that the call carried.
        attempt: AttemptId,
        /// Whether the call may have reached the agent; `false` only when it
        /// never left this process.
        sent: bool,
    },
    /// The agent replied to a recall.
    Recalled {
        /// Status of each recalled task.
        answer: RecallAnswer,
    },
    /// A recall ended without a reply; its effect is unknown.
    RecallLost {
        /// The recalled tasks and attempts.
        queries: Vec<TaskQuery>,
    },
    /// The contact timeout passed without a message, or the connection broke.
    ContactLost,
}

/// Messages to the connections to agents.
#[derive(Debug)]
pub enum LinkMessage {
    /// Sets the agents to connect to.
    Agents {
        /// The complete list; connections to other agents are closed.
        agents: Vec<MemberRecord>,
        /// Longest interval between two watch calls to one agent.
        interval: Duration,
    },
    /// Sends a start order.
    Start {
        /// The receiving worker.
        worker: WorkerId,
        /// The order to send.
        order: Box<StartOrder>,
        /// Ring slot reserved for the reply.
        reply: Reservation<DispatchMessage>,
    },
    /// Waits for the end of a task that was started earlier.
    Attach {
        /// Worker that may run it.
        worker: WorkerId,
        /// The task and attempt to attach to.
        query: TaskQuery,
        /// Ring slot reserved for the reply.
        reply: Reservation<DispatchMessage>,
    },
    /// Recalls tasks.
    Recall {
        /// The receiving worker.
        worker: WorkerId,
        /// The tasks to recall.
        order: RecallOrder,
        /// Ring slot reserved for the reply.
        reply: Reservation<DispatchMessage>,
    },
}

/// Converts a job's answer for the client. With `single`, a one-task job is
/// answered as a request: the task's answer without the enclosing list.
pub fn caller_answer(answer: JobAnswer, single: bool) -> CallerAnswer {
    match answer {
        JobAnswer::Complete { mut answers } if single && answers.len() == 1 => {
            CallerAnswer::Request { answer: answers.remove(0) }
        }
        JobAnswer::Complete { answers } => CallerAnswer::Job { answers },
        JobAnswer::Failed { failure } => CallerAnswer::Failed { failure },
    }
}
