//! Ends of runs that are proposed to the log and not applied yet. Several runs of a task
//! may be among them, so each end is known by its run.

use indexmap::{IndexMap, IndexSet};
use model::{RunNumber, TaskName, TaskRun};

/// Proposed ends, by task.
#[derive(Debug, Clone, Default)]
pub(super) struct ProposedEnds {
    runs: IndexMap<TaskName, IndexSet<RunNumber>>,
}

impl ProposedEnds {
    pub(super) fn add(&mut self, run: &TaskRun) {
        self.runs.entry(run.task.clone()).or_default().insert(run.run);
    }

    /// Removes the end of a run; `false` if it was not proposed here.
    pub(super) fn remove(&mut self, run: &TaskRun) -> bool {
        let Some(runs) = self.runs.get_mut(&run.task) else { return false };
        let was_proposed = runs.swap_remove(&run.run);
        if runs.is_empty() {
            self.runs.swap_remove(&run.task);
        }
        was_proposed
    }

    /// Whether the end of any run of a task is proposed.
    pub(super) fn contains(&self, task: &TaskName) -> bool {
        self.runs.contains_key(task)
    }
}
