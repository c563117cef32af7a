//! Pure decision logic: admission, routing, retries, jobs, starts, leases,
//! membership, the replicated log and the state built from it.
//!
//! One module for each kind of process, and one for each part that several kinds share:
//! - `entry`: accepts the submissions of clients and places their tasks at
//!   workers;
//! - `agent`: starts tasks at the backend servers of its worker;
//! - `control`: a Raft group that keeps the replicated state and the leases of
//!   entries and agents;
//! - `config_check`: what is wrong with a configuration, for control and for the operators'
//!   command line;
//! - `connections`: which connections of clients a listener keeps, for every process;
//! - `discovery`: finds the leader of control, for every process;
//! - `schedule`: places the tasks of queued jobs; run by the leader of control
//!   and by each entry.
//!
//! Invariants:
//! - no I/O, threads, encoding, clock or own randomness: the caller passes in
//!   times and seeds;
//! - a decision returns an enum that says what to do next, and never performs
//!   it.

pub mod agent;
mod claim_order;
pub mod config_check;
pub mod connections;
pub mod control;
pub mod discovery;
pub mod entry;
mod pair_sums;
mod run_bounds;
pub mod schedule;
mod spread_hash;
