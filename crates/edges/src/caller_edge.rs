//! The HTTP server of an entry for callers.

use std::net::SocketAddr;
use std::sync::Arc;

use decisions::connections::ListenerKind;
use kernel::{Registry, RingReceiver, RingSender, SharedClock, StopSignal};
use model::{
    CallerAnswer, CallerReply, CallerRequest, ErrorKind, EventLog, Failure, JobMessage,
    MessageKind, ProcessCounters, ProcessLimits, ServiceName,
};
use tokio::sync::watch;

use crate::caller_routes::{body_limit, refuse_body, routes};
use crate::edge_runtime::{block_on, spawn_lasting};
use crate::http_listener::{HttpServer, ListenerSettings};
use crate::pending_calls::PendingCalls;
use crate::warp_routes::warp_handler;

/// Configuration of the callers' edge.
#[derive(Clone)]
pub struct CallerEdge {
    /// Source of arrival times.
    pub clock: SharedClock,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Raised while the process drains; `/readyz` then fails.
    pub stop: StopSignal,
    /// Maximum size of a request body in bytes.
    pub body_limit: u64,
    /// Limits of the process.
    pub limits: ProcessLimits,
    /// Whether a configuration is in force; shown by `/readyz`.
    pub ready: Arc<std::sync::atomic::AtomicBool>,
}

/// State that the routes share.
#[derive(Clone)]
pub(crate) struct CallerContext {
    pub(crate) edge: CallerEdge,
    calls: PendingCalls<CallerAnswer>,
    replies: RingSender<CallerReply>,
    jobs: RingSender<JobMessage>,
}

impl CallerContext {
    /// Sends a request to job tracking and waits for its answer.
    pub(crate) async fn request(&self, request: CallerRequest) -> CallerAnswer {
        let open = self.calls.open();
        let Some(reply) = self.replies.reserve() else { return self.overloaded(&request) };
        let arrived = self.edge.clock.now();
        let call = open.call;
        let message = JobMessage::Caller { call, request, arrived, reply };
        if let Err(error) = self.jobs.push(message) {
            let (kernel::PushError::Full { message } | kernel::PushError::Closed { message }) =
                error;
            let JobMessage::Caller { request, .. } = message else { return shutting_down() };
            return self.overloaded(&request);
        }
        open.wait().await.unwrap_or_else(shutting_down)
    }

    /// The answer when a ring is full and this request had no effect. If the
    /// caller chose the id, an earlier submission with it may still have run,
    /// so the failure is then not `Overloaded`.
    fn overloaded(&self, request: &CallerRequest) -> CallerAnswer {
        let kind = match request {
            CallerRequest::Request(single) if single.submission.is_none() => ErrorKind::Overloaded,
            _ => ErrorKind::LedgerUnavailable,
        };
        self.edge.counters.count_failure(kind);
        self.edge.counters.count_message(MessageKind::Refusal);
        let failure = Failure::new(kind, "this entry is too busy; this request started nothing");
        CallerAnswer::Failed { failure }
    }
}

/// The answer to calls that are still open when the process stops.
fn shutting_down() -> CallerAnswer {
    let detail = "this entry stopped before the answer came; retry with the same id";
    CallerAnswer::Failed { failure: Failure::new(ErrorKind::OutcomeUnknown, detail) }
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When job tracking or the log writer is not registered, or the listener is not usable.
pub fn run(
    ring: &RingReceiver<CallerReply>,
    registry: &Registry<ServiceName>,
    edge: CallerEdge,
    listener: std::net::TcpListener,
) {
    let replies = registry.find(ServiceName::CallerEdge).expect("the caller edge is registered");
    let jobs = registry.find(ServiceName::JobTracking).expect("job tracking is registered");
    let log = registry.find(ServiceName::LogWriter).expect("the log writer is registered");
    let server = HttpServer::new(ListenerSettings {
        name: "callers",
        clock: edge.clock.clone(),
        log: EventLog::new(log, edge.clock.clone(), edge.counters.clone()),
        counters: edge.counters.clone(),
        kind: ListenerKind::Clients,
        process: edge.limits,
    });
    let context = CallerContext { edge, calls: PendingCalls::default(), replies, jobs };
    block_on(async move {
        let (stop, stopped) = watch::channel(false);
        let limit = context.edge.body_limit;
        let refusal_context = context.clone();
        let handler = warp_handler(
            routes(context.clone()),
            move |parts| body_limit(parts, limit),
            move |refusal| refuse_body(&refusal_context, refusal),
        );
        let server = spawn_lasting(server.serve(listener, handler, stopped));
        while let Some(reply) = ring.next().await {
            context.calls.complete(reply.call, reply.answer);
        }
        context.calls.abandon_all();
        drop(stop);
        let _ended = tokio::time::timeout(FLUSH_TIMEOUT, server).await;
    });
}

/// Time for responses that are already written to reach their callers.
const FLUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// Binds a non-blocking listener to `address`.
///
/// # Errors
/// When the operating system refuses the address.
pub fn listen(address: SocketAddr) -> Result<std::net::TcpListener, crate::EdgeError> {
    use snafu::ResultExt;
    let listener =
        std::net::TcpListener::bind(address).context(crate::edge_error::ListenSnafu { address })?;
    listener.set_nonblocking(true).context(crate::edge_error::ListenSnafu { address })?;
    Ok(listener)
}
