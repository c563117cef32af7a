//! Builds the one answer of a submission from the ends of its tasks.
//!
//! Invariants:
//! - an answer is complete or failed, never partial;
//! - a failure says "not run" only when every task surely did not start.

use std::time::Duration;

use model::{ErrorKind, Failure, JobAnswer, Payload, Ran, TaskEnd, TaskNote, TaskOutcome};

/// What the ends of the tasks amount to.
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

/// The answer to a submission whose tasks ended like this.
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
        ends.iter().find_map(trouble).unwrap_or_default(),
    );
    Failure::new(failure_kind(ends, counts, cancelled), detail)
}

/// The kind whose row in the table is true of all tasks together.
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

fn trouble(end: &TaskEnd) -> Option<String> {
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

/// Tasks that ran, and the ideal time of a submission in which they ran: never
/// less than its longest task.
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

/// A task's end in words.
pub(super) fn describe_end(end: &TaskEnd) -> String {
    match end {
        TaskEnd::Ran { worker, outcome: TaskOutcome::Completed { run_us, .. } } => {
            format!("completed at {worker} in {run_us} us")
        }
        other => format!("ended: {}", trouble(other).unwrap_or_default()),
    }
}

/// A step on a task's way in words.
pub(super) fn describe_note(note: &TaskNote) -> String {
    match note {
        TaskNote::Placed { worker, attempt } => format!("sent to {worker}, attempt {attempt}"),
        TaskNote::Refused { worker, reason } => format!("not started at {worker}: {reason}"),
        TaskNote::InDoubt { worker } => format!("in doubt: contact with {worker} was lost"),
        TaskNote::Retried { reason } => format!("will be tried again: {reason}"),
    }
}
