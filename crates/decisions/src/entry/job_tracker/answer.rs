//! Builds the answer of a submission from the ends of its tasks.
//!
//! Invariants:
//! - an answer is complete or failed, never partial;
//! - a failure says "not run" only if every task ended as not started, which a
//!   task does only if it was never sent or its worker confirmed it.

use std::time::Duration;

use model::{ErrorKind, Failure, JobAnswer, Payload, Ran, TaskEnd, TaskEvent, TaskOutcome};

/// Number of tasks by how they ended.
#[derive(Debug, Clone, Copy, Default)]
struct EndCounts {
    completed: usize,
    failed: usize,
    unknown: usize,
    not_started: usize,
}

fn count(ends: &[TaskEnd]) -> EndCounts {
    let mut counts = EndCounts::default();
    for end in ends {
        match end {
            TaskEnd::Ran { outcome: TaskOutcome::Completed { .. }, .. } => counts.completed += 1,
            TaskEnd::Ran { outcome: TaskOutcome::Failed { .. }, .. } => counts.failed += 1,
            TaskEnd::Ran { outcome: TaskOutcome::Unknown { .. }, .. } | TaskEnd::Unknown { .. } => {
                counts.unknown += 1
            }
            TaskEnd::NotStarted { .. } => counts.not_started += 1,
        }
    }
    counts
}

/// Builds the answer from the ends of all tasks.
pub(super) fn build_answer(ends: &[TaskEnd], cancelled: bool) -> JobAnswer {
    let counts = count(ends);
    if counts.completed == ends.len() {
        return JobAnswer::Complete { answers: ends.iter().filter_map(completed_answer).collect() };
    }
    JobAnswer::Failed { failure: build_failure(ends, counts, cancelled) }
}

fn completed_answer(end: &TaskEnd) -> Option<Payload> {
    match end {
        TaskEnd::Ran { outcome: TaskOutcome::Completed { answer, .. }, .. } => Some(answer.clone()),
        _ => None,
    }
}

fn build_failure(ends: &[TaskEnd], counts: EndCounts, cancelled: bool) -> Failure {
    let detail = format!(
        "{} of {} tasks completed, {} failed, {} unknown, {} not started: {}",
        counts.completed,
        ends.len(),
        counts.failed,
        counts.unknown,
        counts.not_started,
        ends.iter().find_map(failure_reason).unwrap_or_default(),
    );
    Failure::new(failure_kind(ends, counts, cancelled), detail)
}

/// Selects the error kind whose statement on what ran holds for all tasks
/// together.
fn failure_kind(ends: &[TaskEnd], counts: EndCounts, cancelled: bool) -> ErrorKind {
    if counts.not_started == ends.len() {
        let first = ends.iter().find_map(not_started_kind);
        return first.unwrap_or(ErrorKind::CancelledBeforeStart);
    }
    if counts.failed > 0 && !cancelled {
        return ErrorKind::BackendFailed;
    }
    if counts.completed + counts.failed > 0 && cancelled {
        return ErrorKind::CancelledAfterStart;
    }
    if counts.unknown > 0 { ErrorKind::OutcomeUnknown } else { ErrorKind::DeadlinePassed }
}

fn not_started_kind(end: &TaskEnd) -> Option<ErrorKind> {
    match end {
        TaskEnd::NotStarted { failure } if failure.ran() == Ran::No => Some(failure.kind),
        _ => None,
    }
}

fn failure_reason(end: &TaskEnd) -> Option<String> {
    match end {
        TaskEnd::Ran { worker, outcome: TaskOutcome::Failed { reason, .. } } => {
            Some(format!("{reason} (at {worker})"))
        }
        TaskEnd::Ran { outcome: TaskOutcome::Completed { .. }, .. } => None,
        TaskEnd::Ran { worker, outcome: TaskOutcome::Unknown { reason } } => {
            Some(format!("{reason} (at {worker})"))
        }
        TaskEnd::Unknown { reason } => Some(reason.to_string()),
        TaskEnd::NotStarted { failure } => Some(failure.detail.to_string()),
    }
}

/// Number of tasks that ran, and the ideal response time of the submission: the
/// run time of its longest task.
pub(super) fn ran_tasks(ends: &[TaskEnd]) -> (u64, Duration) {
    let mut tasks = 0;
    let mut longest = Duration::ZERO;
    for end in ends {
        if let TaskEnd::Ran { outcome, .. } = end {
            tasks += 1;
            longest = longest.max(run_time(outcome));
        }
    }
    (tasks, longest)
}

fn run_time(outcome: &TaskOutcome) -> Duration {
    match outcome {
        TaskOutcome::Completed { run_us, .. } | TaskOutcome::Failed { run_us, .. } => {
            Duration::from_micros(*run_us)
        }
        TaskOutcome::Unknown { .. } => Duration::ZERO,
    }
}

/// Formats the end of a task for `explain`.
pub(super) fn describe_end(end: &TaskEnd) -> String {
    match end {
        TaskEnd::Ran { worker, outcome: TaskOutcome::Completed { run_us, .. } } => {
            format!("completed at {worker} in {run_us} us")
        }
        other => format!("ended: {}", failure_reason(other).unwrap_or_default()),
    }
}

/// Formats an event of a task for `explain`.
pub(super) fn describe_event(event: &TaskEvent) -> String {
    match event {
        TaskEvent::Placed { worker, attempt } => format!("sent to {worker}, attempt {attempt}"),
        TaskEvent::Refused { worker, reason } => format!("not started at {worker}: {reason}"),
        TaskEvent::Unacknowledged { worker } => {
            format!("outcome unknown: contact with {worker} was lost")
        }
        TaskEvent::Retried { reason } => format!("to be retried: {reason}"),
    }
}
