//! Owns the connection from one entry to one agent: reconnects with
//! exponential backoff, watches the agent's view, sends calls, and detects an
//! unresponsive agent by probing.
//!
//! Invariants:
//! - a connection without a reply for the probe interval is probed while calls
//!   are open, and after a longer interval while it is idle; a failed probe
//!   closes the connection, which fails every call that is open on it;
//! - a connection in use is not probed: its replies show that the agent is
//!   alive;
//! - the reply slot reserved for each request is used exactly once.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use kernel::{Reservation, RingSender};
use model::{
    AgentWatch, DispatchMessage, LinkEvent, MessageKind, NodeId, ProcessCounters, RecallOrder,
    StartOrder, TaskQuery, TaskReport, WorkerId,
};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::agent_links::send_event;
use crate::peer_api::{AgentApiClient, MAX_MESSAGE_BYTES, NOT_ACCEPTED};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an agent may take to answer a liveness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an agent holds a watch open before it replies without a change.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// How long a link without open calls may go without contact before it is
/// probed.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(15);
/// Delay before the first reconnection; it doubles up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of calls in flight on one connection.
const MAX_CALLS: usize = 65_536;
/// A call is bounded by its task's deadline; this only bounds how long the
/// client library keeps its state.
const CALL_TIMEOUT: Duration = Duration::from_secs(600);
/// Delay before an event is pushed again to a full ring.
const FULL_RING_DELAY: Duration = Duration::from_millis(5);

/// Settings of a link; they change with the configuration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkSettings {
    /// How long a link with open calls may go without contact before it is
    /// probed.
    pub(crate) probe_interval: Duration,
}

/// A request that a link sends to its agent, with the slot for its reply.
pub(crate) enum LinkRequest {
    Start { order: Box<StartOrder>, reply: Reservation<DispatchMessage> },
    Attach { query: TaskQuery, reply: Reservation<DispatchMessage> },
    Recall { order: RecallOrder, reply: Reservation<DispatchMessage> },
}

impl LinkRequest {
    /// Reports that no reply came; `sent` is whether the message may have been
    /// sent.
    pub(crate) fn report_lost(self, worker: &WorkerId, sent: bool) {
        match self {
            LinkRequest::Start { order, reply } => {
                let StartOrder { key, attempt, .. } = *order;
                send_event(reply, worker, LinkEvent::CallLost { key, attempt, sent });
            }
            LinkRequest::Attach { query, reply } => {
                // The outcome of the task is unknown even if the query was not sent.
                let TaskQuery { key, attempt } = query;
                send_event(reply, worker, LinkEvent::CallLost { key, attempt, sent: true });
            }
            LinkRequest::Recall { order, reply } => {
                send_event(reply, worker, LinkEvent::RecallLost { queries: order.queries });
            }
        }
    }
}

/// The task that runs one link.
pub(crate) struct LinkTask {
    pub(crate) entry: NodeId,
    pub(crate) worker: WorkerId,
    pub(crate) address: SocketAddr,
    pub(crate) counters: ProcessCounters,
    pub(crate) dispatch: RingSender<DispatchMessage>,
    pub(crate) requests: mpsc::Receiver<LinkRequest>,
    pub(crate) settings: watch::Receiver<LinkSettings>,
}

impl LinkTask {
    /// Reconnects and serves requests until the task is aborted.
    pub(crate) async fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            if let Some(client) = self.connect().await {
                backoff = INITIAL_BACKOFF;
                self.run_connection(client).await;
            }
            self.notify(LinkEvent::ContactLost).await;
            self.reject_requests_for(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn connect(&mut self) -> Option<Arc<WsClient>> {
        let builder = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(CALL_TIMEOUT)
            .max_concurrent_requests(MAX_CALLS)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES);
        let connecting = builder.build(format!("ws://{}", self.address));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                connected = &mut connecting => return connected.ok().map(Arc::new),
                Some(request) = self.requests.recv() => request.report_lost(&self.worker, false),
            }
        }
    }

    /// Sends requests until the connection ends or a probe fails.
    async fn run_connection(&mut self, client: Arc<WsClient>) {
        let activity = LinkActivity::new();
        let (close, closed) = watch::channel(());
        let mut calls = JoinSet::new();
        let watching = self.watch_agent(Arc::clone(&client), activity.clone());
        let probing = self.probe_liveness(Arc::clone(&client), activity.clone());
        tokio::pin!(watching, probing);
        loop {
            tokio::select! {
                () = &mut watching => break,
                () = &mut probing => break,
                Some(request) = self.requests.recv() => {
                    let worker = self.worker.clone();
                    let call = OpenCall {
                        client: Arc::clone(&client),
                        activity: activity.clone(),
                        worker,
                        closed: closed.clone(),
                    };
                    calls.spawn_local(call.send(request));
                }
                Some(_ended) = calls.join_next() => {}
            }
        }
        // Closing the channel makes every open call report that no reply came.
        drop(close);
        while calls.join_next().await.is_some() {}
    }

    /// Long-polls the agent for changes of its view; returns when the
    /// connection ends.
    fn watch_agent(
        &self,
        client: Arc<WsClient>,
        activity: LinkActivity,
    ) -> impl Future<Output = ()> + use<> {
        let (entry, worker) = (self.entry.clone(), self.worker.clone());
        let (dispatch, counters) = (self.dispatch.clone(), self.counters.clone());
        async move {
            let mut version = 0;
            loop {
                let wait_ms = WATCH_WAIT.as_millis() as u64;
                let watch = AgentWatch { entry: entry.clone(), version, wait_ms };
                let Ok(view) = client.watch(watch).await else { return };
                activity.record_contact();
                if view.version == version {
                    counters.count_request_reply(MessageKind::Heartbeat);
                }
                version = view.version;
                notify_dispatch(&dispatch, &worker, LinkEvent::View { view }).await;
            }
        }
    }

    /// Probes the agent whenever the link has had no contact for too long;
    /// returns when a probe fails.
    fn probe_liveness(
        &self,
        client: Arc<WsClient>,
        activity: LinkActivity,
    ) -> impl Future<Output = ()> + use<> {
        let (entry, settings) = (self.entry.clone(), self.settings.clone());
        let counters = self.counters.clone();
        async move {
            loop {
                let probe_interval = settings.borrow().probe_interval;
                tokio::time::sleep_until(
                    activity.last_contact().max(activity.probed_at()) + probe_interval,
                )
                .await;
                activity.record_probe();
                if !activity.probe_due(probe_interval) {
                    continue;
                }
                counters.count_request_reply(MessageKind::Heartbeat);
                let watch = AgentWatch { entry: entry.clone(), version: 0, wait_ms: 0 };
                let reply = tokio::time::timeout(PROBE_TIMEOUT, client.watch(watch)).await;
                if !matches!(reply, Ok(Ok(_))) {
                    return;
                }
                activity.record_contact();
            }
        }
    }

    /// Rejects requests as never sent until the backoff has passed.
    async fn reject_requests_for(&mut self, backoff: Duration) {
        let elapsed = tokio::time::sleep(backoff);
        tokio::pin!(elapsed);
        loop {
            tokio::select! {
                () = &mut elapsed => return,
                Some(request) = self.requests.recv() => request.report_lost(&self.worker, false),
            }
        }
    }

    async fn notify(&self, event: LinkEvent) {
        notify_dispatch(&self.dispatch, &self.worker, event).await;
    }
}

/// Sends an event to dispatch, retrying while its ring is full: link events
/// must not be lost.
async fn notify_dispatch(
    dispatch: &RingSender<DispatchMessage>,
    worker: &WorkerId,
    event: LinkEvent,
) {
    let mut message = DispatchMessage::Link { worker: worker.clone(), event };
    loop {
        match dispatch.push(message) {
            Ok(()) | Err(kernel::PushError::Closed { .. }) => return,
            Err(kernel::PushError::Full { message: returned }) => {
                message = returned;
                tokio::time::sleep(FULL_RING_DELAY).await;
            }
        }
    }
}

/// Activity of a connection: the times of the last contact, which is a reply
/// from the agent, and of the last probe check, and the number of open calls.
#[derive(Clone)]
struct LinkActivity {
    last_contact: Rc<Cell<Instant>>,
    probed_at: Rc<Cell<Instant>>,
    open_calls: Rc<Cell<usize>>,
}

impl LinkActivity {
    fn new() -> LinkActivity {
        let now = Instant::now();
        LinkActivity {
            last_contact: Rc::new(Cell::new(now)),
            probed_at: Rc::new(Cell::new(now)),
            open_calls: Rc::default(),
        }
    }

    fn record_contact(&self) {
        self.last_contact.set(Instant::now());
    }

    fn record_probe(&self) {
        self.probed_at.set(Instant::now());
    }

    fn last_contact(&self) -> Instant {
        self.last_contact.get()
    }

    fn probed_at(&self) -> Instant {
        self.probed_at.get()
    }

    fn call_opened(&self) {
        self.open_calls.set(self.open_calls.get() + 1);
    }

    fn call_closed(&self, answered: bool) {
        self.open_calls.set(self.open_calls.get() - 1);
        if answered {
            self.record_contact();
        }
    }

    /// Whether the time since the last contact exceeds the limit, which is longer
    /// without open calls.
    fn probe_due(&self, probe_interval: Duration) -> bool {
        let limit = if self.open_calls.get() > 0 { probe_interval } else { IDLE_PROBE_INTERVAL };
        Instant::now() >= self.last_contact() + limit
    }
}

/// A call on a connection; it is abandoned when the connection closes.
struct OpenCall {
    client: Arc<WsClient>,
    activity: LinkActivity,
    worker: WorkerId,
    closed: watch::Receiver<()>,
}

impl OpenCall {
    /// Sends one request and reports its reply, or that none came.
    async fn send(mut self, request: LinkRequest) {
        self.activity.call_opened();
        let client = Arc::clone(&self.client);
        match request {
            LinkRequest::Start { order, reply } => {
                let (key, attempt) = (order.key.clone(), order.attempt);
                let answer = self.wait_for_reply(client.start(*order)).await;
                send_event(reply, &self.worker, start_event(key, attempt, answer));
            }
            LinkRequest::Attach { query, reply } => {
                let TaskQuery { key, attempt } = query.clone();
                let event = match self.wait_for_reply(client.attach(query)).await {
                    Some(Ok(answer)) => LinkEvent::Report { report: answer },
                    _ => LinkEvent::CallLost { key, attempt, sent: true },
                };
                send_event(reply, &self.worker, event);
            }
            LinkRequest::Recall { order, reply } => {
                let queries = order.queries.clone();
                let event = match self.wait_for_reply(client.recall(order)).await {
                    Some(Ok(answer)) => LinkEvent::Recalled { answer },
                    _ => LinkEvent::RecallLost { queries },
                };
                send_event(reply, &self.worker, event);
            }
        }
    }

    /// Waits for the reply; `None` when the connection closes first.
    async fn wait_for_reply<T>(
        &mut self,
        response: impl Future<Output = Result<T, ClientError>>,
    ) -> Option<Result<T, ClientError>> {
        let answer = tokio::select! {
            answer = response => Some(answer),
            _closed = self.closed.changed() => None,
        };
        self.activity.call_closed(matches!(answer, Some(Ok(_))));
        answer
    }
}

/// The event for the result of a start call; `sent` is false only when the
/// agent replied that it did not accept the order.
fn start_event(
    key: model::TaskKey,
    attempt: model::AttemptId,
    answer: Option<Result<TaskReport, ClientError>>,
) -> LinkEvent {
    match answer {
        Some(Ok(report)) => LinkEvent::Report { report },
        Some(Err(ClientError::Call(error))) if error.code() == NOT_ACCEPTED => {
            LinkEvent::CallLost { key, attempt, sent: false }
        }
        Some(Err(_)) | None => LinkEvent::CallLost { key, attempt, sent: true },
    }
}
