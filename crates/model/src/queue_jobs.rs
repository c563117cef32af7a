//! Owns the jobs that callers hand to a queue: their steps, the names of their
//! tasks, and how runs of tasks end.
//!
//! Invariant: a job never changes once it is accepted; what becomes of it is
//! kept beside it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use strum::{Display, EnumString, IntoStaticStr};

use crate::ids::{JobId, LabelId, Occurrence, QueueId, RackId, RunNumber, StepIndex, TaskIndex};

/// Room on a worker, or what a task needs of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RoomSize {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl RoomSize {
    /// Whether something of size `wanted` fits in.
    pub fn holds(&self, wanted: &RoomSize) -> bool {
        wanted.cpu_milli <= self.cpu_milli
            && wanted.memory_mb <= self.memory_mb
            && wanted.accelerators <= self.accelerators
    }

    /// What is left after `taken`; nothing goes below zero.
    pub fn without(&self, taken: &RoomSize) -> RoomSize {
        RoomSize {
            cpu_milli: self.cpu_milli.saturating_sub(taken.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(taken.memory_mb),
            accelerators: self.accelerators.saturating_sub(taken.accelerators),
        }
    }

    /// Both sizes together.
    pub fn with(&self, more: &RoomSize) -> RoomSize {
        RoomSize {
            cpu_milli: self.cpu_milli + more.cpu_milli,
            memory_mb: self.memory_mb + more.memory_mb,
            accelerators: self.accelerators + more.accelerators,
        }
    }
}

/// One step of a job: a number of equal tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobStep {
    /// Number of tasks.
    pub count: TaskIndex,
    /// What each task needs.
    pub size: RoomSize,
    /// Rough run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<StepIndex>,
    /// Label that the backend server must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<LabelId>,
    /// Rack that holds the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<RackId>,
    /// Most tasks of this step on one backend server; 0 for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub most_per_server: u32,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl JobStep {
    /// Rough run time of a task.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms)
    }
}

/// A job as its caller handed it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedJob {
    /// Chosen by the caller.
    pub id: JobId,
    /// The queue.
    pub queue: QueueId,
    /// Text that goes with each start of a task.
    pub spec: String,
    /// The steps.
    pub steps: Vec<JobStep>,
    /// Whether it need not be stored: its caller waits for its end, and may
    /// hand it in again when no answer comes.
    #[serde(default)]
    pub best_effort: bool,
}

impl QueuedJob {
    /// Run time of the longest chain of steps, by the estimates.
    pub fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier = step.depends_on.iter().filter_map(|on| ends.get(*on as usize));
            let start = earlier.max().copied().unwrap_or_default();
            ends.push(start + step.estimate());
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Names of the tasks of one step.
    pub fn tasks_of(&self, step: StepIndex) -> impl Iterator<Item = TaskName> + use<'_> {
        let count = self.steps.get(step as usize).map_or(0, |step| step.count);
        (0..count).map(move |index| TaskName { job: self.id.clone(), occurrence: 0, step, index })
    }
}

/// What callers are told of a job.
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
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobPhase {
    /// Accepted; no task has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task ended as done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Whether nothing of the job may start any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled)
    }
}

/// One task of one occurrence of a job, written as `job.occurrence.step.index`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "CompactString", try_from = "CompactString")]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Occurrence of a repeated job, from 0.
    pub occurrence: Occurrence,
    /// The step.
    pub step: StepIndex,
    /// Position within the step.
    pub index: TaskIndex,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// A text is not the name of a task.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{text:?} is not of the form job.occurrence.step.index"))]
pub struct BadTaskName {
    text: CompactString,
}

impl FromStr for TaskName {
    type Err = BadTaskName;

    fn from_str(text: &str) -> Result<TaskName, BadTaskName> {
        parse_name(text).context(BadTaskNameSnafu { text })
    }
}

fn parse_name(text: &str) -> Option<TaskName> {
    let mut parts = text.split('.');
    let name = TaskName {
        job: parts.next().filter(|job| !job.is_empty())?.into(),
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(name)
}

impl From<TaskName> for CompactString {
    fn from(name: TaskName) -> CompactString {
        compact_str::format_compact!("{name}")
    }
}

impl TryFrom<CompactString> for TaskName {
    type Error = BadTaskName;

    fn try_from(text: CompactString) -> Result<TaskName, BadTaskName> {
        text.parse()
    }
}

/// One start of a task. Numbers of the same task rise with each start.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
}

impl fmt::Display for TaskRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// How a run ended.
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
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndKind {
    /// The task's work is done.
    Done,
    /// The task or its backend server failed; it counts as an attempt.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out, or its backend server is gone.
    Lapsed,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub run: TaskRun,
    /// How it ended.
    pub kind: EndKind,
}
