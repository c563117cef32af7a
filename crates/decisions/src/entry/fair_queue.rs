//! Owns the queued tasks of one service and shares the slots between teams by
//! weight, by start-time fair queueing.
//!
//! Invariants:
//! - the tasks of a team leave in arrival order;
//! - while several teams have tasks queued, each gets work in proportion to its
//!   weight.
//!
//! Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1997.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::{TaskKey, TeamId};

/// A task in the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedTask {
    /// Key of the task.
    pub key: TaskKey,
    /// Expected run time in microseconds.
    pub cost_us: f64,
}

#[derive(Debug, Clone)]
struct TeamQueue {
    weight: f64,
    /// Virtual start time of the team's next task.
    start_tag: f64,
    tasks: VecDeque<QueuedTask>,
}

/// Queued tasks by team.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    teams: IndexMap<TeamId, TeamQueue>,
    virtual_time: f64,
    length: usize,
    cost_us: f64,
}

impl FairQueue {
    /// Appends a task to its team's queue and sets the team's weight.
    pub fn push_back(&mut self, weight: u32, task: QueuedTask) {
        let virtual_time = self.virtual_time;
        let team = self.teams.entry(task.key.job.team.clone()).or_insert_with(|| TeamQueue {
            weight: 1.0,
            start_tag: virtual_time,
            tasks: VecDeque::new(),
        });
        team.weight = f64::from(weight.max(1));
        if team.tasks.is_empty() {
            team.start_tag = team.start_tag.max(virtual_time);
        }
        self.length += 1;
        self.cost_us += task.cost_us;
        team.tasks.push_back(task);
    }

    /// Removes the task with the smallest start tag.
    pub fn pop(&mut self) -> Option<QueuedTask> {
        let backlogged = self.teams.values_mut().filter(|team| !team.tasks.is_empty());
        let team = backlogged.min_by(|a, b| a.start_tag.total_cmp(&b.start_tag))?;
        let task = team.tasks.pop_front()?;
        self.virtual_time = team.start_tag;
        team.start_tag += task.cost_us / team.weight;
        self.length -= 1;
        self.cost_us -= task.cost_us;
        Some(task)
    }

    /// Returns a popped task that could not be placed to the head of its team's
    /// queue. Tasks must be returned in reverse order of their removal.
    pub fn put_back(&mut self, task: QueuedTask) {
        let Some(team) = self.teams.get_mut(&task.key.job.team) else { return };
        team.start_tag -= task.cost_us / team.weight;
        self.virtual_time = self.virtual_time.min(team.start_tag);
        self.length += 1;
        self.cost_us += task.cost_us;
        team.tasks.push_front(task);
    }

    /// Removes the tasks of `team` whose key matches; returns their number.
    pub fn remove_where(&mut self, team: &TeamId, matches: impl Fn(&TaskKey) -> bool) -> usize {
        let Some(queue) = self.teams.get_mut(team) else { return 0 };
        let before = queue.tasks.len();
        let removed_cost: f64 =
            queue.tasks.iter().filter(|task| matches(&task.key)).map(|task| task.cost_us).sum();
        queue.tasks.retain(|task| !matches(&task.key));
        let removed = before - queue.tasks.len();
        self.length -= removed;
        self.cost_us -= removed_cost;
        removed
    }

    /// Drops teams that have no task queued and whose start tag is not ahead of
    /// virtual time.
    pub fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, team| !team.tasks.is_empty() || team.start_tag > virtual_time);
    }

    /// Team with the most queued work for its weight, and that work in
    /// microseconds for each unit of weight.
    pub fn most_loaded_team(&self) -> Option<(TeamId, f64)> {
        let load = |team: &TeamQueue| {
            team.tasks.iter().map(|task| task.cost_us).sum::<f64>() / team.weight
        };
        let loads = self.teams.iter().map(|(id, team)| (id.clone(), load(team)));
        loads.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Queued work of one team in microseconds for each unit of weight.
    pub fn team_load(&self, team: &TeamId, weight: u32) -> f64 {
        let tasks = self.teams.get(team).map(|team| &team.tasks);
        let cost: f64 = tasks.into_iter().flatten().map(|task| task.cost_us).sum();
        cost / f64::from(weight.max(1))
    }

    /// Last task in the queue of a team.
    pub fn newest_task(&self, team: &TeamId) -> Option<&TaskKey> {
        self.teams.get(team)?.tasks.back().map(|task| &task.key)
    }

    /// Number of queued tasks.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Expected run time of all queued tasks, in microseconds.
    pub fn cost_us(&self) -> f64 {
        self.cost_us.max(0.0)
    }
}
