//! Decisions of the control hosts: the Raft replica, the state machine that its
//! log builds, and the leases of members, which are entries and agents.
//!
//! Nothing here performs I/O or reads a clock; callers pass the time in.

mod catalog_store;
mod config_store;
mod control_state;
mod figure_store;
mod job_store;
mod ledger;
mod log_budget;
mod member_store;
mod membership;
mod replica;

pub use catalog_store::CatalogStore;
pub use config_store::ConfigStore;
pub use control_state::ControlState;
pub use figure_store::FigureStore;
pub use job_store::{JobChange, JobStore};
pub use ledger::Ledger;
pub use log_budget::{LogBudget, LogStep};
pub use member_store::MemberStore;
pub use membership::{MembershipStep, MembershipTracker};
pub use replica::{
    EncodedSnapshot, GroupChange, JoiningHost, LogStore, ReceivedSnapshot, Replica, ReplicaLimits,
    ReplicaStep, StoredReplica,
};
