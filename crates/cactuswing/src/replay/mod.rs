//! Replays recorded traces against the real services over loopback, with
//! stand-in backend servers, and checks the outcomes.

mod checks;
mod ideal;
mod local_cluster;
mod outcome;
mod player;

pub use local_cluster::{ClusterError, ClusterShape, LocalCluster};
pub use outcome::{CallOutcome, ReplayReport, Slowdowns};
pub use player::{PlayOptions, play};
