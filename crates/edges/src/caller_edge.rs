//! The callers' HTTP server of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{Registry, RingReceiver, RingSender, SharedClock, StopSignal};
use model::{
    CallerAnswer, CallerReply, CallerWish, ErrorKind, Failure, JobMessage, MessageKind,
    ProcessCounters, ServiceName,
};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::call_book::CallBook;
use crate::caller_routes::routes;
use crate::edge_runtime::block_on;

/// What the callers' edge is given.
#[derive(Clone)]
pub struct CallerEdge {
    /// The clock.
    pub clock: SharedClock,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Raised while the process drains.
    pub stop: StopSignal,
    /// Largest body in bytes.
    pub body_limit: u64,
    /// Whether a configuration is in force; shown by `/readyz`.
    pub ready: Arc<std::sync::atomic::AtomicBool>,
}

/// What the routes share.
#[derive(Clone)]
pub(crate) struct CallerDesk {
    pub(crate) edge: CallerEdge,
    calls: CallBook<CallerAnswer>,
    own: RingSender<CallerReply>,
    jobs: RingSender<JobMessage>,
}

impl CallerDesk {
    /// Hands a wish to job tracking and waits for its answer.
    pub(crate) async fn ask(&self, wish: CallerWish) -> CallerAnswer {
        let open = self.calls.open();
        let Some(reply) = self.own.reserve() else { return self.no_room(&wish) };
        let arrived = self.edge.clock.now();
        let call = open.call;
        let message = JobMessage::Caller { call, wish, arrived, reply };
        if let Err(error) = self.jobs.push(message) {
            let (kernel::PushError::Full { message } | kernel::PushError::Closed { message }) =
                error;
            let JobMessage::Caller { wish, .. } = message else { return shutting_down() };
            return self.no_room(&wish);
        }
        open.wait().await.unwrap_or_else(shutting_down)
    }

    /// Nothing was handed on. Of an id that the caller chose, an earlier
    /// submission may have run all the same.
    fn no_room(&self, wish: &CallerWish) -> CallerAnswer {
        let kind = match wish {
            CallerWish::Request(intake) if intake.submission.is_none() => ErrorKind::Overloaded,
            _ => ErrorKind::LedgerUnavailable,
        };
        self.edge.counters.fail(kind);
        self.edge.counters.count(MessageKind::Refusal);
        let failure = Failure::new(kind, "this entry is too busy; this request started nothing");
        CallerAnswer::Failed { failure }
    }
}

/// The process ended before the answer came.
fn shutting_down() -> CallerAnswer {
    let detail = "this entry stopped before the answer came; ask again with the same id";
    CallerAnswer::Failed { failure: Failure::new(ErrorKind::OutcomeUnknown, detail) }
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When job tracking is not registered, or the listener is not usable.
pub fn run(
    ring: &RingReceiver<CallerReply>,
    registry: &Registry<ServiceName>,
    edge: CallerEdge,
    listener: std::net::TcpListener,
) {
    let own = registry.find(ServiceName::CallerEdge).expect("the caller edge is registered");
    let jobs = registry.find(ServiceName::JobTracking).expect("job tracking is registered");
    let desk = CallerDesk { edge, calls: CallBook::default(), own, jobs };
    block_on(async move {
        let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
        let (stop, stopped) = oneshot::channel::<()>();
        let server = warp::serve(routes(desk.clone())).incoming(listener).graceful(async move {
            let _closed = stopped.await;
        });
        let server = tokio::task::spawn_local(server.run());
        while let Some(reply) = ring.next().await {
            desk.calls.answer(reply.call, reply.answer);
        }
        drop(stop);
        let _ended = tokio::time::timeout(LAST_ANSWERS, server).await;
    });
}

/// Time for answers that are already written to reach their callers.
const LAST_ANSWERS: std::time::Duration = std::time::Duration::from_millis(500);

/// Listens on `address`.
///
/// # Errors
/// When the operating system refuses.
pub fn listen(address: SocketAddr) -> Result<std::net::TcpListener, crate::EdgeError> {
    use snafu::ResultExt;
    let listener =
        std::net::TcpListener::bind(address).context(crate::edge_error::ListenSnafu { address })?;
    listener.set_nonblocking(true).context(crate::edge_error::ListenSnafu { address })?;
    Ok(listener)
}
