//! Owns the bounded rings that connect duties.
//!
//! Invariants:
//! - queued messages plus reserved slots never exceed the capacity;
//! - `push` never blocks: a full ring is reported to the sender (backpressure);
//! - a reservation always has its slot, so a reply is never refused because the
//!   ring is full;
//! - the receiver of an empty ring parks at once, as a thread or an async task;
//! - a sender wakes the receiver only while it is parked.
//!
//! No channel library is used, because the common ones spin briefly before they
//! park and none offers reserved slots.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use snafu::Snafu;

use crate::clock::{Clock, SystemClock};

/// Why a message was not accepted; returns the message.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum PushError<T> {
    /// Queued messages and reserved slots have reached the capacity.
    #[snafu(display("the ring is full"))]
    Full {
        /// The rejected message.
        message: T,
    },
    /// The ring was closed because its duty has stopped or is stopping.
    #[snafu(display("the ring is closed"))]
    Closed {
        /// The rejected message.
        message: T,
    },
}

/// Result of [`RingReceiver::pop`].
#[derive(Debug, PartialEq, Eq)]
pub enum PopResult<T> {
    /// The oldest queued message.
    Message(T),
    /// No message arrived before the deadline.
    DeadlinePassed,
    /// The ring is closed and its queue is empty.
    Closed,
}

struct RingState<T> {
    queue: VecDeque<T>,
    reserved: usize,
    closed: bool,
    /// Whether the receiver is parked as a thread.
    parked: bool,
    /// Wakes the receiver while it is parked as an async task.
    waker: Option<Waker>,
}

struct RingCore<T> {
    capacity: usize,
    state: Mutex<RingState<T>>,
    wakeup: Condvar,
}

impl<T> RingCore<T> {
    fn lock(&self) -> MutexGuard<'_, RingState<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases the lock, then wakes the receiver if it is parked.
    fn wake_receiver(&self, mut state: MutexGuard<'_, RingState<T>>) {
        let waker = state.waker.take();
        let parked = state.parked;
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        } else if parked {
            self.wakeup.notify_one();
        }
    }

    /// Parks the receiver's thread until it is woken or `timeout` has passed.
    fn park<'a>(
        &self,
        mut state: MutexGuard<'a, RingState<T>>,
        timeout: Option<Duration>,
    ) -> MutexGuard<'a, RingState<T>> {
        state.parked = true;
        let mut state = match timeout {
            None => self.wakeup.wait(state).unwrap_or_else(PoisonError::into_inner),
            Some(timeout) => {
                let woken = self.wakeup.wait_timeout(state, timeout);
                woken.unwrap_or_else(PoisonError::into_inner).0
            }
        };
        state.parked = false;
        state
    }
}

/// The sending side of a ring; clones share the ring.
pub struct RingSender<T> {
    core: Arc<RingCore<T>>,
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> RingSender<T> {
        RingSender { core: Arc::clone(&self.core) }
    }
}

/// The receiving side of a ring, owned by one duty.
pub struct RingReceiver<T> {
    core: Arc<RingCore<T>>,
}

/// A slot reserved for one message, which a full ring can't refuse. Dropping it
/// releases the slot.
pub struct Reservation<T> {
    core: Option<Arc<RingCore<T>>>,
}

/// Creates a ring for at most `capacity` queued messages and reserved slots.
pub fn bounded<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let state = RingState {
        queue: VecDeque::new(),
        reserved: 0,
        closed: false,
        parked: false,
        waker: None,
    };
    let core = Arc::new(RingCore { capacity, state: Mutex::new(state), wakeup: Condvar::new() });
    (RingSender { core: Arc::clone(&core) }, RingReceiver { core })
}

impl<T> RingSender<T> {
    /// Appends `message` to the ring without waiting.
    ///
    /// # Errors
    /// `Full` and `Closed` return the message.
    pub fn push(&self, message: T) -> Result<(), PushError<T>> {
        let mut state = self.core.lock();
        if state.closed {
            return Err(PushError::Closed { message });
        }
        if state.queue.len() + state.reserved >= self.core.capacity {
            return Err(PushError::Full { message });
        }
        state.queue.push_back(message);
        self.core.wake_receiver(state);
        Ok(())
    }

    /// Reserves a slot for one later message. Returns `None` when the ring is
    /// full or closed.
    pub fn reserve(&self) -> Option<Reservation<T>> {
        let mut state = self.core.lock();
        if state.closed || state.queue.len() + state.reserved >= self.core.capacity {
            return None;
        }
        state.reserved += 1;
        Some(Reservation { core: Some(Arc::clone(&self.core)) })
    }

    /// Closes the ring. Queued messages can still be received.
    pub fn close(&self) {
        let mut state = self.core.lock();
        state.closed = true;
        self.core.wake_receiver(state);
    }

    /// Number of messages queued now, without reserved slots.
    pub fn depth(&self) -> usize {
        self.core.lock().queue.len()
    }
}

impl<T> Reservation<T> {
    /// Uses the reserved slot. A message to a closed ring is dropped, because
    /// its duty no longer reads it.
    pub fn push(mut self, message: T) {
        let Some(core) = self.core.take() else { return };
        let mut state = core.lock();
        state.reserved -= 1;
        if !state.closed {
            state.queue.push_back(message);
        }
        core.wake_receiver(state);
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
    /// Removes the oldest message. Parks until one arrives, `deadline` passes
    /// or the ring is closed.
    pub fn pop(&self, deadline: Option<Instant>) -> PopResult<T> {
        let mut state = self.core.lock();
        loop {
            if let Some(message) = state.queue.pop_front() {
                return PopResult::Message(message);
            }
            if state.closed {
                return PopResult::Closed;
            }
            let remaining = deadline.map(|at| at.saturating_duration_since(SystemClock.now()));
            if remaining.is_some_and(|remaining| remaining.is_zero()) {
                return PopResult::DeadlinePassed;
            }
            state = self.core.park(state, remaining);
        }
    }

    /// Removes the oldest message in an async task, waiting until one arrives.
    /// Returns `None` once the ring is closed and empty.
    pub async fn next(&self) -> Option<T> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Removes the oldest message, if any, without waiting.
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
