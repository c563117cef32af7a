//! Limits how many agents the tasks of one step are spread over.
//!
//! Handles the load pattern *many wide jobs of short tasks*: each further agent
//! costs an order and reports, which overload a scheduler on a small host, and is one more that can be lost before the job has ended. Tasks that
//! are placed in one round share agents while these have free capacity.

use indexmap::IndexMap;
use model::{NodeId, TaskRun};

/// Tasks of one step that are placed in one round, by agent.
#[derive(Debug, Default)]
pub(super) struct StepSpread {
    starts: IndexMap<NodeId, AgentStarts>,
}

/// Runs of the step on one agent.
#[derive(Debug)]
struct AgentStarts {
    /// Cost of the agent when it was first chosen.
    cost: f64,
    runs: Vec<TaskRun>,
}

impl StepSpread {
    /// Effective cost of an agent. One that is chosen already keeps its first
    /// cost, although the step's own tasks raise its utilization.
    pub(super) fn cost(&self, agent: &NodeId, cost: f64) -> f64 {
        self.starts.get(agent).map_or(cost, |starts| starts.cost.min(cost))
    }

    /// Adds a run placed on an agent of this cost.
    pub(super) fn add(&mut self, agent: NodeId, cost: f64, run: TaskRun) {
        let starts = AgentStarts { cost, runs: Vec::new() };
        self.starts.entry(agent).or_insert(starts).runs.push(run);
    }

    /// Returns the runs to start, by agent.
    pub(super) fn into_starts(self) -> impl Iterator<Item = (NodeId, Vec<TaskRun>)> {
        self.starts.into_iter().map(|(agent, starts)| (agent, starts.runs))
    }
}
