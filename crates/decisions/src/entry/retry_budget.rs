//! Owns how often a service's work may be tried again, and how long to wait
//! before that.
//!
//! Invariant: over any stretch, retries never exceed the ratio of first tries
//! plus the burst.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

const BURST: f64 = 20.0;
const FIRST_DELAY: Duration = Duration::from_millis(5);
const LONGEST_DELAY: Duration = Duration::from_millis(500);
const MOST_DOUBLINGS: u32 = 10;

/// Token bucket that first tries fill.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget of `ratio` retries for each first try.
    pub fn new(ratio: f64) -> RetryBudget {
        RetryBudget { ratio, tokens: BURST }
    }

    /// Changes the ratio.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts a first try.
    pub fn on_first_try(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(BURST);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Delay before retry number `retry` (from 1): exponential, with full jitter.
///
/// Source: Brooker, "Exponential Backoff and Jitter", 2015.
pub fn backoff_delay(retry: u32, generator: &mut SmallRng) -> Duration {
    let doublings = retry.saturating_sub(1).min(MOST_DOUBLINGS);
    let ceiling = (FIRST_DELAY * 2_u32.pow(doublings)).min(LONGEST_DELAY);
    ceiling.mul_f64(generator.random_range(0.0..1.0))
}
