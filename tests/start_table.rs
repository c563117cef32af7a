//! The start table: a task starts at most once, and an order that was reported as
//! not started never starts later. Orders and recalls reach an agent late, twice and
//! out of order; after such a report another agent may start the task.

use std::time::{Duration, Instant};

use decisions::agent::{StartLimits, StartStep, StartTable};
use model::{
    AgentAnswer, Announcement, JobKey, NotStartedReason, OwnerRef, Payload, RecallOrder,
    StartOrder, TaskKey, TaskQuery, TaskStatus, attempt_id,
};

/// A table with a lease of 60 s, and with a backend server unless `slots` is 0.
fn table(now: Instant, slots: u32) -> StartTable {
    let limits = StartLimits {
        queue_limit: 4,
        retention: Duration::from_secs(600),
        announce_ttl: Duration::from_secs(3),
    };
    let mut table = StartTable::new(1, limits);
    table.on_lease(Some(now + Duration::from_secs(60)));
    if slots > 0 {
        let address = ([127, 0, 0, 1], 9).into();
        let announcement =
            Announcement { service: "order".into(), address, slots, connections: slots };
        table.on_announced(now, &announcement);
    }
    table
}

fn key() -> TaskKey {
    TaskKey { job: JobKey { team: "north".into(), submission: "s".into() }, task: 0 }
}

fn order(attempt_number: u32) -> Box<StartOrder> {
    Box::new(StartOrder {
        key: key(),
        attempt: attempt_id(1, attempt_number),
        owner: OwnerRef { entry: "e".into(), incarnation: 1 },
        service: "order".into(),
        idempotent: false,
        remaining_ms: 1_000,
        payload: Payload::null(),
    })
}

fn count_starts(steps: &[StartStep]) -> usize {
    steps.iter().filter(|step| matches!(step, StartStep::Run { .. })).count()
}

fn find_refusal(steps: &[StartStep]) -> Option<NotStartedReason> {
    steps.iter().find_map(|step| match step {
        StartStep::Answer(reply) => match &reply.answer {
            AgentAnswer::Report(report) => match report.status {
                TaskStatus::NotStarted { reason } => Some(reason),
                _ => None,
            },
            _ => None,
        },
        _ => None,
    })
}

#[test]
fn recalled_order_barred() {
    let now = Instant::now();
    let mut table = table(now, 1);
    // A recall bars its attempt and all earlier ones.
    let query = TaskQuery { key: key(), attempt: attempt_id(1, 2) };
    let recall = RecallOrder { queries: vec![query], stop_running: false };
    table.on_recall(now, 1, &recall);
    for attempt_number in [1, 2] {
        let steps = table.on_order(now, 2, order(attempt_number));
        assert_eq!(
            (count_starts(&steps), find_refusal(&steps)),
            (0, Some(NotStartedReason::Recalled))
        );
    }
    assert_eq!(count_starts(&table.on_order(now, 3, order(3))), 1, "a later attempt may start");
    assert_eq!(count_starts(&table.on_order(now, 4, order(4))), 0, "only one attempt may start");
}

#[test]
fn refusal_is_final() {
    let now = Instant::now();
    let mut table = table(now, 0);
    let steps = table.on_order(now, 1, order(1));
    assert_eq!(find_refusal(&steps), Some(NotStartedReason::NoInstance));
    let address = ([127, 0, 0, 1], 9).into();
    let announcement = Announcement { service: "order".into(), address, slots: 1, connections: 1 };
    table.on_announced(now, &announcement);
    assert_eq!(
        count_starts(&table.on_order(now, 2, order(1))),
        0,
        "a duplicate of the refused order must not start"
    );
    assert_eq!(count_starts(&table.on_order(now, 3, order(2))), 1);
}

#[test]
fn expired_lease_refuses() {
    let now = Instant::now();
    let mut table = table(now, 1);
    let later = now + Duration::from_secs(61);
    // The backend server is announced again, so that only the lease is missing.
    let address = ([127, 0, 0, 1], 9).into();
    let announcement = Announcement { service: "order".into(), address, slots: 1, connections: 1 };
    table.on_announced(later, &announcement);
    let steps = table.on_order(later, 1, order(1));
    assert_eq!(find_refusal(&steps), Some(NotStartedReason::NoLease));
}
