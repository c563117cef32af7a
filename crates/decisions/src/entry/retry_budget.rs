//! Owns a service's retry budget, a token bucket, and computes the backoff
//! before a retry.
//!
//! Invariant: over any interval, retries never exceed the ratio of first
//! attempts plus the burst of `MAX_TOKENS`.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// Capacity of the bucket, in retries.
const MAX_TOKENS: f64 = 20.0;
/// Upper bounds of the jittered delay before the first and before any later
/// retry.
const BASE_DELAY: Duration = Duration::from_millis(5);
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Limit that keeps the doubled delay from overflowing.
const MAX_DOUBLINGS: u32 = 10;

/// Token bucket that first attempts refill; each retry consumes one token.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget that gains `ratio` retries with each first
    /// attempt.
    pub fn new(ratio: f64) -> RetryBudget {
        RetryBudget { ratio, tokens: MAX_TOKENS }
    }

    /// Sets the retries gained with each first attempt.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds the tokens of a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
    }

    /// Consumes a token for a retry; returns false if none is left.
    pub fn try_take(&mut self) -> bool {
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
pub fn backoff_delay(retry: u32, rng: &mut SmallRng) -> Duration {
    let doublings = retry.saturating_sub(1).min(MAX_DOUBLINGS);
    let ceiling = (BASE_DELAY * 2_u32.pow(doublings)).min(MAX_DELAY);
    ceiling.mul_f64(rng.random_range(0.0..1.0))
}
