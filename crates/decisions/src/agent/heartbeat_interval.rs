//! When an agent sends a heartbeat to a scheduler to which it has nothing to report.
//!
//! Handles the load pattern *many agents, each idle for most schedulers*: a heartbeat and
//! its acknowledgement cost a scheduler as much as a report. The grant that they extend
//! matters only while the agent has runs of that scheduler.

use std::time::Duration;

/// Interval while there are runs; together with the scheduler's wait well below its grant.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(350);
/// Interval while there are none. A start that takes a while on its way finds some of the
/// grant left, and an agent is heard of several times before it counts as lost.
const IDLE_INTERVAL: Duration = Duration::from_millis(600);

/// Time after an agent's latest message to a scheduler until its next heartbeat; `is_active`
/// tells whether it has runs of that scheduler.
pub fn heartbeat_interval(is_active: bool) -> Duration {
    if is_active { ACTIVE_INTERVAL } else { IDLE_INTERVAL }
}
