//! Owns the event loops of duties: wait for a message or the next deadline,
//! pass it to the duty's handler, and repeat until the ring is closed and
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

/// Most messages that a batched duty takes in before it settles.
const MAX_BATCH: usize = 64;

/// State and handlers of a duty that takes in all messages that have arrived before
/// it acts on them, so that a duty that lags spends less on each.
pub struct BatchHandler<S, M> {
    /// State owned by the duty's thread.
    pub state: S,
    /// Takes in a message.
    pub receive: fn(&mut S, Instant, M),
    /// Handles the passing of a deadline while no message waits.
    pub on_deadline: fn(&mut S, Instant),
    /// Acts on the messages received since the last call, and on what is due.
    pub settle: fn(&mut S, Instant),
    /// Next time at which `on_deadline` and `settle` must run without a message, if
    /// any.
    pub next_deadline: fn(&S) -> Option<Instant>,
}

/// Runs the event loop of a batched duty; returns when its ring is closed and empty.
pub fn run_batched_duty<S, M>(
    ring: &RingReceiver<M>,
    clock: &SharedClock,
    duty: BatchHandler<S, M>,
) {
    let BatchHandler { mut state, receive, on_deadline, settle, next_deadline } = duty;
    loop {
        match ring.pop(next_deadline(&state)) {
            PopResult::Message(message) => {
                receive(&mut state, clock.now(), message);
                for _ in 1..MAX_BATCH {
                    let Some(message) = ring.try_next() else { break };
                    receive(&mut state, clock.now(), message);
                }
            }
            PopResult::DeadlinePassed => on_deadline(&mut state, clock.now()),
            PopResult::Closed => return,
        }
        settle(&mut state, clock.now());
    }
}
