//! Counts what a scheduler did, for the periodic log line about its load.

use std::time::Duration;

use super::start_bounds::ExpiryCause;

/// Claims of one kind that were granted, and how long their jobs waited for that.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Number of claims.
    pub claims: u64,
    /// Sum of the waits.
    pub waited: Duration,
    /// Longest wait.
    pub longest: Duration,
}

impl GrantCounts {
    /// Counts a claim that was granted after this wait.
    pub(super) fn add(&mut self, waited: Duration) {
        self.claims += 1;
        self.waited += waited;
        self.longest = self.longest.max(waited);
    }

    /// Mean wait; zero without a claim.
    pub fn mean_wait(&self) -> Duration {
        self.waited / self.claims.clamp(1, u64::from(u32::MAX)) as u32
    }
}

/// Jobs that were refused at their admission, or ended later, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// Refused at once: the work queued ahead leaves no time.
    pub queue_full: u64,
    /// Refused at once: more likely to end too late than not, even on the fastest backend
    /// server.
    pub too_long: u64,
    /// Refused at once: no backend server can hold a task.
    pub no_server: u64,
    /// Ended after a start: the rest can't end while the caller waits.
    pub caller_time: u64,
    /// Refused while waiting: the latest start has passed.
    pub latest_start: u64,
    /// Refused while waiting: no capacity is expected in time.
    pub no_capacity: u64,
    /// Refused while waiting: half of the caller's wait is over.
    pub held_long: u64,
    /// Refused while waiting: no agent grants the claim in time.
    pub no_grant: u64,
}

impl RefusalCounts {
    /// Counts a job that was ended before its caller had left.
    pub(super) fn add_expired(&mut self, cause: ExpiryCause) {
        let count = match cause {
            ExpiryCause::CallerTime => &mut self.caller_time,
            ExpiryCause::LatestStart => &mut self.latest_start,
            ExpiryCause::NoCapacity => &mut self.no_capacity,
            ExpiryCause::HeldLong => &mut self.held_long,
            ExpiryCause::NoGrant => &mut self.no_grant,
        };
        *count += 1;
    }
}

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
    /// Runs that were placed in a rack in high demand that their steps don't name.
    pub spared_starts: u64,
    /// Runs that were placed outside the rack that their steps name, while it had servers.
    pub remote_starts: u64,
    /// Steps that counted as late at the time they were queued.
    pub late_queued: u64,
    /// Claims that the agent which comes first for their job has granted.
    pub first_grants: GrantCounts,
    /// Claims that were granted in place of agents that come first for their job.
    pub passed_on_grants: GrantCounts,
    /// Requests of agents to confirm that no run of a job is active.
    pub confirm_requests: u64,
    /// Reports with a speed that an agent has learned.
    pub speed_reports: u64,
    /// Reports with pairs of kinds of tasks.
    pub pair_reports: u64,
    /// Runs that were placed beside kinds known to interfere with them.
    pub interfering: u64,
    /// Jobs that were refused or ended before their callers had left.
    pub refusals: RefusalCounts,
}
