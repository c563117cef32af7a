//! Bounds on how long the runs of a scheduler stay active without contact, on which
//! schedulers and agents both rely.

use std::time::Duration;

/// Upper bound on the relative clock drift between two hosts, or between a host
/// and its backend server.
pub(crate) const MAX_CLOCK_DRIFT_RATIO: f64 = 0.05;
/// Time after the end of grant and lease that is allowed for stopping runs and
/// for messages in flight; both together take less.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Maximum number of a scheduler's runs on one backend server. An agent handles each input in
/// time proportional to its runs, and tasks that need little capacity would let these grow to
/// tens of thousands.
pub(crate) const MAX_OWN_RUNS: usize = 512;

/// Time since the last contact of a scheduler and an agent after which none of the
/// scheduler's runs there is active: grant and lease, with the margins for clock drift
/// and stops.
pub(crate) fn contact_timeout(grant: Duration, lease: Duration) -> Duration {
    (grant + lease).mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO) + STOP_MARGIN
}

/// Time since the end of a scheduler's process after which none of its runs is active. Agents
/// keep runs for a grant, and let no lease outlast it by more than the time to stop them.
pub(crate) fn run_timeout(grant: Duration) -> Duration {
    grant.mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO) + STOP_MARGIN
}

/// Time since an agent sent a message that a scheduler has acknowledged in which the scheduler
/// does not give the agent up for lack of contact, whatever the drift of both clocks.
pub(crate) fn give_up_timeout(grant: Duration, lease: Duration) -> Duration {
    (grant + lease).mul_f64(1.0 - MAX_CLOCK_DRIFT_RATIO)
}
