//! Owns the tasks of one service that wait at the entry, shared fairly between
//! teams by weight.
//!
//! Invariants:
//! - a team's tasks leave in the order they came;
//! - over any busy stretch, teams get work in proportion to their weights.
//!
//! Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1997.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::{TaskKey, TeamId};

/// A waiting task.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedTask {
    /// The task.
    pub key: TaskKey,
    /// Expected run time in microseconds.
    pub cost_us: f64,
}

#[derive(Debug, Clone)]
struct TeamQueue {
    weight: f64,
    /// Virtual time at which the team's next task starts.
    start_tag: f64,
    tasks: VecDeque<QueuedTask>,
}

/// Waiting tasks by team.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    teams: IndexMap<TeamId, TeamQueue>,
    virtual_time: f64,
    length: usize,
    cost_us: f64,
}

impl FairQueue {
    /// Adds a task at the end of its team's line.
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

    /// Takes the task that fairness puts first.
    pub fn pop(&mut self) -> Option<QueuedTask> {
        let open = self.teams.values_mut().filter(|team| !team.tasks.is_empty());
        let team = open.min_by(|a, b| a.start_tag.total_cmp(&b.start_tag))?;
        let task = team.tasks.pop_front()?;
        self.virtual_time = team.start_tag;
        team.start_tag += task.cost_us / team.weight;
        self.length -= 1;
        self.cost_us -= task.cost_us;
        Some(task)
    }

    /// Puts a task back that was popped and could not be placed; the last
    /// popped is put back first.
    pub fn put_back(&mut self, task: QueuedTask) {
        let Some(team) = self.teams.get_mut(&task.key.job.team) else { return };
        team.start_tag -= task.cost_us / team.weight;
        self.virtual_time = self.virtual_time.min(team.start_tag);
        self.length += 1;
        self.cost_us += task.cost_us;
        team.tasks.push_front(task);
    }

    /// Removes the tasks for which `leaves` holds; returns how many.
    pub fn remove_where(&mut self, team: &TeamId, leaves: impl Fn(&TaskKey) -> bool) -> usize {
        let Some(queue) = self.teams.get_mut(team) else { return 0 };
        let before = queue.tasks.len();
        let removed_cost: f64 =
            queue.tasks.iter().filter(|task| leaves(&task.key)).map(|task| task.cost_us).sum();
        queue.tasks.retain(|task| !leaves(&task.key));
        let removed = before - queue.tasks.len();
        self.length -= removed;
        self.cost_us -= removed_cost;
        removed
    }

    /// Forgets teams that have nothing waiting and no debt.
    pub fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, team| !team.tasks.is_empty() || team.start_tag > virtual_time);
    }

    /// The team whose waiting work is most over its share, and that work in
    /// microseconds for each unit of weight.
    pub fn most_over_share(&self) -> Option<(TeamId, f64)> {
        let load = |team: &TeamQueue| {
            team.tasks.iter().map(|task| task.cost_us).sum::<f64>() / team.weight
        };
        let loads = self.teams.iter().map(|(id, team)| (id.clone(), load(team)));
        loads.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Waiting work of one team in microseconds for each unit of weight.
    pub fn share_of(&self, team: &TeamId, weight: u32) -> f64 {
        let tasks = self.teams.get(team).map(|team| &team.tasks);
        let cost: f64 = tasks.into_iter().flatten().map(|task| task.cost_us).sum();
        cost / f64::from(weight.max(1))
    }

    /// The newest waiting task of a team.
    pub fn newest_of(&self, team: &TeamId) -> Option<&TaskKey> {
        self.teams.get(team)?.tasks.back().map(|task| &task.key)
    }

    /// Tasks waiting.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Expected run time of everything that waits, in microseconds.
    pub fn cost_us(&self) -> f64 {
        self.cost_us.max(0.0)
    }
}
