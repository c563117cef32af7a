//! Over how many agents the tasks of one step are spread.
//!
//! Answers the pattern *many wide jobs of short tasks*: each further agent
//! costs an order, a poll and reports, which a scheduler on a small host has no
//! time for, and is one more that can be lost before the job has ended. Tasks
//! that are placed together stay together where there is room.

use indexmap::IndexMap;
use model::{NodeId, TaskRun};

/// Tasks of one step that are placed together, by agent.
#[derive(Debug, Default)]
pub(super) struct StepSpread {
    places: IndexMap<NodeId, StepPlace>,
}

/// An agent that was chosen for the step.
#[derive(Debug)]
struct StepPlace {
    /// What it cost when it was first chosen.
    cost: f64,
    runs: Vec<TaskRun>,
}

impl StepSpread {
    /// What an agent costs: one that was chosen stays as good as it was then,
    /// though the step's own tasks crowd it.
    pub(super) fn cost(&self, agent: &NodeId, cost: f64) -> f64 {
        self.places.get(agent).map_or(cost, |place| place.cost.min(cost))
    }

    /// A task was placed on an agent of this cost.
    pub(super) fn add(&mut self, agent: NodeId, cost: f64, run: TaskRun) {
        let place = StepPlace { cost, runs: Vec::new() };
        self.places.entry(agent).or_insert(place).runs.push(run);
    }

    /// What starts on each agent.
    pub(super) fn into_starts(self) -> impl Iterator<Item = (NodeId, Vec<TaskRun>)> {
        self.places.into_iter().map(|(agent, place)| (agent, place.runs))
    }
}
