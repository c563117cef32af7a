//! The number of waiting jobs, and the phase of one. Guards against jobs that count as begun
//! although each start of theirs was refused.

use std::time::Duration;

use model::{JobCall, JobPhase, JobReply};

use crate::schedule_model::{QUEUE, ScheduleModel, job};

const JOBS: usize = 6;

fn waiting(model: &mut ScheduleModel) -> JobReply {
    model.ask(0, &JobCall::Waiting { queue: QUEUE.into() })
}

#[test]
fn refused_jobs_wait() {
    let mut model = ScheduleModel::new(1, 1);
    model.set_shedding(0, true);
    for number in 1..=JOBS {
        model.submit(0, job(number, 1, false));
    }
    model.commit();
    // Between its pauses, the backend server is tried again.
    for _ in 0..170 {
        model.advance(Duration::from_millis(10));
        assert_eq!(waiting(&mut model), JobReply::Waiting(JOBS as u64));
        model.run_fault_free(1);
        assert_eq!(waiting(&mut model), JobReply::Waiting(JOBS as u64));
    }
    let call = JobCall::Phase { queue: QUEUE.into(), job: job(1, 1, false).id.clone() };
    assert_eq!(model.ask(0, &call), JobReply::Phase(JobPhase::Queued));
    model.set_shedding(0, false);
    model.run_fault_free(150);
    assert_eq!(waiting(&mut model), JobReply::Waiting(0));
    assert_eq!(model.ask(0, &call), JobReply::Phase(JobPhase::Completed));
}

#[test]
fn running_jobs_begun() {
    let mut model = ScheduleModel::new(1, 1);
    model.run_time = Duration::from_secs(3);
    for number in 1..=JOBS {
        model.submit(0, job(number, 2, false));
    }
    model.run_fault_free(30);
    // Two jobs fill the backend server.
    assert_eq!(waiting(&mut model), JobReply::Waiting(JOBS as u64 - 2));
    model.change_leader();
    model.run_fault_free(10);
    assert_eq!(waiting(&mut model), JobReply::Waiting(JOBS as u64 - 2));
}
