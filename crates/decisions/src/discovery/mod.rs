//! Decisions of every process that has to find the leader of the control group.

mod join_tracker;
mod leader_search;
mod learned_group;

pub use join_tracker::{JoinStep, JoinTracker};
pub use leader_search::{LeaderSearch, SearchStep};
pub use learned_group::LearnedGroup;
