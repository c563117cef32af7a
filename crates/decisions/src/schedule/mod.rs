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

mod admitting;
mod agent_state;
mod entry_list;
mod learnt_speed;
mod placing;
mod ready_queue;
mod reports;
mod scheduler;
mod step_spread;
mod takeover;
mod task_hurry;

pub use agent_state::AgentState;
pub use learnt_speed::LearntSpeed;
pub use scheduler::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
pub use task_hurry::TaskHurry;
