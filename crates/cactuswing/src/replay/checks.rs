//! Checks the outcomes of a replay against the system's invariants and the
//! trace's expectations.
//!
//! The invariants are checked in every trace: no task that may not be repeated
//! starts twice, no task of a job that is answered "not run" has started, and
//! each answer is complete and belongs to its request.

use std::time::{Duration, Instant};

use standin::{Expectation, StartRecord};

use super::outcome::{CallAnswer, CallOutcome, reports_not_run};

/// Workers that are expected to be idle at the end must get no start later than
/// this before the trace's last event.
const IDLE_CHECK_WINDOW: Duration = Duration::from_secs(1);

/// One message for each invariant or expectation that is violated.
pub(super) fn find_violations(
    calls: &[CallOutcome],
    starts: &[StartRecord],
    expect: &Expectation,
    last_event: Instant,
) -> Vec<String> {
    let mut violations = double_starts(starts);
    violations.extend(calls.iter().filter_map(|call| false_not_run(call, starts)));
    violations.extend(calls.iter().filter_map(wrong_answer));
    violations.extend(check_counts(calls, expect));
    violations.extend(check_submissions(calls, expect));
    violations.extend(late_starts(starts, expect, last_event));
    violations
}

/// Whether the task with this key may start several times. Entries generate a
/// submission id that begins with `~` for each request of an idempotent service.
fn may_repeat(key: &str) -> bool {
    key.contains("/~")
}

fn double_starts(starts: &[StartRecord]) -> Vec<String> {
    let mut counts: indexmap::IndexMap<&str, usize> = indexmap::IndexMap::new();
    for start in starts.iter().filter(|start| !may_repeat(&start.key)) {
        *counts.entry(&start.key).or_default() += 1;
    }
    let doubled = counts.iter().filter(|(_, count)| **count > 1);
    doubled.map(|(key, count)| format!("task {key} started {count} times")).collect()
}

/// Reports a call that was answered "not run" after a task of its submission
/// had started.
fn false_not_run(call: &CallOutcome, starts: &[StartRecord]) -> Option<String> {
    if call.job.is_empty() || !reports_not_run(call) {
        return None;
    }
    let prefix = format!("{}/", call.job);
    let earlier =
        |start: &&StartRecord| start.key.starts_with(&prefix) && start.at < call.answered_at;
    let start = starts.iter().find(earlier)?;
    Some(format!("{} was answered \"not run\" after {} had started", call.job, start.key))
}

/// Reports a call whose answer is malformed, or does not match its tasks.
fn wrong_answer(call: &CallOutcome) -> Option<String> {
    match &call.answer {
        CallAnswer::Whole(answers) if answers.len() != call.echoes.len() => Some(format!(
            "{} got {} answers for {} tasks",
            call.job,
            answers.len(),
            call.echoes.len()
        )),
        CallAnswer::Whole(answers) => {
            let mismatch = answers
                .iter()
                .zip(&call.echoes)
                .find(|(answer, echo)| !answer.text().contains(&format!("\"{echo}\"")));
            mismatch.map(|(answer, echo)| format!("{echo} got the answer {}", answer.text()))
        }
        CallAnswer::Strange(body) => Some(format!("{} got a malformed answer: {body}", call.job)),
        CallAnswer::Failed(_) | CallAnswer::None(_) => None,
    }
}

fn check_counts(calls: &[CallOutcome], expect: &Expectation) -> Vec<String> {
    let completed = calls.iter().filter(|call| matches!(call.answer, CallAnswer::Whole(_))).count();
    let unanswered = calls.iter().filter(|call| matches!(call.answer, CallAnswer::None(_))).count();
    let unknown = calls.iter().filter(|call| is_outcome_unknown(call)).count();
    let share = completed as f64 / calls.len().max(1) as f64;
    let mut violations = Vec::new();
    if let Some(min) = expect.min_completed_share.filter(|min| share < *min) {
        violations.push(format!("completed share is {share:.4}, expected at least {min}"));
    }
    if let Some(min) = expect.min_completed.filter(|min| completed < *min) {
        violations.push(format!("{completed} calls completed, expected at least {min}"));
    }
    if let Some(max) = expect.max_unknown.filter(|max| unknown > *max) {
        violations.push(format!("{unknown} calls with outcome unknown, expected at most {max}"));
    }
    if let Some(max) = expect.max_unanswered.filter(|max| unanswered > *max) {
        violations.push(format!("{unanswered} calls unanswered, expected at most {max}"));
    }
    violations
}

fn is_outcome_unknown(call: &CallOutcome) -> bool {
    matches!(&call.answer, CallAnswer::Failed(problem) if problem.ran == model::Ran::Unknown)
}

/// Checks that every call of a submission named in the expectations got the
/// outcome expected there.
fn check_submissions(calls: &[CallOutcome], expect: &Expectation) -> Vec<String> {
    let mut violations = Vec::new();
    for name in &expect.complete {
        let mut named = calls.iter().filter(|call| call.job == *name).peekable();
        if named.peek().is_none() {
            violations.push(format!("{name} was never submitted"));
        }
        for call in named.filter(|call| !matches!(call.answer, CallAnswer::Whole(_))) {
            violations.push(format!("{name} must complete, got {:?}", call.answer));
        }
    }
    for (name, kind) in &expect.failed {
        let mut named = calls.iter().filter(|call| call.job == *name).peekable();
        if named.peek().is_none() {
            violations.push(format!("{name} was never submitted"));
        }
        for call in named {
            let expected =
                matches!(&call.answer, CallAnswer::Failed(problem) if problem.kind == *kind);
            if !expected {
                violations.push(format!("{name} must fail with {kind}, got {:?}", call.answer));
            }
        }
    }
    violations
}

/// Reports starts on workers that must be idle at the end.
fn late_starts(starts: &[StartRecord], expect: &Expectation, last_event: Instant) -> Vec<String> {
    let Some(since) = last_event.checked_sub(IDLE_CHECK_WINDOW) else { return Vec::new() };
    let late = starts.iter().filter(|start| start.at > since);
    late.filter(|start| expect.idle_at_end.contains(&start.worker))
        .map(|start| format!("{} started at {} in the last second", start.key, start.worker))
        .collect()
}
