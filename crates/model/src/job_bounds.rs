//! Bounds on the numbers in jobs and catalogs.
//!
//! Invariant: a job or a queue's rule beyond them is refused before it is committed.
//! Within them no time, sum or count of scheduling overflows.

use std::fmt;

use crate::ids::StepIndex;
use crate::queue_catalog::QueueRule;
use crate::queue_jobs::{JobStep, QueuedJob, ResourceAmount};

/// Maximum number of tasks of a job, over all its steps.
pub const MAX_JOB_TASKS: u64 = 100_000;
/// Maximum number of tasks of a best-effort job. An entry queues all of them at once, which
/// takes a second for 100,000 tasks on a tenth of a core.
pub const MAX_BEST_EFFORT_TASKS: u64 = 10_000;
/// Maximum number of steps of a job.
pub const MAX_JOB_STEPS: u64 = 10_000;
/// Maximum estimated run time of a task, in milliseconds: one year.
pub const MAX_ESTIMATE_MS: u64 = 365 * 24 * 3_600 * 1_000;
/// Maximum of each dimension of a resource amount, in the unit of that dimension.
pub const MAX_RESOURCE: u64 = 1 << 40;
/// Maximum factor on a job's critical path in its objective.
pub const MAX_CRITICAL_PATH_FACTOR: f64 = 1_000_000.0;
/// Maximum constant part of a job's objective, in milliseconds: one year.
pub const MAX_BASE_OBJECTIVE_MS: u64 = 365 * 24 * 3_600 * 1_000;
/// Maximum number of a run, of an end or of a heartbeat: the largest up to which JSON
/// decoders of all kinds read whole numbers exactly.
pub const MAX_NUMBER: u64 = 1 << 53;

/// A number of a job that has a maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoundedField {
    /// Number of tasks over all steps.
    Tasks,
    /// Number of steps.
    Steps,
    /// Estimated run time of a task, in milliseconds.
    Estimate,
    /// Processor time that a task needs, in thousandths of a core.
    Cpu,
    /// Memory that a task needs, in MB.
    Memory,
    /// Accelerators that a task needs.
    Accelerators,
}

/// A number of a job exceeds its maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundError {
    /// The number that is too large.
    pub field: BoundedField,
    /// The step that has it, counted from 0; `None` for a number of the whole job.
    pub step: Option<StepIndex>,
    /// Its value.
    pub value: u64,
    /// Its maximum.
    pub max: u64,
}

impl std::error::Error for BoundError {}

impl fmt::Display for BoundError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BoundError { field, step, value, max } = self;
        match step {
            Some(step) => write!(f, "{field:?} of step {step} is {value}; the maximum is {max}"),
            None => write!(f, "{field:?} is {value}; the maximum is {max}"),
        }
    }
}

fn check(
    field: BoundedField,
    step: Option<StepIndex>,
    value: u64,
    max: u64,
) -> Result<(), BoundError> {
    if value > max { Err(BoundError { field, step, value, max }) } else { Ok(()) }
}

impl ResourceAmount {
    /// The first dimension that exceeds [`MAX_RESOURCE`], with its value.
    pub fn excess(&self) -> Option<(BoundedField, u64)> {
        let dimensions = [
            (BoundedField::Cpu, self.cpu_milli),
            (BoundedField::Memory, self.memory_mb),
            (BoundedField::Accelerators, self.accelerators),
        ];
        dimensions.into_iter().find(|(_, value)| *value > MAX_RESOURCE)
    }
}

impl QueuedJob {
    /// Number of tasks over all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Checks the number of steps and tasks, on which the work of a scheduler depends.
    ///
    /// # Errors
    /// The number that exceeds its maximum.
    pub fn check_size(&self) -> Result<(), BoundError> {
        check(BoundedField::Steps, None, self.steps.len() as u64, MAX_JOB_STEPS)?;
        check(BoundedField::Tasks, None, self.task_count(), MAX_JOB_TASKS)
    }

    /// Checks all numbers of the job.
    ///
    /// # Errors
    /// The first number that exceeds its maximum; those of the whole job come first.
    pub fn check_bounds(&self) -> Result<(), BoundError> {
        self.check_size()?;
        if self.best_effort {
            check(BoundedField::Tasks, None, self.task_count(), MAX_BEST_EFFORT_TASKS)?;
        }
        let mut steps = (0..).zip(&self.steps);
        steps.try_for_each(|(index, step)| check_step(index, step))
    }
}

fn check_step(index: StepIndex, step: &JobStep) -> Result<(), BoundError> {
    check(BoundedField::Estimate, Some(index), step.estimate_ms, MAX_ESTIMATE_MS)?;
    match step.size.excess() {
        Some((field, value)) => check(field, Some(index), value, MAX_RESOURCE),
        None => Ok(()),
    }
}

impl QueueRule {
    /// Whether the factor on the critical path is in its range.
    pub fn has_valid_factor(&self) -> bool {
        (0.0..=MAX_CRITICAL_PATH_FACTOR).contains(&self.critical_path_factor)
    }

    /// Whether the constant part of the objective is in its range.
    pub fn has_valid_base(&self) -> bool {
        self.base_objective_ms <= MAX_BASE_OBJECTIVE_MS
    }
}
