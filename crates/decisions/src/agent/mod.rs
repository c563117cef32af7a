//! An agent's decisions: which backend server runs a task, and whether a task
//! may start at all.

mod instance_pool;
mod run_calls;
mod run_table;
mod scheduler_session;
mod server_life;
mod start_table;

pub use instance_pool::{InstancePool, PoolChange};
pub use run_table::{RunLimits, RunStep, RunTable};
pub use start_table::{StartLimits, StartStep, StartTable};
