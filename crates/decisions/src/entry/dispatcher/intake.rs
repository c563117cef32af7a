//! Admission of submissions, load shedding, and the release of claimed
//! submissions into the fair queue.

use std::sync::Arc;
use std::time::Instant;

use model::{
    AdmitRequest, ConfigInForce, ErrorKind, Failure, JobKey, ReleaseOrder, ServiceId, Takeover,
    TaskKey, TeamId,
};

use super::super::admission::{AdmissionCheck, ServiceLoad, check_admission};
use super::super::fair_queue::{FairQueue, QueuedTask};
use super::super::task_table::{Collection, JobRecord, TaskPhase, TaskRecord};
use super::{DispatchStep, Dispatcher};

impl Dispatcher {
    /// Checks a submission, sheds other tasks for it if needed, and adds it to the
    /// table. Its tasks are queued at once if `release` is given.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        request: AdmitRequest,
        release: Option<ReleaseOrder>,
    ) -> Vec<DispatchStep> {
        let key = request.key.clone();
        let Some(config) = self.config.clone() else {
            let failure =
                Failure::new(ErrorKind::NotReady, "no configuration is in force here yet");
            return vec![DispatchStep::Refused { key, failure }];
        };
        let load = self.service_load(&request);
        let limit = self.limits.queue_limit;
        let mut steps = match check_admission(now, &config.text, &request, &load, limit) {
            AdmissionCheck::Refuse(failure) => return vec![DispatchStep::Refused { key, failure }],
            AdmissionCheck::Admit => Vec::new(),
            AdmissionCheck::AdmitIfShed => match self.shed_for(&config, &request) {
                Some(steps) => steps,
                None => return vec![overloaded(key)],
            },
        };
        self.insert(request);
        match release {
            Some(order) => steps.extend(self.release(now, &key, order)),
            None => steps.push(DispatchStep::Admitted { key }),
        }
        steps
    }

    fn service_load(&self, request: &AdmitRequest) -> ServiceLoad {
        let costs =
            request.tasks.iter().map(|task| self.times.base_us(&request.service, task.declared));
        let costs: Vec<f64> = costs.collect();
        let team_tasks = self.team_tasks.get(&request.key.team).copied().unwrap_or(0);
        ServiceLoad {
            slots: self.workers.total_slots(&request.service),
            waiting: self.waiting(),
            waiting_us: self.work_ahead_us(&request.service),
            longest_us: costs.iter().copied().fold(0.0, f64::max),
            total_us: costs.iter().sum(),
            sizes: self.workers.sizes(&request.service),
            served: self.workers.served(),
            team_tasks,
        }
    }

    /// Expected run time of the work ahead of a new task, in microseconds: the
    /// queued tasks and half of each sent one, assuming the same at every other
    /// entry.
    fn work_ahead_us(&self, service: &ServiceId) -> f64 {
        let queued_us = self.queues.get(service).map_or(0.0, FairQueue::cost_us);
        let sent = f64::from(self.workers.own_tasks(service));
        let sent_us = sent * self.times.base_us(service, None) / 2.0;
        (queued_us + sent_us) * f64::from(self.workers.entries())
    }

    fn insert(&mut self, request: AdmitRequest) {
        let records = request.tasks.into_iter().map(|task| TaskRecord {
            task,
            phase: TaskPhase::Unreleased,
            attempt_number: 0,
            retries: 0,
            may_have_run: false,
            sent_at: None,
        });
        let tasks: Vec<TaskRecord> = records.collect();
        let open_tasks = tasks.len();
        self.unreleased += open_tasks;
        *self.team_tasks.entry(request.key.team.clone()).or_default() += open_tasks;
        self.deadlines.insert((request.deadline, request.key.clone()));
        let job = JobRecord {
            service: request.service,
            deadline: request.deadline,
            idempotent: request.idempotent,
            withdrawn: false,
            release: None,
            collection: None,
            tasks,
            open_tasks,
        };
        self.tasks.jobs.insert(request.key, job);
    }

    /// Sheds the newest waiting submissions of the team with the most queued
    /// work for its weight until the request fits. Returns `None` if the
    /// requesting team has the most itself or nothing can be shed.
    fn shed_for(
        &mut self,
        config: &ConfigInForce,
        request: &AdmitRequest,
    ) -> Option<Vec<DispatchStep>> {
        let mut steps = Vec::new();
        let team = &request.key.team;
        let weight = config.text.teams.get(team).map_or(1, |team| team.weight);
        while self.waiting() + request.tasks.len() > self.limits.queue_limit {
            let queue = self.queues.get(&request.service)?;
            let (heaviest, load) = queue.most_loaded_team()?;
            if heaviest == *team || load <= queue.team_load(team, weight) {
                return None;
            }
            let victim = self.sheddable(&request.service, &heaviest)?;
            for key in self.tasks.keys_where(&victim, TaskPhase::is_waiting) {
                let detail = "shed: the queue is full and the team is over its share";
                steps.extend(self.end_not_started(&key, ErrorKind::Overloaded, detail));
            }
        }
        Some(steps)
    }

    /// The team's newest waiting submission, if all of its tasks wait at this
    /// entry.
    fn sheddable(&self, service: &ServiceId, team: &TeamId) -> Option<JobKey> {
        let newest = self.queues.get(service)?.newest_task(team)?;
        let job = self.tasks.jobs.get(&newest.job)?;
        job.tasks.iter().all(|record| record.phase.is_waiting()).then(|| newest.job.clone())
    }

    /// Releases a claimed submission: its tasks may be placed, after a takeover
    /// once the agents have replied.
    pub fn on_release(
        &mut self,
        now: Instant,
        key: &JobKey,
        order: ReleaseOrder,
    ) -> Vec<DispatchStep> {
        self.release(now, key, order)
    }

    fn release(&mut self, now: Instant, key: &JobKey, order: ReleaseOrder) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get_mut(key) else { return Vec::new() };
        let service = job.service.clone();
        let takeover = order.takeover.clone();
        job.release = Some(order);
        if let Some(budget) = self.budgets.get_mut(&service) {
            budget.on_first_attempt();
        }
        match takeover {
            Takeover::Fresh => {
                for task in self.tasks.keys_where(key, |phase| *phase == TaskPhase::Unreleased) {
                    self.enqueue(&task);
                }
                self.place(now, &service)
            }
            Takeover::Collect { memory_lost, agents } => {
                self.start_collection(now, key, Collection { pending: agents, memory_lost })
            }
        }
    }

    /// Appends a task to its team's queue.
    pub(super) fn enqueue(&mut self, key: &TaskKey) {
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return };
        let service = job.service.clone();
        let Some(record) = job.tasks.get_mut(key.task as usize) else { return };
        if record.phase == TaskPhase::Unreleased {
            self.unreleased -= 1;
        }
        record.phase = TaskPhase::Queued;
        let cost_us = self.times.base_us(&service, record.task.declared);
        let weight = self.weight(&key.job.team);
        let queue = self.queues.entry(service).or_default();
        queue.push_back(weight, QueuedTask { key: key.clone(), cost_us });
    }

    fn weight(&self, team: &TeamId) -> u32 {
        let config: Option<&Arc<ConfigInForce>> = self.config.as_ref();
        config.and_then(|config| config.text.teams.get(team)).map_or(1, |team| team.weight)
    }
}

fn overloaded(key: JobKey) -> DispatchStep {
    let failure = Failure::new(ErrorKind::Overloaded, "the queue is full");
    DispatchStep::Refused { key, failure }
}
