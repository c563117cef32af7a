//! Owns the jobs that clients submit to a queue: their steps, the names of
//! their tasks, and how runs of tasks end.
//!
//! Invariant: a job is immutable once accepted; its progress is stored
//! separately, in [`crate::JobRecord`].

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use strum::{Display, EnumString, IntoStaticStr};

use crate::ids::{JobId, LabelId, Occurrence, QueueId, RackId, RunNumber, StepIndex, TaskIndex};
use crate::time_bounds::span_sum;

/// An amount of resources: the capacity of a worker, or the need of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceAmount {
    /// The higher of two amounts in each dimension.
    pub fn highest(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Whether `need` fits in this amount in every dimension.
    pub fn fits(&self, need: &ResourceAmount) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// The larger of both amounts in each dimension.
    pub fn max(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// What remains after `usage` is subtracted; each dimension saturates at
    /// zero.
    pub fn saturating_sub(&self, usage: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu_milli: self.cpu_milli.saturating_sub(usage.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(usage.memory_mb),
            accelerators: self.accelerators.saturating_sub(usage.accelerators),
        }
    }

    /// The sum of both amounts; each dimension saturates.
    pub fn with(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// One step of a job: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct JobStep {
    /// Number of tasks in the step.
    pub count: TaskIndex,
    /// Capacity that each task needs.
    pub size: ResourceAmount,
    /// Estimated run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all complete before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<StepIndex>,
    /// Label that the backend server must carry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<LabelId>,
    /// Rack that holds the input data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<RackId>,
    /// Maximum number of tasks of this step on one backend server; 0 for no
    /// limit.
    #[serde(rename = "most_per_server")]
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_server: u32,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl JobStep {
    /// Estimated run time of a task.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms)
    }
}

/// A job as its client submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedJob {
    /// Client-chosen id; equal for a resubmission.
    pub id: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Specification passed to the backend server with each start of a task.
    pub spec: String,
    /// The steps; a step depends only on steps before it.
    pub steps: Vec<JobStep>,
    /// Whether the job is not stored: its client waits for the end and may
    /// resubmit it when no answer arrives.
    #[serde(default)]
    pub best_effort: bool,
}

impl QueuedJob {
    /// Estimated run time of the critical path: the longest chain of dependent
    /// steps; at most [`crate::MAX_SPAN`].
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependency_ends =
                step.depends_on.iter().filter_map(|dependency| ends.get(*dependency as usize));
            let start = dependency_ends.max().copied().unwrap_or_default();
            ends.push(span_sum(start, step.estimate()));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Estimated run time of the longest chain of dependent steps that begins with one of
    /// these. Reads each step and dependency once, as a job may have thousands of steps.
    pub fn path_from(&self, firsts: impl Iterator<Item = StepIndex>) -> Duration {
        let mut is_first = vec![false; self.steps.len()];
        for first in firsts {
            if let Some(is_first) = is_first.get_mut(first as usize) {
                *is_first = true;
            }
        }
        let mut ends: Vec<Option<Duration>> = vec![None; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate() {
            let dependency_ends =
                step.depends_on.iter().filter_map(|dependency| *ends.get(*dependency as usize)?);
            let start = dependency_ends.max().or(is_first[index].then_some(Duration::ZERO));
            ends[index] = start.map(|start| span_sum(start, step.estimate()));
        }
        ends.into_iter().flatten().max().unwrap_or_default()
    }

    /// Whether the name is that of a task of this job, which is not repeated.
    pub fn has_task(&self, task: &TaskName) -> bool {
        let step = self.steps.get(task.step as usize);
        task.job == self.id
            && task.occurrence == 0
            && step.is_some_and(|step| task.index < step.count)
    }

    /// Names of the tasks of one step; empty for a step that the job does not
    /// have.
    pub fn tasks_of(&self, step: StepIndex) -> impl Iterator<Item = TaskName> + use<'_> {
        let count = self.steps.get(step as usize).map_or(0, |step| step.count);
        (0..count).map(move |index| TaskName { job: self.id.clone(), occurrence: 0, step, index })
    }
}

/// Progress of a job as reported to clients.
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
    /// Every task completed.
    Completed,
    /// A task failed as many times as its queue allows.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Whether the job has ended, so that none of its tasks start any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled)
    }
}

/// One task of one occurrence of a job, displayed as
/// `job.occurrence.step.index`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "CompactString", try_from = "CompactString")]
pub struct TaskName {
    /// Id of the job; the text form can only be parsed if it contains no `.`.
    pub job: JobId,
    /// Occurrence of a repeated job, from 0.
    pub occurrence: Occurrence,
    /// Position of the step within the job, from 0.
    pub step: StepIndex,
    /// Position of the task within the step, from 0.
    pub index: TaskIndex,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The text is not a task name of the form `job.occurrence.step.index`.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{text:?} is not of the form job.occurrence.step.index"))]
pub struct TaskNameError {
    text: CompactString,
}

impl FromStr for TaskName {
    type Err = TaskNameError;

    fn from_str(text: &str) -> Result<TaskName, TaskNameError> {
        parse_task_name(text).context(TaskNameSnafu { text })
    }
}

fn parse_task_name(text: &str) -> Option<TaskName> {
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
    type Error = TaskNameError;

    fn try_from(text: CompactString) -> Result<TaskName, TaskNameError> {
        text.parse()
    }
}

/// One start of a task. Run numbers of a task increase with each start.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The started task.
    pub task: TaskName,
    /// Number of this start, from 1.
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
    /// The task completed.
    Done,
    /// The task or its backend server failed; counts as an attempt.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run's lease expired, or its backend server is gone.
    Lapsed,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The ended run.
    pub run: TaskRun,
    /// How it ended.
    pub kind: EndKind,
}
