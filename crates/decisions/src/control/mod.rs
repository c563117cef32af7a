//! Decisions of the control hosts: the Raft replica, the state machine that its
//! log builds, and the leases of members.
//!
//! Nothing here performs I/O or reads a clock; callers pass the time in.

mod catalog_store;
mod config_store;
mod control_state;
mod figure_book;
mod job_book;
mod ledger;
mod member_book;
mod membership;
mod replica;

pub use catalog_store::CatalogStore;
pub use config_store::ConfigStore;
pub use control_state::ControlState;
pub use figure_book::FigureStore;
pub use job_book::{JobChange, JobStore};
pub use ledger::Ledger;
pub use member_book::MemberStore;
pub use membership::{MembershipStep, MembershipTracker};
pub use replica::{GroupChange, LogStore, Replica, ReplicaLimits, ReplicaStep, StoredReplica};
