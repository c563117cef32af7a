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
    starts: IndexMap<NodeId, AgentStarts>,
}

/// An agent that was chosen for the step.
#[derive(Debug)]
struct AgentStarts {
    /// What it cost when it was first chosen.
    cost: f64,
    runs: Vec<TaskRun>,
}

impl StepSpread {
    /// What an agent costs: one that was chosen stays as good as it was then,
    /// though the step's own tasks crowd it.
    pub(super) fn cost(&self, agent: &NodeId, cost: f64) -> f64 {
        self.starts.get(agent).map_or(cost, |starts| starts.cost.min(cost))
    }

    /// A task was placed on an agent of this cost.
    pub(super) fn add(&mut self, agent: NodeId, cost: f64, run: TaskRun) {
        let starts = AgentStarts { cost, runs: Vec::new() };
        self.starts.entry(agent).or_insert(starts).runs.push(run);
    }

    /// What starts on each agent.
    pub(super) fn into_starts(self) -> impl Iterator<Item = (NodeId, Vec<TaskRun>)> {
        self.starts.into_iter().map(|(agent, starts)| (agent, starts.runs))
    }
}
