//! Owns the recorded part of queued jobs: which are accepted, which of their
//! tasks are done or failed, and how they ended.
//!
//! Invariants:
//! - an id stays the job that was first accepted under it;
//! - a job that ended never changes again;
//! - a task that is done stays done, whatever ends later.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use model::{
    Command, EndKind, EndedRun, JobId, JobPhase, JobRecord, LogRecord, NodeId, QueueCatalog,
    QueuedJob, ScheduleState, TaskName, Term,
};
use serde::{Deserialize, Serialize};

use super::catalog_store::CatalogStore;

/// What a record changed.
#[derive(Debug, Clone, PartialEq)]
pub enum JobChange {
    /// Nothing.
    None,
    /// A job is new.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// A job ended.
    Closed {
        /// The job.
        job: JobId,
        /// How.
        phase: JobPhase,
    },
    /// Runs ended; the jobs that ended by it are named.
    RunsEnded {
        /// The ends.
        ends: Vec<EndedRun>,
        /// Jobs that ended by it.
        closed: Vec<(JobId, JobPhase)>,
    },
    /// A catalog came into force.
    Catalog,
    /// An agent may be given work, or holds nothing any more.
    Registered,
}

/// Jobs, the agents that may hold their work, and the catalog.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobBook {
    jobs: IndexMap<JobId, JobRecord>,
    registered: IndexSet<NodeId>,
    catalog: CatalogStore,
}

impl From<ScheduleState> for JobBook {
    fn from(state: ScheduleState) -> JobBook {
        let mut catalog = CatalogStore::default();
        if let Some(current) = &state.catalog {
            catalog.set(current);
        }
        JobBook { jobs: state.jobs, registered: state.registered, catalog }
    }
}

impl JobBook {
    /// A copy for the scheduling duty.
    pub fn state(&self) -> ScheduleState {
        ScheduleState {
            jobs: self.jobs.clone(),
            registered: self.registered.clone(),
            catalog: self.catalog.current(),
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Option<Arc<QueueCatalog>> {
        self.catalog.current()
    }

    /// Agents that may hold work.
    pub fn registered(&self) -> &IndexSet<NodeId> {
        &self.registered
    }

    /// A job.
    pub fn job(&self, id: &JobId) -> Option<&JobRecord> {
        self.jobs.get(id)
    }

    /// All jobs.
    pub fn jobs(&self) -> &IndexMap<JobId, JobRecord> {
        &self.jobs
    }

    /// When the oldest job that ended did so, in milliseconds since 1970.
    pub fn oldest_ended_ms(&self) -> Option<u64> {
        let ended = self.jobs.values().filter(|job| job.ended.is_some());
        ended.map(|job| job.ended_ms).min()
    }

    /// Applies a record; commands about other things change nothing.
    pub fn apply(&mut self, record: &LogRecord) -> JobChange {
        match &record.command {
            Command::SetCatalog { catalog } => {
                if self.catalog.set(catalog) {
                    JobChange::Catalog
                } else {
                    JobChange::None
                }
            }
            Command::AcceptJob { job } => self.accept(job, record.at_ms, record.term),
            Command::CancelJob { job } => self.close(job, JobPhase::Cancelled, record.at_ms),
            Command::EndRuns { ends } => self.end_runs(ends, record.at_ms),
            Command::RegisterAgent { agent } => {
                self.change_registration(self.registered.contains(agent), |registered| {
                    registered.insert(agent.clone());
                })
            }
            Command::DeregisterAgent { agent } => {
                self.change_registration(!self.registered.contains(agent), |registered| {
                    registered.swap_remove(agent);
                })
            }
            Command::ForgetJobs { before_ms } => {
                self.jobs.retain(|_, job| job.ended.is_none() || job.ended_ms >= *before_ms);
                JobChange::None
            }
            _ => JobChange::None,
        }
    }

    /// Puts a catalog in force here, if it is newer.
    pub fn set_catalog(&mut self, catalog: &Arc<QueueCatalog>) {
        self.catalog.set(catalog);
    }

    /// Forgets a job.
    pub fn forget(&mut self, id: &JobId) {
        self.jobs.swap_remove(id);
    }

    fn change_registration(
        &mut self,
        known: bool,
        change: impl FnOnce(&mut IndexSet<NodeId>),
    ) -> JobChange {
        if known {
            return JobChange::None;
        }
        change(&mut self.registered);
        JobChange::Registered
    }

    /// Accepts a job; one that is known stays as it is.
    pub fn accept(&mut self, job: &Arc<QueuedJob>, at_ms: u64, term: Term) -> JobChange {
        if self.jobs.contains_key(&job.id) {
            return JobChange::None;
        }
        let record = JobRecord {
            queue: job.queue.clone(),
            accepted_ms: at_ms,
            accepted_term: term,
            ended: None,
            ended_ms: 0,
            job: Some(Arc::clone(job)),
            done: IndexSet::new(),
            failures: IndexMap::new(),
        };
        self.jobs.insert(job.id.clone(), record);
        JobChange::Accepted { job: job.id.clone() }
    }

    /// Ends a job that has not ended.
    pub fn close(&mut self, id: &JobId, phase: JobPhase, at_ms: u64) -> JobChange {
        let Some(record) = self.jobs.get_mut(id) else { return JobChange::None };
        if record.ended.is_some() {
            return JobChange::None;
        }
        record.ended = Some(phase);
        record.ended_ms = at_ms;
        record.job = None;
        record.done = IndexSet::new();
        record.failures = IndexMap::new();
        JobChange::Closed { job: id.clone(), phase }
    }

    /// Notes ends of runs.
    pub fn end_runs(&mut self, ends: &[EndedRun], at_ms: u64) -> JobChange {
        let mut closed = Vec::new();
        for end in ends {
            let Some(phase) = self.end_run(end) else { continue };
            let id = &end.run.task.job;
            if self.close(id, phase, at_ms) != JobChange::None {
                closed.push((id.clone(), phase));
            }
        }
        JobChange::RunsEnded { ends: ends.to_vec(), closed }
    }

    /// Notes one end; tells how the job ends when this is its last.
    fn end_run(&mut self, end: &EndedRun) -> Option<JobPhase> {
        let task = &end.run.task;
        let record = self.jobs.get_mut(&task.job)?;
        let job = record.job.clone()?;
        match end.kind {
            EndKind::Done => {
                record.done.insert((task.step, task.index));
                let all: u32 = job.steps.iter().map(|step| step.count).sum();
                (record.done.len() >= all as usize).then_some(JobPhase::Completed)
            }
            EndKind::Failed => {
                let runs = record.failures.entry(task.clone()).or_default();
                runs.insert(end.run.run);
                let failures = runs.len() as u32;
                let is_done = record.is_done(task);
                let most = self.most_attempts(&job)?;
                (failures >= most && !is_done).then_some(JobPhase::Failed)
            }
            EndKind::Stopped | EndKind::Lapsed => None,
        }
    }

    /// A queue that left the catalog keeps no limit for its last jobs.
    fn most_attempts(&self, job: &QueuedJob) -> Option<u32> {
        let catalog = self.catalog.current()?;
        catalog.queues.get(&job.queue).map(|queue| queue.most_attempts.max(1))
    }

    /// Whether every task of the steps that a step depends on is done.
    pub fn is_step_due(record: &JobRecord, job: &QueuedJob, step: model::StepIndex) -> bool {
        let Some(own) = job.steps.get(step as usize) else { return false };
        own.depends_on.iter().all(|earlier| {
            let tasks = job.tasks_of(*earlier);
            tasks.into_iter().all(|task: TaskName| record.is_done(&task))
        })
    }
}
