//! Weighted fair queueing between teams, ejection of failing workers, retry
//! budgets and learnt run times. Without them a team with many tasks starves the
//! others, a worker that fails every task keeps getting tasks, retries multiply an
//! overload, and wrong declared run times stay in use.

use std::time::{Duration, Instant};

use decisions::entry::{FairQueue, HealthChange, HealthTracker, QueuedTask, RetryBudget, RunTimes};
use model::{JobKey, TaskKey, WorkerId};

fn task(team: &str, number: u32) -> QueuedTask {
    let job = JobKey { team: team.into(), submission: format!("s{number}").into() };
    QueuedTask { key: TaskKey { job, task: 0 }, cost_us: 100.0 }
}

#[test]
fn weights_divide_work() {
    let mut queue = FairQueue::default();
    for number in 0..300 {
        queue.push_back(2, task("heavy", number));
        queue.push_back(1, task("light", number));
    }
    let first: Vec<QueuedTask> = (0..150).filter_map(|_| queue.pop()).collect();
    let heavy = first.iter().filter(|task| task.key.job.team == "heavy").count();
    assert!(
        (95..=105).contains(&heavy),
        "{heavy} of 150 tasks are of the team with twice the weight"
    );
}

#[test]
fn late_team_not_starved() {
    let mut queue = FairQueue::default();
    for number in 0..500 {
        queue.push_back(1, task("early", number));
    }
    for _ in 0..100 {
        queue.pop();
    }
    queue.push_back(1, task("late", 0));
    let next: Vec<QueuedTask> = (0..2).filter_map(|_| queue.pop()).collect();
    assert!(next.iter().any(|task| task.key.job.team == "late"));
}

#[test]
fn put_back_keeps_order() {
    let mut queue = FairQueue::default();
    for number in 0..5 {
        queue.push_back(1, task("a", number));
    }
    let popped: Vec<QueuedTask> = (0..3).filter_map(|_| queue.pop()).collect();
    for task in popped.iter().rev() {
        queue.put_back(task.clone());
    }
    let again: Vec<QueuedTask> = (0..3).filter_map(|_| queue.pop()).collect();
    assert_eq!(popped, again);
    assert_eq!(queue.len(), 2);
}

fn health_tracker(count: usize) -> (HealthTracker, Vec<WorkerId>) {
    let mut tracker = HealthTracker::default();
    let names: Vec<WorkerId> = (0..count).map(|n| format!("w{n}").into()).collect();
    names.iter().for_each(|name| tracker.add(name));
    (tracker, names)
}

#[test]
fn failing_worker_ejected() {
    let now = Instant::now();
    let (mut tracker, names) = health_tracker(6);
    for _ in 0..10 {
        names[1..].iter().for_each(|name| {
            tracker.on_result(now, name, false);
        });
    }
    let changes: Vec<HealthChange> =
        (0..10).map(|_| tracker.on_result(now, &names[0], true)).collect();
    assert!(changes.contains(&HealthChange::Ejected));
    assert!(!tracker.accepts_work(now, &names[0]));
    let later = now + Duration::from_secs(2);
    assert!(tracker.accepts_work(later, &names[0]), "one probe is due after the ejection time");
    assert!(tracker.on_task_sent(&names[0]));
    assert!(!tracker.accepts_work(later, &names[0]), "a probe admits a single task");
    assert_eq!(tracker.on_result(later, &names[0], false), HealthChange::Reinstated);
}

#[test]
fn common_failures_eject_none() {
    let now = Instant::now();
    let (mut tracker, names) = health_tracker(6);
    for _ in 0..20 {
        for name in &names {
            assert_eq!(tracker.on_result(now, name, true), HealthChange::Unchanged);
        }
    }
}

#[test]
fn budget_bounds_retries() {
    let mut budget = RetryBudget::new(0.1);
    let burst = (0..1_000).filter(|_| budget.try_take()).count();
    (0..1_000).for_each(|_| budget.on_first_attempt());
    let earned = (0..1_000).filter(|_| budget.try_take()).count();
    assert!(burst <= 20 && earned <= 20, "burst {burst}, earned {earned}");
}

#[test]
fn learnt_times_override_declared() {
    let mut times = RunTimes::default();
    let (service, worker) = ("order".into(), "w".into());
    times.declare(&service, Duration::from_millis(300));
    let declared = Some(Duration::from_millis(5));
    for _ in 0..200 {
        times.record_run(&service, &worker, declared, Duration::from_millis(200));
    }
    let learnt_ms = times.base_us(&service, declared) / 1e3;
    assert!((150.0..260.0).contains(&learnt_ms), "learnt {learnt_ms} ms from runs of 200 ms");
}
