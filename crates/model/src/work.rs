//! Owns submitted work: jobs, tasks, start orders and outcomes.
//!
//! Invariant: a task is identified by its submission and its index; an attempt
//! id orders the start orders of one task.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::Failure;
use crate::ids::{
    AttemptId, Fingerprint, Incarnation, NodeId, ServiceId, SubmissionId, TaskIndex, TeamId,
};
use crate::payload::{Payload, fingerprint};

/// Identifies a submission of a team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobKey {
    /// Team that submitted it.
    pub team: TeamId,
    /// The client-chosen id, unique within the team.
    pub submission: SubmissionId,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.submission)
    }
}

/// Identifies a task of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Submission that the task belongs to.
    pub job: JobKey,
    /// Position of the task in the submission, from 0.
    pub task: TaskIndex,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.task)
    }
}

/// A task as submitted. Its declared run time and size are hints and are often
/// far off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Declared run time in milliseconds.
    #[serde(default)]
    pub declared_ms: Option<u32>,
    /// Declared number of processor cores.
    #[serde(default = "one_core")]
    pub cores: u32,
    /// Declared memory in MB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Declared number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Input for the backend server.
    pub payload: Payload,
}

fn one_core() -> u32 {
    1
}

/// A job as clients submit it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// The client-chosen id, unique within the team.
    pub submission: SubmissionId,
    /// Team that submits the job.
    pub team: TeamId,
    /// Service that runs the tasks.
    pub service: ServiceId,
    /// Time limit in milliseconds from arrival; `None` uses the service's
    /// default.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// The tasks; answers are returned in the same order.
    pub tasks: Vec<TaskSpec>,
}

impl JobSubmission {
    /// Key of the submission.
    pub fn key(&self) -> JobKey {
        JobKey { team: self.team.clone(), submission: self.submission.clone() }
    }

    /// Fingerprint of all content that determines what runs. It excludes the
    /// deadline, because a resubmission has less time left.
    pub fn fingerprint(&self) -> Fingerprint {
        let sizes: Vec<[u8; 12]> = self.tasks.iter().map(size_bytes).collect();
        let tasks = self.tasks.iter().zip(&sizes);
        let parts =
            tasks.flat_map(|(task, size)| [task.payload.text().as_bytes(), size.as_slice()]);
        fingerprint(std::iter::once(self.service.as_bytes()).chain(parts))
    }
}

fn size_bytes(task: &TaskSpec) -> [u8; 12] {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&task.cores.to_le_bytes());
    bytes[4..8].copy_from_slice(&task.memory_mb.to_le_bytes());
    bytes[8..].copy_from_slice(&task.accelerators.to_le_bytes());
    bytes
}

/// An entry process that owns submissions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnerRef {
    /// The entry's name.
    pub entry: NodeId,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for OwnerRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.entry, self.incarnation)
    }
}

/// The outcome of a task that was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The backend server answered in full.
    Completed {
        /// The complete answer.
        answer: Payload,
        /// Run time at the backend server, in microseconds.
        run_us: u64,
    },
    /// The backend server answered with a failure.
    Failed {
        /// The failure as the backend server described it.
        reason: CompactString,
        /// Run time at the backend server, in microseconds.
        run_us: u64,
    },
    /// Contact with the backend server was lost while the task may have been
    /// running.
    Unknown {
        /// The observed fault.
        reason: CompactString,
    },
}

/// Why an agent did not start a task.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NotStartedReason {
    /// No backend server of the service is available: it is leaving or has not
    /// been announced to this agent.
    NoInstance,
    /// The agent's queue is full.
    QueueFull,
    /// The worker is draining.
    Draining,
    /// The task was recalled.
    Recalled,
    /// The order was superseded by a later attempt or claim.
    Overtaken,
    /// The owner's incarnation has been fenced.
    OwnerFenced,
    /// The agent has no valid lease at control.
    NoLease,
    /// The deadline passed while the task was queued.
    Expired,
    /// The call to the backend server was not sent: it refused the connection,
    /// the request could not be built, or a ring of the agent was full.
    Unreachable,
}

/// State of a task as known to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// The task did not start here, and no start order up to the queried
    /// attempt ever will start it.
    NotStarted {
        /// Why it did not start.
        reason: NotStartedReason,
    },
    /// The task is queued here and may start.
    Queued,
    /// The task is running.
    Running,
    /// The task ended.
    Ended {
        /// Its outcome.
        outcome: TaskOutcome,
    },
}

/// An entry's order to start one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task to start.
    pub key: TaskKey,
    /// Attempt of this order; higher attempts supersede lower ones.
    pub attempt: AttemptId,
    /// The entry process that owns the submission.
    pub owner: OwnerRef,
    /// Service that runs the task.
    pub service: ServiceId,
    /// Whether the task may be repeated.
    pub idempotent: bool,
    /// Time remaining until the deadline when the order was sent, in
    /// milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// Input for the backend server.
    pub payload: Payload,
}

impl StartOrder {
    /// Time remaining until the deadline when the order was sent.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms)
    }
}

/// The complete answer to a job: the answers of all tasks in order, or a
/// failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAnswer {
    /// Every task completed.
    Complete {
        /// One answer for each task, in the order of the tasks.
        answers: Vec<Payload>,
    },
    /// The job failed; the answers of its tasks are dropped.
    Failed {
        /// Error kind and detail.
        failure: Failure,
    },
}
