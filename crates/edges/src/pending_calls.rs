//! Owns the pending calls of an edge: matches replies to calls by id.
//!
//! Invariant: a reply is delivered to its own call, or dropped when that call
//! was abandoned.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use model::CallId;
use tokio::sync::oneshot;

/// Pending calls by id. Ids are not reused.
#[derive(Debug)]
pub struct PendingCalls<A> {
    open: Arc<Mutex<IndexMap<CallId, oneshot::Sender<A>>>>,
    next_id: Arc<AtomicU64>,
}

impl<A> Clone for PendingCalls<A> {
    fn clone(&self) -> PendingCalls<A> {
        PendingCalls { open: Arc::clone(&self.open), next_id: Arc::clone(&self.next_id) }
    }
}

impl<A> Default for PendingCalls<A> {
    fn default() -> PendingCalls<A> {
        PendingCalls { open: Arc::default(), next_id: Arc::default() }
    }
}

/// A pending call; dropping it abandons the call.
#[derive(Debug)]
pub struct PendingCall<A> {
    /// Id that the reply must carry.
    pub call: CallId,
    pending: PendingCalls<A>,
    answer: oneshot::Receiver<A>,
}

impl<A> PendingCalls<A> {
    fn lock(&self) -> MutexGuard<'_, IndexMap<CallId, oneshot::Sender<A>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a call under a new id.
    pub fn open(&self) -> PendingCall<A> {
        let call = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.lock().insert(call, sender);
        PendingCall { call, pending: self.clone(), answer }
    }

    /// Delivers the reply to a call; `false` if the call is unknown or was
    /// abandoned.
    pub fn complete(&self, call: CallId, answer: A) -> bool {
        let sender = self.lock().swap_remove(&call);
        sender.is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// Ends the wait of all pending calls without a reply, when the process stops.
    pub fn abandon_all(&self) {
        self.lock().clear();
    }

    /// Number of pending calls.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<A> PendingCall<A> {
    /// Waits for the reply; `None` when the process stops first.
    pub async fn wait(mut self) -> Option<A> {
        (&mut self.answer).await.ok()
    }
}

impl<A> Drop for PendingCall<A> {
    fn drop(&mut self) {
        self.pending.lock().swap_remove(&self.call);
    }
}
