//! One link from an entry to one agent: connect, watch, carry calls, notice
//! silence.
//!
//! Invariants:
//! - a link on which nothing is heard while calls are open is asked for a sign
//!   of life, an idle one rarely; without one
//!   the connection ends, and with it every call that was open on it;
//! - a link in use is never asked: its answers are signs of life;
//! - each job's reserved room is used exactly once.

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
    StartOrder, TaskQuestion, TaskReport, WorkerId,
};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::agent_links::report;
use crate::peer_api::{AgentApiClient, MOST_MESSAGE_BYTES, NOT_TAKEN};

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// How long an agent may take to give a sign of life.
const SIGN_LIMIT: Duration = Duration::from_millis(1_000);
/// How long an agent waits for news before it answers a watch all the same.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// How long a link may be quiet while nothing depends on it.
const IDLE_QUIET: Duration = Duration::from_secs(15);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
const MOST_CALLS: usize = 65_536;
/// A call's own limit is its task's deadline; this only bounds what a client
/// library keeps.
const LONGEST_CALL: Duration = Duration::from_secs(600);
const FULL_RING_PAUSE: Duration = Duration::from_millis(5);

/// How a link behaves; changes with the configuration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkPlan {
    /// How long a link may be quiet before it is asked for a sign of life.
    pub(crate) interval: Duration,
}

/// What a link is asked to do.
pub(crate) enum LinkJob {
    Start { order: Box<StartOrder>, reply: Reservation<DispatchMessage> },
    Attach { question: TaskQuestion, reply: Reservation<DispatchMessage> },
    Recall { order: RecallOrder, reply: Reservation<DispatchMessage> },
}

impl LinkJob {
    /// Reports that no answer came; `sent` says whether the message may have
    /// left.
    pub(crate) fn give_up(self, worker: &WorkerId, sent: bool) {
        match self {
            LinkJob::Start { order, reply } => {
                let StartOrder { key, attempt, .. } = *order;
                report(reply, worker, LinkEvent::CallLost { key, attempt, sent });
            }
            LinkJob::Attach { question, reply } => {
                // A question that was not sent leaves its task in doubt all the same.
                let TaskQuestion { key, attempt } = question;
                report(reply, worker, LinkEvent::CallLost { key, attempt, sent: true });
            }
            LinkJob::Recall { order, reply } => {
                report(reply, worker, LinkEvent::RecallLost { questions: order.questions });
            }
        }
    }
}

pub(crate) struct LinkTask {
    pub(crate) entry: NodeId,
    pub(crate) worker: WorkerId,
    pub(crate) address: SocketAddr,
    pub(crate) counters: ProcessCounters,
    pub(crate) dispatch: RingSender<DispatchMessage>,
    pub(crate) queue: mpsc::Receiver<LinkJob>,
    pub(crate) plans: watch::Receiver<LinkPlan>,
}

impl LinkTask {
    /// Keeps the link open until the task is aborted.
    pub(crate) async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        loop {
            if let Some(client) = self.connect().await {
                pause = FIRST_PAUSE;
                self.use_connection(client).await;
            }
            self.tell(LinkEvent::Silent).await;
            self.refuse_jobs_for(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn connect(&mut self) -> Option<Arc<WsClient>> {
        let builder = WsClientBuilder::default()
            .connection_timeout(CONNECT_LIMIT)
            .request_timeout(LONGEST_CALL)
            .max_concurrent_requests(MOST_CALLS)
            .max_request_size(MOST_MESSAGE_BYTES)
            .max_response_size(MOST_MESSAGE_BYTES);
        let connecting = builder.build(format!("ws://{}", self.address));
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                connected = &mut connecting => return connected.ok().map(Arc::new),
                Some(job) = self.queue.recv() => job.give_up(&self.worker, false),
            }
        }
    }

    /// Carries calls until the agent gives no sign of life any more.
    async fn use_connection(&mut self, client: Arc<WsClient>) {
        let heard = LastHeard::new();
        let (close, closed) = watch::channel(());
        let mut calls = JoinSet::new();
        let watching = self.watch_agent(Arc::clone(&client), heard.clone());
        let checking = self.check_life(Arc::clone(&client), heard.clone());
        tokio::pin!(watching, checking);
        loop {
            tokio::select! {
                () = &mut watching => break,
                () = &mut checking => break,
                Some(job) = self.queue.recv() => {
                    let worker = self.worker.clone();
                    let call = OpenCall {
                        client: Arc::clone(&client),
                        heard: heard.clone(),
                        worker,
                        closed: closed.clone(),
                    };
                    calls.spawn_local(call.carry(job));
                }
                Some(_ended) = calls.join_next() => {}
            }
        }
        // Every open call learns that no answer will come.
        drop(close);
        while calls.join_next().await.is_some() {}
    }

    /// Asks the agent for news again and again; returns when the connection
    /// ends.
    fn watch_agent(
        &self,
        client: Arc<WsClient>,
        heard: LastHeard,
    ) -> impl Future<Output = ()> + use<> {
        let (entry, worker) = (self.entry.clone(), self.worker.clone());
        let (dispatch, counters) = (self.dispatch.clone(), self.counters.clone());
        async move {
            let mut version = 0;
            loop {
                let wait_ms = WATCH_WAIT.as_millis() as u64;
                let watch = AgentWatch { entry: entry.clone(), version, wait_ms };
                let Ok(view) = client.watch(watch).await else { return };
                heard.note();
                if view.version == version {
                    counters.count_exchange(MessageKind::Heartbeat);
                }
                version = view.version;
                tell(&dispatch, &worker, LinkEvent::View { view }).await;
            }
        }
    }

    /// Asks for a sign of life whenever the link has been quiet; returns when
    /// none comes.
    fn check_life(
        &self,
        client: Arc<WsClient>,
        heard: LastHeard,
    ) -> impl Future<Output = ()> + use<> {
        let (entry, plans) = (self.entry.clone(), self.plans.clone());
        let counters = self.counters.clone();
        async move {
            loop {
                let interval = plans.borrow().interval;
                tokio::time::sleep_until(heard.at().max(heard.checked_at()) + interval).await;
                heard.check();
                if !heard.is_overdue(interval) {
                    continue;
                }
                counters.count_exchange(MessageKind::Heartbeat);
                let watch = AgentWatch { entry: entry.clone(), version: 0, wait_ms: 0 };
                let sign = tokio::time::timeout(SIGN_LIMIT, client.watch(watch)).await;
                if !matches!(sign, Ok(Ok(_))) {
                    return;
                }
                heard.note();
            }
        }
    }

    async fn refuse_jobs_for(&mut self, pause: Duration) {
        let over = tokio::time::sleep(pause);
        tokio::pin!(over);
        loop {
            tokio::select! {
                () = &mut over => return,
                Some(job) = self.queue.recv() => job.give_up(&self.worker, false),
            }
        }
    }

    async fn tell(&self, event: LinkEvent) {
        tell(&self.dispatch, &self.worker, event).await;
    }
}

/// Tells dispatch, waiting while its ring is full: an event of a link must not
/// be lost.
async fn tell(dispatch: &RingSender<DispatchMessage>, worker: &WorkerId, event: LinkEvent) {
    let mut message = DispatchMessage::Link { worker: worker.clone(), event };
    loop {
        match dispatch.push(message) {
            Ok(()) | Err(kernel::PushError::Closed { .. }) => return,
            Err(kernel::PushError::Full { message: refused }) => {
                message = refused;
                tokio::time::sleep(FULL_RING_PAUSE).await;
            }
        }
    }
}

/// When anything was last heard on a connection, and whether calls are open.
#[derive(Clone)]
struct LastHeard {
    at: Rc<Cell<Instant>>,
    checked_at: Rc<Cell<Instant>>,
    open_calls: Rc<Cell<usize>>,
}

impl LastHeard {
    fn new() -> LastHeard {
        let now = Instant::now();
        LastHeard {
            at: Rc::new(Cell::new(now)),
            checked_at: Rc::new(Cell::new(now)),
            open_calls: Rc::default(),
        }
    }

    fn note(&self) {
        self.at.set(Instant::now());
    }

    fn check(&self) {
        self.checked_at.set(Instant::now());
    }

    fn at(&self) -> Instant {
        self.at.get()
    }

    fn checked_at(&self) -> Instant {
        self.checked_at.get()
    }

    fn call_opened(&self) {
        self.open_calls.set(self.open_calls.get() + 1);
    }

    fn call_closed(&self, answered: bool) {
        self.open_calls.set(self.open_calls.get() - 1);
        if answered {
            self.note();
        }
    }

    /// Whether a sign of life is due.
    fn is_overdue(&self, interval: Duration) -> bool {
        let allowed = if self.open_calls.get() > 0 { interval } else { IDLE_QUIET };
        Instant::now() >= self.at() + allowed
    }
}

/// A call on a connection, which may be given up before its answer comes.
struct OpenCall {
    client: Arc<WsClient>,
    heard: LastHeard,
    worker: WorkerId,
    closed: watch::Receiver<()>,
}

impl OpenCall {
    /// Carries one job and reports its answer, or that none came.
    async fn carry(mut self, job: LinkJob) {
        self.heard.call_opened();
        let client = Arc::clone(&self.client);
        match job {
            LinkJob::Start { order, reply } => {
                let (key, attempt) = (order.key.clone(), order.attempt);
                let answer = self.wait(client.start(*order)).await;
                report(reply, &self.worker, report_event(key, attempt, answer));
            }
            LinkJob::Attach { question, reply } => {
                let TaskQuestion { key, attempt } = question.clone();
                let event = match self.wait(client.attach(question)).await {
                    Some(Ok(answer)) => LinkEvent::Report { report: answer },
                    _ => LinkEvent::CallLost { key, attempt, sent: true },
                };
                report(reply, &self.worker, event);
            }
            LinkJob::Recall { order, reply } => {
                let questions = order.questions.clone();
                let event = match self.wait(client.recall(order)).await {
                    Some(Ok(answer)) => LinkEvent::Recalled { answer },
                    _ => LinkEvent::RecallLost { questions },
                };
                report(reply, &self.worker, event);
            }
        }
    }

    /// The answer, or nothing once the connection is given up.
    async fn wait<T>(
        &mut self,
        asking: impl Future<Output = Result<T, ClientError>>,
    ) -> Option<Result<T, ClientError>> {
        let answer = tokio::select! {
            answer = asking => Some(answer),
            _closed = self.closed.changed() => None,
        };
        self.heard.call_closed(matches!(answer, Some(Ok(_))));
        answer
    }
}

fn report_event(
    key: model::TaskKey,
    attempt: model::AttemptId,
    answer: Option<Result<TaskReport, ClientError>>,
) -> LinkEvent {
    match answer {
        Some(Ok(report)) => LinkEvent::Report { report },
        Some(Err(ClientError::Call(error))) if error.code() == NOT_TAKEN => {
            LinkEvent::CallLost { key, attempt, sent: false }
        }
        Some(Err(_)) | None => LinkEvent::CallLost { key, attempt, sent: true },
    }
}
