//! Small differences between schedulers in what they make of a reported speed.
//!
//! Handles the load pattern *several schedulers with old views of one backend server*:
//! all get the same figures, so without these differences each would rank the servers alike
//! and place its next tasks on the same one.

use model::{Incarnation, NodeId};

/// Largest change of a reported speed, as a share of it. Its error has about half this
/// size, and the speeds of servers that are worth telling apart differ by more.
const MAX_CHANGE: f64 = 0.1;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Factor on the slowness that an agent reports, by the scheduler's incarnation; the same for
/// as long as the scheduler's process runs.
pub(super) fn slowness_factor(scheduler: Incarnation, agent: &NodeId) -> f64 {
    let bytes = agent.bytes().chain(scheduler.to_le_bytes());
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // The upper bits of the last multiplication depend on all bytes.
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(FNV_PRIME) >> 11;
    let share = mixed as f64 / (1_u64 << 53) as f64;
    1.0 + MAX_CHANGE * (2.0 * share - 1.0)
}
