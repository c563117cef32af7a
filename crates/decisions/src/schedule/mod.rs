//! Decisions of a scheduler: which task runs where, and who is refused. The
//! control host that leads schedules jobs that are stored; each entry schedules
//! its own callers' best-effort jobs.
//!
//! Invariants:
//! - a task has at most one placement, and none once it is done;
//! - a task is placed again only after its earlier run surely ended, surely
//!   never started, or its agent's grant and lease are surely over;
//! - nothing of this survives a change of leader: a new one rebuilds it from
//!   the record of jobs and from what the agents report.

mod agent_reports;
mod agent_state;
mod entry_list;
mod job_admission;
mod ready_queue;
mod scheduler;
mod speed_estimate;
mod step_spread;
mod takeover;
mod task_placement;
mod task_urgency;

pub use agent_state::AgentState;
pub use scheduler::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
pub use speed_estimate::LearntSpeed;
pub use task_urgency::TaskHurry;
