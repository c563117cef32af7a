//! Owns the loop of a duty: wait for a message or the next deadline, hand it
//! to the duty's state, repeat until the ring is closed.

use std::time::Instant;

use crate::clock::SharedClock;
use crate::ring::{Popped, RingReceiver};

/// The state of a duty as two functions, so that the loop stands once.
pub struct DutyState<S, M> {
    /// What the duty owns.
    pub state: S,
    /// Called with each message, or with `None` when the deadline has passed.
    pub handle: fn(&mut S, Instant, Option<M>),
    /// When the duty wants to be called without a message.
    pub next_deadline: fn(&S) -> Option<Instant>,
}

/// Runs a duty until its ring is closed and empty.
pub fn serve<S, M>(ring: &RingReceiver<M>, clock: &SharedClock, duty: DutyState<S, M>) {
    let DutyState { mut state, handle, next_deadline } = duty;
    loop {
        match ring.pop(next_deadline(&state)) {
            Popped::Message(message) => handle(&mut state, clock.now(), Some(message)),
            Popped::DeadlinePassed => handle(&mut state, clock.now(), None),
            Popped::Closed => return,
        }
    }
}
