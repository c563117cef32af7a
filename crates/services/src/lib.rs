//! The duties: each receives from its ring, asks a decision and acts on the
//! enum that it returns.
//!
//! Invariants:
//! - a service knows others by name only;
//! - what a decision returns is carried out in order and in full;
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

pub use context::ServiceContext;
pub use figure_meter::is_time_zone;
