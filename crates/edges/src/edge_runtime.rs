//! Owns the async runtime of an edge, which runs on the duty's own thread.
//!
//! Invariants:
//! - a task of one call or connection that panics ends alone, and with it the connection;
//! - a lasting task that panics ends its duty, which would otherwise go on without it: with
//!   a listener that accepts nothing, or without the connection to a peer.

use std::any::Any;
use std::cell::RefCell;
use std::future::Future;
use std::panic::{AssertUnwindSafe, resume_unwind};

use futures_util::FutureExt;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet};

/// What a panicking task left.
type Panic = Box<dyn Any + Send>;

thread_local! {
    /// Takes the panics of the lasting tasks of this thread's runtime.
    static PANICS: RefCell<Option<mpsc::UnboundedSender<Panic>>> = const { RefCell::new(None) };
}

/// Runs `body` to completion on this thread.
///
/// # Panics
/// When the operating system refuses the event queue that the runtime needs. Resumes the
/// panic of a lasting task.
pub fn block_on(body: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the operating system provides an event queue");
    let (sender, mut panics) = mpsc::unbounded_channel();
    PANICS.set(Some(sender));
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            () = body => {}
            Some(panic) = panics.recv() => resume_unwind(panic),
        }
    });
    PANICS.set(None);
}

/// Spawns a task that the duty needs for as long as it runs.
pub fn spawn_lasting<F>(task: F) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(async move {
        if let Err(panic) = AssertUnwindSafe(task).catch_unwind().await {
            PANICS.with_borrow(|panics| {
                if let Some(panics) = panics {
                    let _duty_ends = panics.send(panic);
                }
            });
        }
    })
}
