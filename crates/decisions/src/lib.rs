//! The pure decisions: admission, routing, retries, jobs, starts, leases,
//! membership, the replicated log and the state it builds.
//!
//! Invariants:
//! - no I/O, thread, encoding, clock or randomness of its own: time and seeds
//!   are handed in;
//! - a decision answers with an enum of what to do next and never does it.

pub mod agent;
pub mod control;
pub mod entry;
pub mod schedule;
