//! Waiting steps that can't run on any backend server, before others that can. Guards
//! against stored jobs that never begin, with idle backend servers, since a bounded
//! placement round gets no further than the steps before them.

use std::sync::Arc;
use std::time::Duration;

use model::{Command, JobPhase, LabelId, QueueCatalog, QueuedJob};

use crate::schedule_model::{ScheduleModel, catalog, job};

const AGENTS: usize = 3;
/// More jobs than a placement round searches agents for.
const BLOCKED_JOBS: usize = 60;

/// A stored job with a change to its only step.
fn changed_job(id: usize, change: impl Fn(&mut model::JobStep)) -> Arc<QueuedJob> {
    let mut changed = QueuedJob::clone(&job(id, 1, false));
    change(&mut changed.steps[0]);
    Arc::new(changed)
}

/// A model whose jobs have a minute, so that waiting ones keep their place before later
/// ones.
fn patient_model() -> ScheduleModel {
    let mut model = ScheduleModel::new(1, AGENTS);
    let mut patient = QueueCatalog::clone(&catalog(2));
    patient.queues.values_mut().for_each(|queue| queue.base_objective_ms = 60_000);
    model.commit_command(Command::SetCatalog { catalog: Arc::new(patient) });
    model
}

/// Submits the blocked jobs, and one after them that can run; checks that it completes.
fn check_not_hidden(blocked_job: impl Fn(usize) -> Arc<QueuedJob>) {
    let mut model = patient_model();
    let blocked: Vec<_> = (1..=BLOCKED_JOBS).map(blocked_job).collect();
    for job in &blocked {
        model.commit_command(Command::AcceptJob { job: job.clone() });
    }
    let ordinary = job(BLOCKED_JOBS + 1, 1, false);
    model.submit(0, ordinary.clone());
    model.run_fault_free(30);
    assert_eq!(model.stored_phase(&ordinary), Some(JobPhase::Completed));
    assert!(blocked.iter().all(|job| model.stored_phase(job).is_none()), "these can't run");
}

#[test]
fn missing_label_passed() {
    check_not_hidden(|id| changed_job(id, |step| step.required_label = Some("none".into())));
}

#[test]
fn many_labels_passed() {
    let label = |id: usize| Some(LabelId::from(format!("none-{id}")));
    check_not_hidden(|id| changed_job(id, |step| step.required_label = label(id)));
}

#[test]
fn large_demand_passed() {
    check_not_hidden(|id| {
        changed_job(id, |step| {
            step.size.cpu_milli = 100_000;
        })
    });
}

#[test]
fn unknown_queue_passed() {
    check_not_hidden(|id| {
        let mut changed = QueuedJob::clone(&job(id, 1, false));
        changed.queue = "dropped".into();
        Arc::new(changed)
    });
}

/// Steps that run one task on each backend server, with a task left over.
#[test]
fn spread_steps_passed() {
    let mut model = patient_model();
    let spread = |id: usize| {
        changed_job(id, |step| {
            step.count = AGENTS as u32 + 1;
            step.max_per_server = 1;
            step.size.cpu_milli = 1;
            step.estimate_ms = 1;
        })
    };
    for id in 1..=BLOCKED_JOBS {
        model.submit(0, spread(id));
    }
    model.commit();
    let ordinary = job(BLOCKED_JOBS + 1, 1, false);
    model.submit(0, ordinary.clone());
    model.commit();
    for _ in 0..20 {
        model.advance(Duration::from_millis(60));
    }
    let trace = model.event_trace(&ordinary.id);
    assert!(trace.contains("tasks_placed"), "{trace}");
}
