//! Small differences between schedulers in what they make of a reported speed.
//!
//! Handles the load pattern *several schedulers with old views of one backend server*:
//! all get the same figures, so without these differences each would rank the servers alike
//! and place its next tasks on the same one.

use model::{Incarnation, NodeId};

use crate::spread_hash::spread_hash;

/// Largest change of a reported speed, as a share of it. Its error has about half this
/// size, and the speeds of servers that are worth telling apart differ by more.
const MAX_CHANGE: f64 = 0.1;

/// Factor on the slowness that an agent reports, by the scheduler's incarnation; the same for
/// as long as the scheduler's process runs.
pub(super) fn slowness_factor(scheduler: Incarnation, agent: &NodeId) -> f64 {
    let hash = spread_hash([agent.as_bytes(), scheduler.to_le_bytes().as_slice()]);
    let share = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    1.0 + MAX_CHANGE * (2.0 * share - 1.0)
}
