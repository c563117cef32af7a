//! Decides which connections of clients a listener accepts, keeps and closes, and how many
//! bytes of their requests it holds.
//!
//! Invariants:
//! - the connections that count, and the bytes that are held, stay within the listener's
//!   limits;
//! - a connection whose request was read in full is never closed before its reply has been
//!   built.

mod connection_table;
mod listener_limits;

pub use connection_table::{ConnectionId, ConnectionTable, OpenStep, ReserveStep, TableSummary};
pub use listener_limits::{ListenerKind, ListenerLimits, max_known_peers};
