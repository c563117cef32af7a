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
    /// Runs that were placed where they are expected to end after their caller has
    /// stopped waiting.
    pub too_late: u64,
    /// Runs of flexible tasks that were placed on busy fast servers, whose remaining
    /// capacity is meant for more urgent ones.
    pub unreserved: u64,
    /// Steps that counted as late at the time they were queued.
    pub late_queued: u64,
}
