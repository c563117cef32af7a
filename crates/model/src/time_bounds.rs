//! Sums and multiples of times that never overflow.
//!
//! Times come from other processes, from callers and from operators, and the standard
//! library's sums of them panic on overflow. Every value is limited where it is
//! decoded; these functions are for the arithmetic on what was decoded, which also
//! comes from journals of earlier versions.

use std::time::{Duration, Instant};

/// Longest span of time that is told from "never": 100 years.
pub const MAX_SPAN: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

/// The time `span` after `at`, and at most [`MAX_SPAN`] after it.
pub fn later(at: Instant, span: Duration) -> Instant {
    at + span.min(MAX_SPAN)
}

/// The sum of two spans, at most [`MAX_SPAN`].
pub fn span_sum(first: Duration, second: Duration) -> Duration {
    first.saturating_add(second).min(MAX_SPAN)
}

/// A span times a factor, at most [`MAX_SPAN`]. A factor that is negative or not a
/// number gives zero.
pub fn scaled(span: Duration, factor: f64) -> Duration {
    span_of_secs(span.as_secs_f64() * factor)
}

/// A span of this many seconds, at most [`MAX_SPAN`]; zero if they are negative or not
/// a number.
pub fn span_of_secs(seconds: f64) -> Duration {
    let seconds = seconds.max(0.0);
    Duration::try_from_secs_f64(seconds).map_or(MAX_SPAN, |span| span.min(MAX_SPAN))
}
