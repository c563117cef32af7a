//! Owns the calls that wait for an answer at an edge.
//!
//! Invariant: an answer reaches the call it belongs to, or nobody.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use model::CallId;
use tokio::sync::oneshot;

/// Open calls by id. Ids are never used twice.
#[derive(Debug)]
pub struct CallBook<A> {
    open: Arc<Mutex<IndexMap<CallId, oneshot::Sender<A>>>>,
    next: Arc<AtomicU64>,
}

impl<A> Clone for CallBook<A> {
    fn clone(&self) -> CallBook<A> {
        CallBook { open: Arc::clone(&self.open), next: Arc::clone(&self.next) }
    }
}

impl<A> Default for CallBook<A> {
    fn default() -> CallBook<A> {
        CallBook { open: Arc::default(), next: Arc::default() }
    }
}

/// A call that waits; dropping it gives the call up.
#[derive(Debug)]
pub struct OpenCall<A> {
    /// The call's id.
    pub call: CallId,
    book: CallBook<A>,
    answer: oneshot::Receiver<A>,
}

impl<A> CallBook<A> {
    fn lock(&self) -> MutexGuard<'_, IndexMap<CallId, oneshot::Sender<A>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a call.
    pub fn open(&self) -> OpenCall<A> {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.lock().insert(call, sender);
        OpenCall { call, book: self.clone(), answer }
    }

    /// Gives a call its answer; `false` when nobody waits for it any more.
    pub fn answer(&self, call: CallId, answer: A) -> bool {
        let sender = self.lock().swap_remove(&call);
        sender.is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<A> OpenCall<A> {
    /// Waits for the answer; `None` when the process stops first.
    pub async fn wait(mut self) -> Option<A> {
        (&mut self.answer).await.ok()
    }
}

impl<A> Drop for OpenCall<A> {
    fn drop(&mut self) {
        self.book.lock().swap_remove(&self.call);
    }
}
