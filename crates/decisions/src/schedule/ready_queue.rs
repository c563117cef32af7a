//! Owns the queue of ready tasks: least slack first, late tasks last.
//!
//! Handles the load pattern *short urgent work behind long work that is already
//! late*: tasks that can still end in time come first, by latest start time;
//! tasks that can't follow, least late first.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use indexmap::IndexMap;
use model::{JobId, QueueId, QueuedJob, ServiceId, StepIndex, TaskIndex};

use super::queue_shares::WorkClass;

/// Ready tasks of one step.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ReadyGroup {
    pub(super) job: JobId,
    pub(super) step: StepIndex,
    pub(super) tasks: VecDeque<TaskIndex>,
    /// Highest task that was ever added; a higher one is new.
    highest: TaskIndex,
    /// Processor time that one task needs, in core-milliseconds.
    pub(super) work: u64,
    /// Whose share the tasks are of.
    pub(super) class: WorkClass,
    /// Service whose capacity the latest placement round left tasks waiting for.
    service: Option<ServiceId>,
    /// Number of these tasks.
    left: usize,
    /// Whether work on the job is wasted unless these tasks end while its caller
    /// waits.
    pub(super) at_stake: bool,
}

impl ReadyGroup {
    /// Processor time of the tasks that the latest placement round left waiting, in
    /// core-milliseconds, and the service for whose capacity they wait.
    pub(super) fn left_work(&self) -> Option<(&ServiceId, u128)> {
        self.service.as_ref().map(|service| (service, work_of(self, self.left)))
    }
}

/// Latest start time, and a sequence number that breaks ties.
pub(super) type GroupKey = (Instant, u64);

/// Ready tasks that wait for free capacity, grouped by step.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadyQueue {
    groups: BTreeMap<GroupKey, ReadyGroup>,
    keys: IndexMap<(JobId, StepIndex), GroupKey>,
    counter: u64,
    /// Processor time of the tasks that the latest placement round left waiting for
    /// capacity of each service, by queue, in core-milliseconds; wide enough for any
    /// number of tasks.
    left_work: IndexMap<ServiceId, IndexMap<QueueId, u128>>,
}

impl ReadyQueue {
    /// Adds a task unless it is queued already; `work` is in core-milliseconds.
    /// The first task of a group sets the group's latest start time.
    pub(super) fn push(
        &mut self,
        job: &JobId,
        step: StepIndex,
        task: TaskIndex,
        latest_start: Instant,
        work: u64,
        class: &WorkClass,
    ) {
        let step_key = (job.clone(), step);
        let key = *self.keys.entry(step_key).or_insert_with(|| {
            self.counter += 1;
            (latest_start, self.counter)
        });
        let group = self.groups.entry(key).or_insert_with(|| ReadyGroup {
            job: job.clone(),
            step,
            tasks: VecDeque::new(),
            highest: task,
            work,
            class: class.clone(),
            service: None,
            left: 0,
            at_stake: false,
        });
        if task <= group.highest && group.tasks.contains(&task) {
            return;
        }
        group.highest = group.highest.max(task);
        group.tasks.push_back(task);
    }

    /// Keys of the groups in placement order.
    pub(super) fn order(&self, now: Instant) -> Vec<GroupKey> {
        let in_time = self.groups.range((now, 0)..).map(|(key, _)| *key);
        let late = self.groups.range(..(now, 0)).rev().map(|(key, _)| *key);
        in_time.chain(late).collect()
    }

    /// The groups by latest start, those that are late last; in placement order but for the
    /// precedence of some.
    pub(super) fn in_order(&self, now: Instant) -> impl Iterator<Item = &ReadyGroup> {
        let in_time = self.groups.range((now, 0)..).map(|(_, group)| group);
        in_time.chain(self.groups.range(..(now, 0)).rev().map(|(_, group)| group))
    }

    pub(super) fn group(&self, key: GroupKey) -> Option<&ReadyGroup> {
        self.groups.get(&key)
    }

    /// Removes and returns the first task of a group.
    pub(super) fn take(&mut self, key: GroupKey) -> Option<TaskIndex> {
        let group = self.groups.get_mut(&key)?;
        let task = group.tasks.pop_front();
        let left = group.left.min(group.tasks.len());
        let taken = std::mem::replace(&mut group.left, left) - left;
        take_work(&mut self.left_work, group, taken);
        if group.tasks.is_empty() {
            let step_key = (group.job.clone(), group.step);
            self.keys.swap_remove(&step_key);
            self.groups.remove(&key);
        }
        task
    }

    /// Steps of a job with waiting tasks.
    pub(super) fn steps_of(&self, id: &JobId, job: &QueuedJob) -> impl Iterator<Item = StepIndex> {
        let steps = 0..job.steps.len() as StepIndex;
        steps.filter(move |step| self.keys.contains_key(&(id.clone(), *step)))
    }

    /// Marks the waiting tasks of a job as those on which started work depends.
    pub(super) fn mark_at_stake(&mut self, id: &JobId, job: &QueuedJob) {
        let steps: Vec<StepIndex> = self.steps_of(id, job).collect();
        for step in steps {
            let group = self.keys.get(&(id.clone(), step)).and_then(|key| self.groups.get_mut(key));
            if let Some(group) = group {
                group.at_stake = true;
            }
        }
    }

    /// Lowest sequence number among the `count` newest groups.
    pub(super) fn newest_from(&self, count: usize) -> u64 {
        let mut numbers: Vec<u64> = self.groups.keys().map(|(_, number)| *number).collect();
        if numbers.len() <= count {
            return 0;
        }
        let position = numbers.len() - count;
        *numbers.select_nth_unstable(position).1
    }

    /// Removes the tasks of a job, which has `steps` steps.
    pub(super) fn remove_job(&mut self, job: &JobId, steps: StepIndex) {
        for step in 0..steps {
            let Some(key) = self.keys.swap_remove(&(job.clone(), step)) else { continue };
            if let Some(group) = self.groups.remove(&key) {
                take_work(&mut self.left_work, &group, group.left);
            }
        }
    }

    /// Records that a placement round has left the queued tasks waiting for capacity of
    /// these services; `None` for tasks that no backend server can hold.
    pub(super) fn end_round(
        &mut self,
        mut service_of: impl FnMut(&ReadyGroup) -> Option<ServiceId>,
    ) {
        self.left_work.clear();
        for group in self.groups.values_mut() {
            group.service = service_of(group);
            group.left = group.tasks.len();
            if let Some(service) = &group.service {
                let queues = self.left_work.entry(service.clone()).or_default();
                let work = queues.entry(group.class.queue.clone()).or_default();
                *work += work_of(group, group.left);
            }
        }
    }

    /// Processor time of the tasks that wait for free capacity of a service, in
    /// core-milliseconds, without those that no round has tried to place yet and those
    /// that no backend server can hold.
    pub(super) fn left_work(&self, service: &ServiceId) -> u128 {
        self.left_by_queue(service).map(|(_, work)| work).sum()
    }

    /// Services for whose capacity tasks wait.
    pub(super) fn contended_services(&self) -> Vec<&ServiceId> {
        let waits = |queues: &IndexMap<QueueId, u128>| queues.values().any(|work| *work > 0);
        let services = self.left_work.iter().filter(|(_, queues)| waits(queues));
        services.map(|(service, _)| service).collect()
    }

    /// The same as [`ReadyQueue::left_work`] for each queue of the service.
    pub(super) fn left_by_queue(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (&QueueId, u128)> {
        let queues = self.left_work.get(service).into_iter().flatten();
        queues.map(|(queue, work)| (queue, *work))
    }

    /// Processor time of the waiting tasks of a group, in core-milliseconds.
    pub(super) fn waiting_work(group: &ReadyGroup) -> u128 {
        work_of(group, group.tasks.len())
    }

    /// Number of groups, one for each step with waiting tasks.
    pub(super) fn len(&self) -> usize {
        self.groups.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}

/// Takes some tasks of a group off the work that waits for its service.
fn take_work(
    left_work: &mut IndexMap<ServiceId, IndexMap<QueueId, u128>>,
    group: &ReadyGroup,
    tasks: usize,
) {
    let queues = group.service.as_ref().and_then(|service| left_work.get_mut(service));
    let work = queues.and_then(|queues| queues.get_mut(&group.class.queue));
    if let Some(work) = work {
        *work -= work_of(group, tasks);
    }
}

/// Processor time of some tasks of a group, in core-milliseconds.
fn work_of(group: &ReadyGroup, tasks: usize) -> u128 {
    u128::from(group.work) * tasks as u128
}
