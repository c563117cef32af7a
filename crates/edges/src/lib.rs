//! The edges of a process, where it does I/O: callers, peers, backend servers,
//! control, the data folder, logs and metrics. All encoding of messages is here,
//! and so are the only traits besides the clock.
//!
//! Invariants:
//! - each network edge runs one current-thread runtime on its own duty thread;
//! - a message is decoded and validated here before a service receives it;
//! - a slot for the reply is reserved before a call is admitted.

pub mod agent_edge;
pub mod agent_links;
pub mod backend_edge;
pub mod caller_edge;
pub mod control_edge;
pub mod control_link;
pub mod disk;
pub mod duty_time;
pub mod group_join;
pub mod http_listener;
pub mod job_calls;
pub mod journal;
pub mod journal_writer;
pub mod leader_finder;
pub mod log_writer;
pub mod metrics;
pub mod replica_links;
pub mod schedule_edge;
pub mod schedule_link;

mod agent_link;
mod agent_stream;
mod announce_routes;
mod caller_routes;
mod edge_error;
mod edge_runtime;
mod frame_scan;
mod journal_frame;
mod ledger_batches;
mod listener_state;
mod peer_api;
mod peer_connection;
mod peer_gate;
mod peer_listener;
mod pending_calls;
mod returned_memory;
mod sent_messages;
mod view_merge;
mod warp_routes;

pub use edge_error::EdgeError;
pub use edge_runtime::{block_on, spawn_lasting};
pub use peer_api::{AgentApiClient, AgentApiServer, ControlApiClient, ControlApiServer};
pub use pending_calls::PendingCalls;
