//! Checks what a replay saw against the promises and the stated outcomes.
//!
//! The promises hold in every trace: no task starts twice, "not run" is true,
//! answers are whole and belong to their question.

use std::time::{Duration, Instant};

use standin::{Expectation, StartRecord};

use super::outcome::{CallAnswer, CallOutcome, says_not_run};

/// The part of a trace's end in which idle workers must get no start.
const END_STRETCH: Duration = Duration::from_secs(1);

/// Everything that did not hold.
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
    violations.extend(check_named(calls, expect));
    violations.extend(busy_at_end(starts, expect, last_event));
    violations
}

/// Requests that may be repeated have ids that begin with `~`.
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

/// A call that was told "not run", although a task of its submission had
/// started by then.
fn false_not_run(call: &CallOutcome, starts: &[StartRecord]) -> Option<String> {
    if call.job.is_empty() || !says_not_run(call) {
        return None;
    }
    let prefix = format!("{}/", call.job);
    let earlier =
        |start: &&StartRecord| start.key.starts_with(&prefix) && start.at < call.answered_at;
    let start = starts.iter().find(earlier)?;
    Some(format!("{} was told \"not run\", but {} had started", call.job, start.key))
}

fn wrong_answer(call: &CallOutcome) -> Option<String> {
    match &call.answer {
        CallAnswer::Whole(answers) if answers.len() != call.echoes.len() => Some(format!(
            "{} got {} answers for {} tasks",
            call.job,
            answers.len(),
            call.echoes.len()
        )),
        CallAnswer::Whole(answers) => {
            let stranger = answers
                .iter()
                .zip(&call.echoes)
                .find(|(answer, echo)| !answer.text().contains(&format!("\"{echo}\"")));
            stranger.map(|(answer, echo)| format!("{echo} got the answer {}", answer.text()))
        }
        CallAnswer::Strange(body) => Some(format!("{} got a strange answer: {body}", call.job)),
        CallAnswer::Failed(_) | CallAnswer::None(_) => None,
    }
}

fn check_counts(calls: &[CallOutcome], expect: &Expectation) -> Vec<String> {
    let completed = calls.iter().filter(|call| matches!(call.answer, CallAnswer::Whole(_))).count();
    let unanswered = calls.iter().filter(|call| matches!(call.answer, CallAnswer::None(_))).count();
    let unknown = calls.iter().filter(|call| says_unknown(call)).count();
    let share = completed as f64 / calls.len().max(1) as f64;
    let mut violations = Vec::new();
    if let Some(least) = expect.least_completed_share.filter(|least| share < *least) {
        violations.push(format!("share completed {share:.4}, at least {least} stated"));
    }
    if let Some(least) = expect.least_completed.filter(|least| completed < *least) {
        violations.push(format!("{completed} completed, at least {least} stated"));
    }
    if let Some(most) = expect.most_unknown.filter(|most| unknown > *most) {
        violations.push(format!("{unknown} unknown, at most {most} stated"));
    }
    if let Some(most) = expect.most_unanswered.filter(|most| unanswered > *most) {
        violations.push(format!("{unanswered} unanswered, at most {most} stated"));
    }
    violations
}

fn says_unknown(call: &CallOutcome) -> bool {
    matches!(&call.answer, CallAnswer::Failed(problem) if problem.ran == model::Ran::Unknown)
}

/// Every call of a named submission must get the stated outcome.
fn check_named(calls: &[CallOutcome], expect: &Expectation) -> Vec<String> {
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
            let right =
                matches!(&call.answer, CallAnswer::Failed(problem) if problem.kind == *kind);
            if !right {
                violations.push(format!("{name} must fail with {kind}, got {:?}", call.answer));
            }
        }
    }
    violations
}

fn busy_at_end(starts: &[StartRecord], expect: &Expectation, last_event: Instant) -> Vec<String> {
    let Some(since) = last_event.checked_sub(END_STRETCH) else { return Vec::new() };
    let late = starts.iter().filter(|start| start.at > since);
    late.filter(|start| expect.idle_at_end.contains(&start.worker))
        .map(|start| format!("{} started at {} in the last second", start.key, start.worker))
        .collect()
}
