//! The agent: assigns request tasks to slots of backend servers with at-most-once
//! starts, and runs job tasks on its backend server under leases and grants.

mod instance_pool;
mod run_calls;
mod run_table;
mod scheduler_session;
mod server_life;
mod start_table;

pub use instance_pool::{InstancePool, PoolChange};
pub use run_table::{RunLimits, RunStep, RunTable};
pub use start_table::{StartLimits, StartStep, StartTable};
