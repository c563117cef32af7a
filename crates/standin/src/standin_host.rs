//! Owns the async runtime of all stand-ins of one run.

use std::future::Future;

use tokio::runtime::{Builder, Runtime};

const WORKER_THREADS: usize = 2;

/// The runtime of the stand-ins; dropping it ends all of them.
#[derive(Debug)]
pub struct StandinHost {
    runtime: Runtime,
}

impl StandinHost {
    /// Starts the runtime.
    ///
    /// # Errors
    /// When the operating system refuses a thread or a file descriptor.
    pub fn start() -> std::io::Result<StandinHost> {
        let runtime =
            Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build()?;
        Ok(StandinHost { runtime })
    }

    /// Runs a future to its end on the calling thread and returns its output.
    pub fn block_on<T>(&self, body: impl Future<Output = T>) -> T {
        self.runtime.block_on(body)
    }

    /// A handle to spawn tasks on the runtime.
    pub fn handle(&self) -> &tokio::runtime::Handle {
        self.runtime.handle()
    }
}
