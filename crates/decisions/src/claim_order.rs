//! The order in which agents are asked for the claim to a job, which all entries and agents
//! compute alike.

use model::{JobId, NodeId};

use crate::spread_hash::spread_hash;

/// Rank of an agent in the order of a job; the highest is asked first.
pub(crate) fn claim_rank(job: &JobId, agent: &NodeId) -> u64 {
    spread_hash([job.as_bytes(), agent.as_bytes()])
}
