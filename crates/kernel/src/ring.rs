//! Owns the bounded rings that join duties.
//!
//! Invariants:
//! - queued messages plus reserved room never exceed the capacity;
//! - `push` never blocks: a full ring is an answer, not a wait;
//! - a reservation always finds its room, so an answer can't be refused;
//! - an empty ring parks its receiver at once (thread or async task).
//!
//! A channel library was not taken because the common ones spin briefly
//! before they park, and none offers reserved room.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use snafu::Snafu;

/// Why a message was not taken; it is handed back.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum PushError<T> {
    /// The ring holds as many messages and reservations as it may.
    #[snafu(display("the ring is full"))]
    Full {
        /// The message that was not taken.
        message: T,
    },
    /// The receiving duty has stopped.
    #[snafu(display("the ring is closed"))]
    Closed {
        /// The message that was not taken.
        message: T,
    },
}

/// What a receiver found.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// The oldest message.
    Message(T),
    /// Nothing came before the deadline.
    DeadlinePassed,
    /// The ring is closed and empty.
    Closed,
}

struct RingState<T> {
    queue: VecDeque<T>,
    reserved: usize,
    closed: bool,
    waker: Option<Waker>,
}

struct RingCore<T> {
    capacity: usize,
    state: Mutex<RingState<T>>,
    arrival: Condvar,
}

impl<T> RingCore<T> {
    fn lock(&self) -> MutexGuard<'_, RingState<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the receiver, whichever way it waits, after the lock is gone.
    fn announce(&self, mut state: MutexGuard<'_, RingState<T>>) {
        let waker = state.waker.take();
        drop(state);
        match waker {
            Some(waker) => waker.wake(),
            None => self.arrival.notify_one(),
        }
    }
}

/// The sending side; clones share one ring.
pub struct RingSender<T> {
    core: Arc<RingCore<T>>,
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> RingSender<T> {
        RingSender { core: Arc::clone(&self.core) }
    }
}

/// The receiving side; one duty owns it.
pub struct RingReceiver<T> {
    core: Arc<RingCore<T>>,
}

/// Room for one message that is certain to be taken.
pub struct Reservation<T> {
    core: Option<Arc<RingCore<T>>>,
}

/// Creates a ring for `capacity` messages.
pub fn bounded<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let state = RingState { queue: VecDeque::new(), reserved: 0, closed: false, waker: None };
    let core = Arc::new(RingCore { capacity, state: Mutex::new(state), arrival: Condvar::new() });
    (RingSender { core: Arc::clone(&core) }, RingReceiver { core })
}

impl<T> RingSender<T> {
    /// Puts `message` at the end of the ring without waiting.
    ///
    /// # Errors
    /// `Full` and `Closed` hand the message back.
    pub fn push(&self, message: T) -> Result<(), PushError<T>> {
        let mut state = self.core.lock();
        if state.closed {
            return Err(PushError::Closed { message });
        }
        if state.queue.len() + state.reserved >= self.core.capacity {
            return Err(PushError::Full { message });
        }
        state.queue.push_back(message);
        self.core.announce(state);
        Ok(())
    }

    /// Sets room aside for one later message; `None` when the ring is full or
    /// closed.
    pub fn reserve(&self) -> Option<Reservation<T>> {
        let mut state = self.core.lock();
        if state.closed || state.queue.len() + state.reserved >= self.core.capacity {
            return None;
        }
        state.reserved += 1;
        Some(Reservation { core: Some(Arc::clone(&self.core)) })
    }

    /// Closes the ring: what is queued can still be received.
    pub fn close(&self) {
        let mut state = self.core.lock();
        state.closed = true;
        self.core.announce(state);
    }

    /// Messages queued now.
    pub fn depth(&self) -> usize {
        self.core.lock().queue.len()
    }
}

impl<T> Reservation<T> {
    /// Uses the reserved room. A message to a stopped duty is dropped: nobody
    /// is left to read it.
    pub fn push(mut self, message: T) {
        let Some(core) = self.core.take() else { return };
        let mut state = core.lock();
        state.reserved -= 1;
        if !state.closed {
            state.queue.push_back(message);
        }
        core.announce(state);
    }
}

impl<T> Drop for Reservation<T> {
    fn drop(&mut self) {
        if let Some(core) = self.core.take() {
            core.lock().reserved -= 1;
        }
    }
}

impl<T> std::fmt::Debug for RingSender<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RingSender").field("capacity", &self.core.capacity).finish_non_exhaustive()
    }
}

impl<T> std::fmt::Debug for Reservation<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Reservation")
    }
}

impl<T> RingReceiver<T> {
    /// Takes the oldest message, parking until one comes, `deadline` passes or
    /// the ring is closed.
    pub fn pop(&self, deadline: Option<Instant>) -> Popped<T> {
        let mut state = self.core.lock();
        loop {
            if let Some(message) = state.queue.pop_front() {
                return Popped::Message(message);
            }
            if state.closed {
                return Popped::Closed;
            }
            let Some(deadline) = deadline else {
                state = self.core.arrival.wait(state).unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Popped::DeadlinePassed;
            }
            let (guard, _) =
                self.core.arrival.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner);
            state = guard;
        }
    }

    /// Takes the oldest message in an async task; `None` once the ring is
    /// closed and empty.
    pub async fn next(&self) -> Option<T> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Takes the oldest message if there is one now.
    pub fn try_next(&self) -> Option<T> {
        self.core.lock().queue.pop_front()
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<T>> {
        let mut state = self.core.lock();
        if let Some(message) = state.queue.pop_front() {
            return Poll::Ready(Some(message));
        }
        if state.closed {
            return Poll::Ready(None);
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl<T> Drop for RingReceiver<T> {
    fn drop(&mut self) {
        let mut state = self.core.lock();
        state.closed = true;
        state.queue.clear();
    }
}
