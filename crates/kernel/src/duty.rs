//! Owns the event loop of a duty: waits for a message or the next deadline,
//! passes it to the duty's handler, and repeats until the ring is closed and
//! empty. The wait for the deadline uses the system's monotonic clock, also when
//! the duty's own clock is a manual one.

use std::time::Instant;

use crate::clock::SharedClock;
use crate::ring::{PopResult, RingReceiver};

/// State and handlers of a duty that runs in the shared event loop.
pub struct DutyHandler<S, M> {
    /// State owned by the duty's thread.
    pub state: S,
    /// Handles a message, or `None` when the deadline has passed.
    pub handle: fn(&mut S, Instant, Option<M>),
    /// Next time at which `handle` must run without a message, if any.
    pub next_deadline: fn(&S) -> Option<Instant>,
}

/// Runs the event loop of a duty; returns when its ring is closed and empty.
pub fn run_duty<S, M>(ring: &RingReceiver<M>, clock: &SharedClock, duty: DutyHandler<S, M>) {
    let DutyHandler { mut state, handle, next_deadline } = duty;
    loop {
        match ring.pop(next_deadline(&state)) {
            PopResult::Message(message) => handle(&mut state, clock.now(), Some(message)),
            PopResult::DeadlinePassed => handle(&mut state, clock.now(), None),
            PopResult::Closed => return,
        }
    }
}
