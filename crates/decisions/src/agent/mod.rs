//! The agent: assigns request tasks to slots of backend servers with at-most-once
//! starts, and runs job tasks on its backend server under leases and grants.
//!
//! Three kinds of time limit, each granted by another party:
//! - the agent's own lease, granted by control: without it no request task starts
//!   that is not idempotent (`start_table`);
//! - the grant of a scheduler to the agent: how long the runs of that scheduler
//!   may stay active (`scheduler_session`);
//! - the lease of the agent to its backend server: how long the server keeps runs
//!   active without a renewal (`server_life`).

mod claim_entries;
mod claim_table;
mod evacuation;
mod heartbeat_interval;
mod instance_pool;
mod kind_samples;
mod pause_watch;
mod run_calls;
mod run_lease;
mod run_table;
mod scheduler_session;
mod server_heartbeats;
mod server_life;
mod server_speed;
mod start_queue;
mod start_resends;
mod start_table;

pub use heartbeat_interval::heartbeat_interval;
pub use instance_pool::{InstancePool, PoolChange};
pub use kind_samples::{KindSamples, PresenceMark};
pub use run_table::{RunLimits, RunStep, RunTable};
pub use server_speed::{RunTime, ServerSpeed};
pub use start_table::{StartLimits, StartStep, StartTable};
