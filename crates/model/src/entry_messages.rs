//! Owns the messages between the services of an entry.
//!
//! Invariant: every message that asks for an answer carries the reserved room
//! for it, so that an answer is never refused by a full ring.

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
use crate::peer_messages::{RecallAnswer, RecallOrder, TaskQuestion, TaskReport};
use crate::work::{
    JobAnswer, JobKey, JobOrder, NotStartedReason, OwnerRef, StartOrder, TaskKey, TaskOutcome,
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
    pub size: WorkerSize,
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
    pub epoch: ClaimEpoch,
    /// The owner.
    pub owner: OwnerRef,
    /// What a new owner must find out first.
    pub takeover: Takeover,
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
