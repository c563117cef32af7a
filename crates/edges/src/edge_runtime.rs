//! Owns the async runtime of an edge, which runs on the duty's own thread.

use std::future::Future;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs `body` to completion on this thread.
///
/// # Panics
/// When the operating system refuses the event queue that the runtime needs.
pub fn block_on(body: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the operating system provides an event queue");
    LocalSet::new().block_on(&runtime, body);
}
