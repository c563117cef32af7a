//! Counts what a scheduler did, for the periodic log line about its load.

/// Work of a scheduler since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Searches for an agent for a waiting task.
    pub searches: u64,
    /// Agents that these searches priced.
    pub agents_priced: u64,
    /// Runs that were placed.
    pub placed: u64,
    /// Placed runs that an agent refused to start.
    pub refused: u64,
    /// Runs that were counted as overdue before they had ended.
    pub overdue: u64,
}
