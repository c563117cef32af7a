//! The scheduler: admits jobs and assigns their tasks to agents. The control
//! host that leads schedules stored jobs, which are in the replicated log; each
//! entry schedules the best-effort jobs of its own callers, which are not.
//!
//! An agent keeps runs active only while the scheduler's grant is valid, and its
//! backend server only while the agent renews the lease there. So every run of an
//! agent without contact is over once both have expired.
//!
//! Invariants:
//! - a task has at most one placement, and none once it is done;
//! - a task is placed again only after its earlier run is reported as ended or
//!   as never started, or after its agent's grant and the backend server's lease
//!   have expired, with the margin for clock drift;
//! - the state is volatile: a new leader rebuilds it from the stored jobs and
//!   from the agents' reports.

mod agent_checks;
mod agent_link;
mod agent_orders;
mod agent_reports;
mod agent_search;
mod agent_state;
mod evacuation;
mod given_up_agents;
mod host_lists;
mod job_admission;
mod job_claims;
mod job_expiry;
mod job_sizes;
mod kind_interference;
mod kind_presence;
mod live_job;
mod load_counts;
mod placement_order;
mod placement_round;
mod proposed_ends;
mod queue_shares;
mod rack_demand;
mod ready_queue;
mod report_delay;
mod run_time_quantiles;
mod scheduler;
mod server_sizes;
mod speed_estimate;
mod speed_preference;
mod start_bounds;
mod start_forecast;
mod step_spread;
mod takeover;
mod task_placement;
mod task_urgency;

pub use agent_state::AgentState;
pub use kind_interference::{KindInterference, PairChange, PairOrigin};
pub use kind_presence::pair_line;
pub use load_counts::{GrantCounts, LoadCounts, RefusalCounts};
pub use queue_shares::{QueueCounts, QueueShares, RankCause, ShareRank, WaitingGroup, WorkClass};
pub use rack_demand::{RackChange, RackDemand, RackServer};
pub use report_delay::ReportDelay;
pub use run_time_quantiles::RunTimeQuantiles;
pub use scheduler::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
pub use speed_estimate::SpeedEstimate;
pub use start_bounds::{ExpiryCause, StartBounds, StartVerdict};
pub use task_urgency::{RunTimeRange, TaskUrgency};
