//! Owns the runtime of an edge: one thread, which is the duty's own.

use std::future::Future;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs `body` to its end on this thread.
///
/// # Panics
/// When the operating system refuses the event queue that a runtime needs.
pub fn block_on(body: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the operating system gives an event queue");
    LocalSet::new().block_on(&runtime, body);
}
