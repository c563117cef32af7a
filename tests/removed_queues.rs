//! Jobs whose queue is taken out of the catalog, or gets another name, after they were
//! accepted. Guards against an accepted job that stands still, or is not known any more.

use std::sync::Arc;

use decisions::control::JobStore;
use model::{
    Command, EndKind, EndedRun, JobCall, JobId, JobPhase, JobReply, LogRecord, QueueCatalog,
    QueuedJob, TaskName, TaskRun,
};

use crate::schedule_model::{CallStatus, QUEUE, ScheduleModel, catalog, job};

/// Another name of the queue.
const NEW_NAME: &str = "lookups-2";
/// Runs of a task that may fail, by the catalog of these tests.
const MAX_ATTEMPTS: u32 = 2;

/// A stored job of two steps, the second after the first.
fn two_steps(id: usize) -> Arc<QueuedJob> {
    let mut job = QueuedJob::clone(&job(id, 2, false));
    let mut second = job.steps[0].clone();
    second.depends_on = vec![0];
    job.steps.push(second);
    Arc::new(job)
}

/// A catalog without the queue.
fn without_queue(version: u64) -> QueueCatalog {
    let mut catalog = QueueCatalog::clone(&catalog(version));
    catalog.queues.shift_remove(QUEUE);
    catalog
}

/// A catalog in which the queue has another name.
fn with_new_name(version: u64) -> QueueCatalog {
    let mut catalog = QueueCatalog::clone(&catalog(version));
    let rule = catalog.queues.shift_remove(QUEUE).expect("the queue is there");
    catalog.queues.insert(NEW_NAME.into(), rule);
    catalog
}

/// A model in which the first step of a job runs.
fn running_job() -> (ScheduleModel, Arc<QueuedJob>) {
    let mut model = ScheduleModel::new(1, 2);
    let stored = two_steps(1);
    model.submit(0, stored.clone());
    model.run_fault_free(2);
    assert_eq!(model.running(), 2);
    (model, stored)
}

#[test]
fn removed_queue_finishes() {
    let (mut model, stored) = running_job();
    model.change_catalog(without_queue(2));
    model.run_fault_free(40);
    assert_eq!(model.stored_phase(&stored), Some(JobPhase::Completed));
    assert!(model.starts.values().all(|starts| *starts == 1), "{:?}", model.starts);
    let refused = model.submit(0, two_steps(2));
    assert!(matches!(model.replies[&refused], CallStatus::Reply(JobReply::Refused { .. })));
}

#[test]
fn next_leader_finishes() {
    let (mut model, stored) = running_job();
    model.change_catalog(without_queue(2));
    model.change_catalog(without_queue(3));
    model.change_leader();
    model.run_fault_free(250);
    assert_eq!(model.stored_phase(&stored), Some(JobPhase::Completed));
}

// The same for a job that waits at an entry.
#[test]
fn entry_job_finishes() {
    let mut model = ScheduleModel::new(1, 1);
    model.submit(0, job(1, 4, false));
    model.run_fault_free(2);
    assert_eq!(model.running(), 4, "the backend server is full");
    let call = model.submit(1, job(2, 2, true));
    model.change_catalog(without_queue(2));
    model.run_fault_free(40);
    let completed = CallStatus::Reply(JobReply::Phase(JobPhase::Completed));
    assert_eq!(model.replies[&call], completed);
}

#[test]
fn renamed_queue_known() {
    let (mut model, stored) = running_job();
    model.change_catalog(with_new_name(2));
    let (queue, id) = (NEW_NAME.into(), stored.id.clone());
    let call = JobCall::Phase { queue, job: id };
    assert_eq!(model.ask(0, &call), JobReply::Phase(JobPhase::Running));
    model.run_fault_free(40);
    assert_eq!(model.ask(0, &call), JobReply::Phase(JobPhase::Completed));
    let other = JobCall::Phase { queue: "routes".into(), job: stored.id.clone() };
    assert_eq!(model.ask(0, &other), JobReply::UnknownJob);
}

fn apply(store: &mut JobStore, index: u64, command: Command) {
    store.apply(&LogRecord { index, term: 1, at_ms: index, command });
}

fn fail(id: &JobId, run: u64) -> Command {
    let task = TaskName { job: id.clone(), occurrence: 0, step: 0, index: 0 };
    Command::EndRuns { ends: vec![EndedRun { run: TaskRun { task, run }, kind: EndKind::Failed }] }
}

// Guards against a task that is started for ever, since its queue's maximum is gone.
#[test]
fn attempts_stay_limited() {
    let (mut store, stored) = (JobStore::default(), two_steps(1));
    let mut limited = QueueCatalog::clone(&catalog(1));
    limited.queues[QUEUE].max_attempts = MAX_ATTEMPTS;
    apply(&mut store, 1, Command::SetCatalog { catalog: Arc::new(limited) });
    apply(&mut store, 2, Command::AcceptJob { job: stored.clone() });
    apply(&mut store, 3, Command::SetCatalog { catalog: Arc::new(without_queue(2)) });
    apply(&mut store, 4, fail(&stored.id, 1));
    // A host that joins begins with a snapshot.
    let encoded = serde_json::to_string(&store).expect("a store can be encoded");
    let mut store: JobStore = serde_json::from_str(&encoded).expect("a store can be decoded");
    assert_eq!(store.job(&stored.id).and_then(|record| record.ended), None);
    apply(&mut store, 5, fail(&stored.id, 2));
    let ended = store.job(&stored.id).and_then(|record| record.ended);
    assert_eq!(ended, Some(JobPhase::Failed));
    // Its rule is dropped with the last job of the queue.
    apply(&mut store, 6, Command::ForgetJobs { before_ms: 100 });
    assert_eq!(store.state().jobs.len(), 0);
    let encoded = serde_json::to_string(&store).expect("a store can be encoded");
    assert!(!encoded.contains("retired"), "{encoded}");
}
