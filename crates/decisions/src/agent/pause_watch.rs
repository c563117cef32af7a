//! Finds the times in which an agent did not run. Its host may have been suspended, and the
//! backend server with it: the server's steady clock stands still then, and so does the lease
//! that it measures on that clock, while the agent's clock goes on.
//!
//! Invariants:
//! - a time in which the host may have been suspended is not counted against the lease: the
//!   whole time between two inputs, if it is longer than [`MAX_INPUT_GAP`];
//! - while the end of a lease is awaited, an input comes at least every [`CHECK_INTERVAL`], so
//!   that waiting alone doesn't put it off.

use std::time::{Duration, Instant};

/// Longest time between two inputs that counts as one in which the agent has run. A lease has a
/// larger margin.
const MAX_INPUT_GAP: Duration = Duration::from_millis(100);

/// Interval of inputs while the end of a lease is awaited.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// When an agent last handled an input.
#[derive(Debug, Clone, Copy)]
pub(super) struct PauseWatch {
    last_input: Instant,
}

impl PauseWatch {
    pub(super) fn new(now: Instant) -> PauseWatch {
        PauseWatch { last_input: now }
    }

    /// Records an input. Returns the time since the one before it, if the host may have been
    /// suspended meanwhile.
    pub(super) fn record_input(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_input);
        self.last_input = self.last_input.max(now);
        (gap > MAX_INPUT_GAP).then_some(gap)
    }

    pub(super) fn last_input(&self) -> Instant {
        self.last_input
    }

    /// Time of the next input while the end of a lease is awaited.
    pub(super) fn next_check(&self) -> Instant {
        self.last_input + CHECK_INTERVAL
    }
}
