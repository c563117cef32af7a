//! Decisions of an entry: admission, fair queueing, placement, retries and job
//! tracking.
//!
//! A submission is a single request or a job of several tasks, identified by team
//! and submission id. The job tracker owns it from arrival to answer; the
//! dispatcher owns its tasks from admission to their end. Except for single
//! requests of idempotent services, control's ledger tracks it too: the entry
//! claims it there before any task is sent, and records the answer there before
//! it gives the answer.

mod admission;
mod dispatcher;
mod fair_queue;
mod job_tracker;
mod placement;
mod queue_routes;
mod retry_budget;
mod run_times;
mod task_table;
mod worker_health;
mod worker_table;

pub use admission::{AdmissionCheck, ServiceLoad, check_admission};
pub use dispatcher::{DispatchLimits, DispatchStep, Dispatcher};
pub use fair_queue::{FairQueue, QueuedTask};
pub use job_tracker::{FigureEvent, JobTracker, TrackerLimits, TrackerStep};
pub use placement::{Candidate, Placement, WorkerChooser};
pub use queue_routes::{ConfirmedRoutes, QueueRoutes, RouteLookup, RouteMatch};
pub use retry_budget::{RetryBudget, backoff_delay};
pub use run_times::RunTimes;
pub use worker_health::{HealthChange, HealthTracker};
