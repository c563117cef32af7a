//! Decides how long a best-effort job of which nothing has run is kept.
//!
//! Handles the load pattern *demand above capacity for some seconds*: a job that would
//! wait until its result is worth little is refused while its caller can still turn to
//! another entry, and one for which capacity is expected soon is kept.

use std::time::{Duration, Instant};

use strum::Display;

/// Interval at which a job that can't meet its objective is checked again: the capacity
/// that is expected changes with each end of a run.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Why a best-effort job is ended before its caller has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ExpiryCause {
    /// It may have run, and what waits of it can't end while its caller waits.
    CallerTime,
    /// It can't end while its result has a value, on any backend server.
    LatestStart,
    /// It misses its objective, and no capacity is expected before its latest start.
    NoCapacity,
    /// It has waited for half of the time that its caller waits.
    HeldLong,
    /// No agent grants its claim before its latest start: all that were asked have just
    /// started.
    NoGrant,
}

/// What becomes of a job without a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartVerdict {
    /// It waits; the next check is due at this time.
    Wait {
        /// Time of the next check.
        until: Instant,
    },
    /// It is refused.
    Refuse(ExpiryCause),
}

/// Latest times at which a job may start, on the fastest backend server that can hold it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartBounds {
    /// To meet its objective.
    pub in_time: Instant,
    /// To end while its result has a value and its caller waits.
    pub useful: Instant,
    /// Half of the time that its caller waits.
    pub held: Instant,
}

impl StartBounds {
    /// Whether a start at this time would be too late to be useful, or the job held too long.
    pub fn are_over_by(&self, at: Instant) -> bool {
        self.useful.min(self.held) < at
    }

    /// Decides on the job now; `expected_start` is the time at which capacity is expected
    /// for it.
    pub fn verdict(&self, now: Instant, expected_start: Instant) -> StartVerdict {
        if self.useful <= now {
            return StartVerdict::Refuse(ExpiryCause::LatestStart);
        }
        if self.held <= now {
            return StartVerdict::Refuse(ExpiryCause::HeldLong);
        }
        let last = self.useful.min(self.held);
        if now < self.in_time {
            return StartVerdict::Wait { until: self.in_time.min(last) };
        }
        if expected_start > self.useful {
            return StartVerdict::Refuse(ExpiryCause::NoCapacity);
        }
        StartVerdict::Wait { until: last.min(now + RECHECK_INTERVAL) }
    }

    /// Time of the first check of a job: no sooner than [`RECHECK_INTERVAL`] after
    /// `checked_at`, the latest check of all jobs, unless a bound passes.
    pub(super) fn first_check(&self, checked_at: Instant) -> Instant {
        let in_time = self.in_time.max(checked_at + RECHECK_INTERVAL);
        in_time.min(self.useful).min(self.held)
    }
}
