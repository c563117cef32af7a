//! Data types that all crates share: ids, work, messages, error kinds with
//! their answers, settings and the operator configuration.
//!
//! Invariants:
//! - this crate does no I/O, starts no threads and reads no clocks;
//! - messages are decoded before they reach decision code, which never handles
//!   encoded bytes;
//! - settings and operator configurations are used only after full validation.

mod agent_messages;
mod close_cause;
mod cluster;
mod command;
mod config_delta;
mod config_finding;
mod control_messages;
mod counters;
mod entry_messages;
mod error;
mod event_log;
mod ids;
mod job_bounds;
mod journal_messages;
mod leader_hint;
mod message_kind;
mod operator_config;
mod payload;
mod peer_messages;
mod position_bounds;
mod queue_catalog;
mod queue_jobs;
mod replica;
mod schedule_messages;
mod schema;
mod server_messages;
mod settings;
mod time_bounds;
mod work;

pub use agent_messages::*;
pub use close_cause::*;
pub use cluster::*;
pub use command::*;
pub use config_delta::*;
pub use config_finding::*;
pub use control_messages::*;
pub use counters::*;
pub use entry_messages::*;
pub use error::*;
pub use event_log::*;
pub use ids::*;
pub use job_bounds::*;
pub use journal_messages::*;
pub use leader_hint::*;
pub use message_kind::*;
pub use operator_config::*;
pub use payload::*;
pub use peer_messages::*;
pub use position_bounds::*;
pub use queue_catalog::*;
pub use queue_jobs::*;
pub use replica::*;
pub use schedule_messages::*;
pub use schema::*;
pub use server_messages::*;
pub use settings::*;
pub use time_bounds::*;
pub use work::*;
