//! A burst above capacity: who is refused, and when.

use std::time::Duration;

use model::{JobReply, RefusalCause};

use crate::schedule_model::{ScheduleModel, Told, job};

/// Jobs that one backend server of four cores runs at a time.
const AT_A_TIME: usize = 4;

fn refused(told: &Told) -> Option<(RefusalCause, u64)> {
    match told {
        Told::Reply(JobReply::Refused { cause, retry_after_ms }) => Some((*cause, *retry_after_ms)),
        _ => None,
    }
}

#[test]
fn free_room_refuses_nobody() {
    let mut model = ScheduleModel::new(1, 1);
    for number in 1..=AT_A_TIME {
        let call = model.hand_in(1, job(number, 1, true));
        assert_eq!(model.told[&call], Told::Nothing);
    }
}

#[test]
fn hopeless_refused_at_once() {
    let mut model = ScheduleModel::new(1, 1);
    let calls: Vec<u64> = (1..=100).map(|number| model.hand_in(1, job(number, 1, true))).collect();
    let first = calls.iter().position(|call| refused(&model.told[call]).is_some());
    let first = first.expect("a hundred jobs are too many");
    assert!(first >= AT_A_TIME, "{first} were let in");
    let (cause, retry_after_ms) = refused(&model.told[&calls[first]]).expect("it was refused");
    assert_eq!(cause, RefusalCause::QueueFull);
    assert!(retry_after_ms > 0, "callers are told when room will be free");
}

#[test]
fn refused_never_starts() {
    let mut model = ScheduleModel::new(1, 1);
    let calls: Vec<u64> = (1..=60).map(|number| model.hand_in(1, job(number, 1, true))).collect();
    model.calm(120);
    for (number, call) in calls.iter().enumerate() {
        let id = job(number + 1, 1, true).id.clone();
        let started = model.starts.keys().any(|task| task.job == id);
        assert!(!(started && refused(&model.told[call]).is_some()), "{id} ran and was refused");
        assert_ne!(model.told[call], Told::Nothing, "{id} got no answer");
    }
}

#[test]
fn waiting_job_is_given_up() {
    let mut model = ScheduleModel::new(1, 0);
    let call = model.hand_in(1, job(1, 1, true));
    model.advance(Duration::from_millis(1_500));
    let (cause, _) = refused(&model.told[&call]).expect("nothing of it ran");
    assert_eq!(cause, RefusalCause::TimeOver);
}

#[test]
fn left_caller_frees_room() {
    let mut model = ScheduleModel::new(1, 1);
    let calls: Vec<u64> = (1..=5).map(|number| model.hand_in(1, job(number, 1, true))).collect();
    model.calm(1);
    assert_eq!(model.running(), AT_A_TIME);
    model.abandon(1, calls[0]);
    model.abandon(1, calls[4]);
    model.calm(60);
    let ran = model.starts.len();
    assert_eq!(ran, AT_A_TIME, "what waited for a caller that left never starts");
    assert_eq!(model.running(), 0);
}
