//! Replicated state of queued jobs: the accepted jobs, the outcome of their tasks,
//! and how each job ended.
//!
//! Invariants:
//! - an id refers to the first job accepted under it, until that job is removed;
//! - a job that ended never changes again;
//! - a task that is done stays done, even if another run of it fails later;
//! - the last rule of a queue is known for as long as there are jobs of it: an accepted job goes
//!   on when its queue is taken out of the catalog;
//! - a failure domain stays evacuated until that is revoked, whether or not it has servers.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use model::{
    Command, DomainId, EndKind, EndedRun, EvacuationList, JobId, JobPhase, JobRecord, LogIndex,
    LogRecord, NodeId, QueueCatalog, QueueId, QueueRule, QueuedJob, ScheduleState, Term,
};
use serde::{Deserialize, Serialize};

use super::catalog_store::CatalogStore;

/// Effect of a log record on the jobs.
#[derive(Debug, Clone, PartialEq)]
pub enum JobChange {
    /// Nothing changed.
    None,
    /// A new job was accepted.
    Accepted {
        /// Id of the job.
        job: JobId,
    },
    /// A job ended.
    Closed {
        /// Id of the job.
        job: JobId,
        /// Its final phase.
        phase: JobPhase,
    },
    /// Runs of tasks ended.
    RunsEnded {
        /// The ended runs, in the order of the record.
        ends: Vec<EndedRun>,
        /// Jobs that ended as a result, with their final phases.
        closed: Vec<(JobId, JobPhase)>,
    },
    /// A catalog came into force.
    Catalog,
    /// A failure domain is evacuated, or not any more.
    Evacuation,
    /// An agent was registered to receive work, or deregistered because it holds
    /// none.
    Registered,
}

/// Jobs, the agents that may hold work of them, the catalog of queues, and the failure domains
/// that are evacuated.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobStore {
    jobs: IndexMap<JobId, JobRecord>,
    registered: IndexSet<NodeId>,
    catalog: CatalogStore,
    /// Rules of queues that are not in the catalog any more, and have jobs.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    retired: IndexMap<QueueId, QueueRule>,
    /// Failure domains on whose backend servers nothing more is started.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    evacuated: IndexSet<DomainId>,
    /// Log position of the record that changed `evacuated` last; 0 before the first.
    #[serde(default, skip_serializing_if = "is_zero")]
    evacuation_version: LogIndex,
}

fn is_zero(version: &LogIndex) -> bool {
    *version == 0
}

impl From<ScheduleState> for JobStore {
    fn from(state: ScheduleState) -> JobStore {
        let mut catalog = CatalogStore::default();
        if let Some(current) = &state.catalog {
            catalog.set(current);
        }
        let ScheduleState { jobs, registered, retired, evacuated, evacuation_version, .. } = state;
        JobStore { jobs, registered, catalog, retired, evacuated, evacuation_version }
    }
}

impl JobStore {
    /// Returns a copy of the state for the scheduling duty.
    pub fn state(&self) -> ScheduleState {
        ScheduleState {
            jobs: self.jobs.clone(),
            registered: self.registered.clone(),
            catalog: self.catalog.current(),
            retired: self.retired.clone(),
            evacuated: self.evacuated.clone(),
            evacuation_version: self.evacuation_version,
        }
    }

    /// Rule of a queue: the one in force, or the last one of a queue that was removed and still
    /// has jobs.
    pub fn rule(&self, queue: &QueueId) -> Option<&QueueRule> {
        self.catalog.rule(queue).or_else(|| self.retired.get(queue))
    }

    /// Whether two names are of one queue: a queue may get another name at the place where
    /// callers find it.
    pub fn is_same_queue(&self, known: &QueueId, asked: &QueueId) -> bool {
        let rules = self.rule(known).zip(self.rule(asked));
        let is_same_place = |(known, asked): (&QueueRule, &QueueRule)| {
            let is_same_host = known.host.eq_ignore_ascii_case(&asked.host);
            is_same_host && known.path_prefix == asked.path_prefix
        };
        known == asked || rules.is_some_and(is_same_place)
    }

    /// The catalog in force, if any.
    pub fn catalog(&self) -> Option<Arc<QueueCatalog>> {
        self.catalog.current()
    }

    /// Agents that may hold work of jobs.
    pub fn registered_agents(&self) -> &IndexSet<NodeId> {
        &self.registered
    }

    /// Failure domains on whose backend servers nothing more is started.
    pub fn evacuated(&self) -> &IndexSet<DomainId> {
        &self.evacuated
    }

    /// Log position of the record that changed these domains last; 0 before the first.
    pub fn evacuation_version(&self) -> LogIndex {
        self.evacuation_version
    }

    /// Replaces the evacuated domains by a list that control sent.
    pub fn replace_evacuated(&mut self, list: &EvacuationList) {
        self.evacuated = list.domains.iter().cloned().collect();
        self.evacuation_version = list.version;
    }

    /// Looks up a job, ended or not.
    pub fn job(&self, id: &JobId) -> Option<&JobRecord> {
        self.jobs.get(id)
    }

    /// All jobs, including those that ended and have not been removed.
    pub fn jobs(&self) -> &IndexMap<JobId, JobRecord> {
        &self.jobs
    }

    /// Earliest end time of the ended jobs, in milliseconds since 1970.
    pub fn oldest_ended_ms(&self) -> Option<u64> {
        let ended = self.jobs.values().filter(|job| job.ended.is_some());
        ended.map(|job| job.ended_ms).min()
    }

    /// Applies a log record; commands that do not concern jobs are ignored.
    pub fn apply(&mut self, record: &LogRecord) -> JobChange {
        match &record.command {
            Command::SetCatalog { catalog } => {
                if self.replace_catalog(catalog) {
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
                self.drop_unused_rules();
                JobChange::None
            }
            Command::SetEvacuation { domain, is_evacuated } => {
                self.set_evacuation(record.index, domain, *is_evacuated)
            }
            _ => JobChange::None,
        }
    }

    fn set_evacuation(
        &mut self,
        index: LogIndex,
        domain: &DomainId,
        is_evacuated: bool,
    ) -> JobChange {
        let changed = match is_evacuated {
            true => self.evacuated.insert(domain.clone()),
            false => self.evacuated.shift_remove(domain),
        };
        if !changed {
            return JobChange::None;
        }
        self.evacuation_version = index;
        JobChange::Evacuation
    }

    /// Puts a catalog in force if its version is higher than the current one.
    pub fn set_catalog(&mut self, catalog: &Arc<QueueCatalog>) {
        self.replace_catalog(catalog);
    }

    /// Puts a catalog in force if it is newer, and keeps the rules of the queues that it lacks
    /// and that have jobs. Returns whether it did.
    fn replace_catalog(&mut self, catalog: &Arc<QueueCatalog>) -> bool {
        let earlier = self.catalog.current();
        if !self.catalog.set(catalog) {
            return false;
        }
        let earlier = earlier.iter().flat_map(|earlier| &earlier.queues);
        let removed = earlier.filter(|(queue, _)| !catalog.queues.contains_key(*queue));
        self.retired.extend(removed.map(|(queue, rule)| (queue.clone(), rule.clone())));
        self.drop_unused_rules();
        true
    }

    /// Drops the rules of removed queues that are in the catalog again, or have no jobs.
    fn drop_unused_rules(&mut self) {
        if self.retired.is_empty() {
            return;
        }
        let used: IndexSet<&QueueId> = self.jobs.values().map(|job| &job.queue).collect();
        let (catalog, retired) = (&self.catalog, &mut self.retired);
        retired.retain(|queue, _| used.contains(queue) && catalog.rule(queue).is_none());
    }

    /// Removes a job and its outcome.
    pub fn remove(&mut self, id: &JobId) {
        self.jobs.swap_remove(id);
        self.drop_unused_rules();
    }

    fn change_registration(
        &mut self,
        unchanged: bool,
        change: impl FnOnce(&mut IndexSet<NodeId>),
    ) -> JobChange {
        if unchanged {
            return JobChange::None;
        }
        change(&mut self.registered);
        JobChange::Registered
    }

    /// Accepts a job. Does nothing if its id is in use. `at_ms` is in milliseconds
    /// since 1970.
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

    /// Ends a job, and drops its definition and task outcomes. Does nothing if it has
    /// already ended.
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

    /// Records ended runs, and ends the jobs that are thereby completed or failed.
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

    /// Records an ended run, unless it is of a task that the job does not have. Returns
    /// the final phase if this run ends the job: all tasks done, or the maximum number
    /// of attempts at a task failed.
    fn end_run(&mut self, end: &EndedRun) -> Option<JobPhase> {
        let task = &end.run.task;
        let record = self.jobs.get_mut(&task.job)?;
        let job = record.job.clone()?;
        if !job.has_task(task) {
            return None;
        }
        match end.kind {
            EndKind::Done => {
                record.done.insert((task.step, task.index));
                (record.done.len() as u64 >= job.task_count()).then_some(JobPhase::Completed)
            }
            EndKind::Failed => {
                let runs = record.failures.entry(task.clone()).or_default();
                runs.insert(end.run.run);
                let failures = runs.len() as u32;
                let is_done = record.is_done(task);
                let max_attempts = self.rule(&job.queue)?.max_attempts.max(1);
                (failures >= max_attempts && !is_done).then_some(JobPhase::Failed)
            }
            EndKind::Stopped | EndKind::Lapsed => None,
        }
    }

    /// Whether all tasks of all steps that `step` depends on are done. Looks at the last task of
    /// a step first, which is usually placed last: this is asked at the end of each task.
    pub fn is_step_ready(record: &JobRecord, job: &QueuedJob, step: model::StepIndex) -> bool {
        let Some(own) = job.steps.get(step as usize) else { return false };
        own.depends_on.iter().all(|earlier| {
            let count = job.steps.get(*earlier as usize).map_or(0, |step| step.count);
            (0..count).rev().all(|index| record.done.contains(&(*earlier, index)))
        })
    }
}
