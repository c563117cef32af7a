//! The order in which agents are asked for the claim to a job, which all entries and agents
//! compute alike.

use model::{JobId, NodeId, fingerprint};

/// Rank of an agent in the order of a job; the highest is asked first. Similar names differ
/// most in the low bits of their hash, so these are spread over all bits.
pub(crate) fn claim_rank(job: &JobId, agent: &NodeId) -> u64 {
    let hash = fingerprint([job.as_bytes(), agent.as_bytes()]);
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
