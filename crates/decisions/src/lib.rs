//! Pure decision logic: admission, routing, retries, jobs, starts, leases,
//! membership, the replicated log and the state built from it.
//!
//! Invariants:
//! - no I/O, threads, encoding, clock or own randomness: the caller passes in
//!   times and seeds;
//! - a decision returns an enum that says what to do next, and never performs
//!   it.

pub mod agent;
pub mod control;
pub mod entry;
pub mod schedule;
