//! Owns the runtime on which all stand-ins of one run live.

use std::future::Future;

use tokio::runtime::{Builder, Runtime};

/// Threads of the stand-ins' runtime.
const THREADS: usize = 2;

/// The runtime of the stand-ins; dropping it ends them all.
#[derive(Debug)]
pub struct StandinHost {
    runtime: Runtime,
}

impl StandinHost {
    /// Starts the runtime.
    ///
    /// # Errors
    /// When the operating system refuses.
    pub fn start() -> std::io::Result<StandinHost> {
        let runtime = Builder::new_multi_thread().worker_threads(THREADS).enable_all().build()?;
        Ok(StandinHost { runtime })
    }

    /// Runs `body` to its end and returns what it gives.
    pub fn block_on<T>(&self, body: impl Future<Output = T>) -> T {
        self.runtime.block_on(body)
    }

    /// A handle on which tasks can be spawned.
    pub fn handle(&self) -> &tokio::runtime::Handle {
        self.runtime.handle()
    }
}
