//! Lists of ends that have several pages. Guards against an agent that has just started and
//! takes the first page for all: the tasks of the other ends ran again although they were done
//! (review/14, TWICE).

use std::sync::Arc;
use std::time::Duration;

use model::{JobPhase, JobStep, QueuedJob, ResourceAmount};

use crate::schedule_model::{ScheduleModel, job};
use crate::server_model::MAX_LISTED_ENDS;

/// Run time of each task: long enough for all to be at work at a time.
const RUN_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
/// Tasks of one job.
const JOB_TASKS: usize = 256;
/// Rounds within which all jobs end.
const END_ROUNDS: usize = 400;

/// Stored jobs with this number of small tasks in all.
fn small_jobs(tasks: usize) -> Vec<Arc<QueuedJob>> {
    let size = ResourceAmount { cpu_milli: 1, memory_mb: 1, accelerators: 0 };
    let counts = (0..tasks).step_by(JOB_TASKS).map(|first| (tasks - first).min(JOB_TASKS));
    let jobs = counts.enumerate().map(|(id, count)| {
        let estimate_ms = RUN_TIME.as_millis() as u64;
        let step = JobStep { count: count as u32, size, estimate_ms, ..JobStep::default() };
        Arc::new(QueuedJob { steps: vec![step], ..(*job(id, 1, false)).clone() })
    });
    jobs.collect()
}

/// A backend server at which this number of runs has ended while its agent was down, and that
/// has listed none of them. There is another server, which refused all starts until then.
fn ended_unseen(tasks: usize) -> (ScheduleModel, Vec<Arc<QueuedJob>>) {
    let mut model = ScheduleModel::new(1, 2);
    model.run_time = RUN_TIME;
    model.lift_slots(0);
    model.set_shedding(1, true);
    let jobs = small_jobs(tasks);
    for job in &jobs {
        model.submit(0, job.clone());
    }
    for _ in 0..40 {
        model.run_fault_free(1);
        if model.running() == tasks {
            break;
        }
    }
    assert_eq!(model.running(), tasks, "all run at a time");
    let begun = model.now;
    while model.now < begun + RUN_TIME - Duration::from_millis(150) && model.unacked_ends() == 0 {
        model.run_fault_free(1);
    }
    model.restart_agent(0);
    while model.running() > 0 {
        model.advance(STEP);
    }
    model.restart_agent(0);
    model.set_shedding(1, false);
    (model, jobs)
}

fn run_to_end(model: &mut ScheduleModel, jobs: &[Arc<QueuedJob>]) {
    let is_over = |model: &ScheduleModel, job| model.stored_phase(job) == Some(JobPhase::Completed);
    for _ in 0..END_ROUNDS {
        model.run_fault_free(1);
        if jobs.iter().all(|job| is_over(model, job)) {
            break;
        }
    }
    for job in jobs {
        assert_eq!(model.stored_phase(job), Some(JobPhase::Completed));
    }
}

// The sizes are those around the limit of a page, and several pages.
#[test]
fn listed_ends_stay() {
    for tasks in [1, MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS, MAX_LISTED_ENDS + 1, 512] {
        let (mut model, jobs) = ended_unseen(tasks);
        assert_eq!(model.unacked_ends(), tasks);
        run_to_end(&mut model, &jobs);
        let again = model.starts.values().filter(|starts| **starts > 1).count();
        assert_eq!(again, 0, "{again} of {tasks} tasks ran again");
    }
}

// Restarts at each point on the way. The lease may expire meanwhile, so tasks may run again,
// but none that has an end that counts: the model checks that.
#[test]
fn restarts_between_pages() {
    for rounds in 0..8 {
        let (mut model, jobs) = ended_unseen(MAX_LISTED_ENDS + 12);
        for _ in 0..2 {
            model.run_fault_free(rounds);
            model.restart_agent(0);
        }
        run_to_end(&mut model, &jobs);
    }
}

// A new leader holds tasks back until it knows all runs, not a part of them.
#[test]
fn leader_awaits_all_pages() {
    for rounds in 0..8 {
        let (mut model, jobs) = ended_unseen(MAX_LISTED_ENDS + 12);
        model.run_fault_free(rounds);
        model.change_leader();
        run_to_end(&mut model, &jobs);
    }
}
