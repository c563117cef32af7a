//! Owns what callers submit and what comes of it: jobs, tasks and outcomes.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::Failure;
use crate::ids::{
    AttemptId, Fingerprint, Incarnation, NodeId, ServiceId, SubmissionId, TaskIndex, TeamId,
};
use crate::payload::{Payload, fingerprint};

/// A submission of a team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobKey {
    /// The team.
    pub team: TeamId,
    /// The team's own id of the submission.
    pub submission: SubmissionId,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.submission)
    }
}

/// A task of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The submission.
    pub job: JobKey,
    /// The task's position in it.
    pub task: TaskIndex,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.task)
    }
}

/// What a task asks for. The declared figures are hints: they are often far
/// off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Declared run time in milliseconds.
    #[serde(default)]
    pub declared_ms: Option<u32>,
    /// Declared processor cores.
    #[serde(default = "one_core")]
    pub cores: u32,
    /// Declared memory in MB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Declared accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// What the backend server is given.
    pub payload: Payload,
}

fn one_core() -> u32 {
    1
}

/// A job as callers submit it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobOrder {
    /// The team's own id of the submission.
    pub submission: SubmissionId,
    /// The team.
    pub team: TeamId,
    /// The service that runs the tasks.
    pub service: ServiceId,
    /// Milliseconds from arrival within which the answer is of use.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// The tasks.
    pub tasks: Vec<TaskSpec>,
}

impl JobOrder {
    /// The submission's key.
    pub fn key(&self) -> JobKey {
        JobKey { team: self.team.clone(), submission: self.submission.clone() }
    }

    /// Fingerprint of everything that decides what would run. The deadline
    /// does not count: a resubmission has less time left.
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
    /// The entry.
    pub entry: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for OwnerRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.entry, self.incarnation)
    }
}

/// What came of a task that started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The backend server answered in full.
    Completed {
        /// The whole answer.
        answer: Payload,
        /// Run time at the backend server in microseconds.
        run_us: u64,
    },
    /// The backend server answered with a failure.
    Failed {
        /// What it said.
        reason: CompactString,
        /// Run time at the backend server in microseconds.
        run_us: u64,
    },
    /// Contact with the backend server was lost while it may have run.
    Unknown {
        /// What was seen.
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
    /// The backend server is leaving or unknown here.
    NoInstance,
    /// The agent's queue is full.
    QueueFull,
    /// The worker drains.
    Draining,
    /// The task was recalled.
    Recalled,
    /// A later attempt or claim has overtaken this order.
    Overtaken,
    /// The owner has been fenced.
    OwnerFenced,
    /// The agent holds no lease.
    NoLease,
    /// The deadline passed in the queue.
    Expired,
    /// The backend server refused the connection.
    Unreachable,
}

/// What an agent knows of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskFate {
    /// It did not start here, and no order up to the asked attempt ever will.
    NotStarted {
        /// Why.
        reason: NotStartedReason,
    },
    /// It is queued here and may start.
    Queued,
    /// It is running.
    Running,
    /// It ended.
    Ended {
        /// How.
        outcome: TaskOutcome,
    },
}

/// An entry's order to start one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub key: TaskKey,
    /// Which attempt this is; later ones overtake earlier ones.
    pub attempt: AttemptId,
    /// Who owns the submission.
    pub owner: OwnerRef,
    /// The service.
    pub service: ServiceId,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// Milliseconds left until the deadline when the order was sent.
    pub left_ms: u64,
    /// The backend server's input.
    pub payload: Payload,
}

impl StartOrder {
    /// Time left until the deadline when the order was sent.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }
}

/// The whole answer of a job: every task's answer in order, or a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobAnswer {
    /// Every task completed.
    Complete {
        /// One answer for each task, in the order of the tasks.
        answers: Vec<Payload>,
    },
    /// The job failed; no task's answer is given.
    Failed {
        /// Why.
        failure: Failure,
    },
}
