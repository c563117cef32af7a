//! Services of the process. Each runs as a duty on its own thread: it receives
//! messages from its ring, passes them to a decision type and executes the steps
//! that this returns.
//!
//! Invariants:
//! - a service finds other services only by name, in the registry;
//! - the steps of a decision are executed completely and in order;
//! - no service blocks on a full ring.

pub mod job_scheduling;
pub mod job_tracking;
pub mod membership;
pub mod replicated_log;
pub mod server_runs;
pub mod task_dispatch;
pub mod task_starts;

mod context;
mod figure_meter;
mod load_meter;

pub use context::ServiceContext;
pub use figure_meter::is_time_zone;
