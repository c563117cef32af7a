//! The duty that carries an entry's calls about queued jobs to the control
//! host that schedules, and brings the catalog of queues.
//!
//! Invariant: a refusal is handed on only if no earlier attempt of the same
//! call may have been accepted.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jsonrpsee::ws_client::WsClient;
use kernel::{Registry, Reservation, RingReceiver, RingSender, SharedClock};
use model::{
    CallId, CatalogQuestion, CommandResult, ControlReplyBody, EntryHost, EventLine, EventLog,
    JobCall, JobCallMessage, JobReply, QueueCatalog, QueueFrontMessage, RefusalCause,
    SchedulingMessage, ServiceName,
};
use tokio::sync::watch;

use crate::edge_runtime::block_on;
use crate::leader_finder::LeaderFinder;
use crate::peer_api::ControlApiClient;

/// Longer than a question for a newer catalog waits.
const WATCH_LIMIT: Duration = Duration::from_millis(1_500);
/// How long one attempt of a call may take.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(700);
/// Pause before a call is tried again while no leader is known.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// When to come back while control can't be reached, in milliseconds.
const AWAY_RETRY_MS: u64 = 500;

/// What an entry's calls are given.
pub struct JobCalls {
    /// The clock.
    pub clock: SharedClock,
    /// Addresses of control hosts.
    pub controls: Vec<SocketAddr>,
    /// Where agents find this entry.
    pub entry: EntryHost,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the queues' front is not registered.
pub fn run(
    ring: &RingReceiver<JobCallMessage>,
    registry: &Registry<ServiceName>,
    calls: JobCalls,
    log: EventLog,
) {
    let front = registry.find(ServiceName::QueueFront).expect("the queue front is registered");
    let scheduling =
        registry.find(ServiceName::JobScheduling).expect("the scheduling duty is registered");
    block_on(async move {
        let (set, connection) = watch::channel(None);
        let watcher = CatalogWatcher {
            finder: LeaderFinder::new(calls.controls.clone()),
            connection: set,
            front,
            scheduling,
            log: log.clone(),
            question: CatalogQuestion { version: 0, entry: calls.entry },
        };
        tokio::task::spawn_local(watcher.run());
        let desk = Rc::new(CallDesk { clock: calls.clock, connection, log });
        while let Some(JobCallMessage::Call { call, job, deadline, reply }) = ring.next().await {
            let desk = Rc::clone(&desk);
            tokio::task::spawn_local(async move { desk.carry(call, job, deadline, reply).await });
        }
    });
}

type Connection = Option<Arc<WsClient>>;

/// Keeps a connection to the leader and asks it for newer catalogs.
struct CatalogWatcher {
    finder: LeaderFinder,
    connection: watch::Sender<Connection>,
    front: RingSender<QueueFrontMessage>,
    scheduling: RingSender<SchedulingMessage>,
    log: EventLog,
    question: CatalogQuestion,
}

impl CatalogWatcher {
    async fn run(mut self) {
        loop {
            let (address, client) = self.finder.connect().await;
            let named = self.watch(address, &client).await;
            if self.connection.send_replace(None).is_some() {
                self.log.warn(EventLine::new("control_lost").with("host", address));
            }
            self.finder.lost(named).await;
        }
    }

    /// Asks one host until it stops answering or does not lead.
    async fn watch(&mut self, address: SocketAddr, client: &Arc<WsClient>) -> Option<SocketAddr> {
        loop {
            let answer =
                tokio::time::timeout(WATCH_LIMIT, client.catalog(self.question.clone())).await;
            let Ok(Ok(body)) = answer else { return None };
            match body {
                ControlReplyBody::Catalog(newer) => self.take_catalog(newer),
                ControlReplyBody::NotLeader { leader } => return leader,
                _ => return None,
            }
            if self.connection.borrow().is_none() {
                self.connection.send_replace(Some(Arc::clone(client)));
                self.log.info(EventLine::new("control_found").with("host", address));
            }
        }
    }

    /// A catalog never gives way to an older one.
    fn take_catalog(&mut self, newer: Option<Arc<QueueCatalog>>) {
        let Some(catalog) = newer else { return };
        if catalog.version <= self.question.version {
            return;
        }
        self.question.version = catalog.version;
        self.log.info(EventLine::new("catalog_in_force").with("version", catalog.version));
        let message = SchedulingMessage::Catalog { catalog: Arc::clone(&catalog) };
        if self.scheduling.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::JobScheduling));
        }
        if self.front.push(QueueFrontMessage::Catalog { catalog }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::QueueFront));
        }
    }
}

struct CallDesk {
    clock: SharedClock,
    connection: watch::Receiver<Connection>,
    log: EventLog,
}

/// What one attempt of a call came to.
enum Attempt {
    Answered(JobReply),
    /// It surely had no effect.
    NotTaken,
    /// It may have had its effect.
    InDoubt,
}

impl CallDesk {
    async fn carry(
        &self,
        call: CallId,
        job: JobCall,
        deadline: Instant,
        reply: Reservation<QueueFrontMessage>,
    ) {
        let answer = self.ask(&job, deadline).await;
        reply.push(QueueFrontMessage::Answer { call, reply: answer });
    }

    /// Asks until an answer is certain or the deadline comes.
    async fn ask(&self, job: &JobCall, deadline: Instant) -> JobReply {
        let mut in_doubt = false;
        loop {
            match self.attempt(job, deadline).await {
                Attempt::Answered(JobReply::Refused { cause, .. }) if in_doubt => {
                    self.note_doubt(job, cause.into());
                    return JobReply::Unclear;
                }
                Attempt::Answered(reply) => return reply,
                Attempt::NotTaken => {}
                Attempt::InDoubt => in_doubt = true,
            }
            if self.clock.now() + RETRY_PAUSE >= deadline {
                self.note_doubt(job, "no_leader_in_time");
                return if in_doubt { JobReply::Unclear } else { away(job) };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt(&self, job: &JobCall, deadline: Instant) -> Attempt {
        let Some(client) = self.connection.borrow().clone() else { return Attempt::NotTaken };
        let left = deadline.saturating_duration_since(self.clock.now()).min(ATTEMPT_LIMIT);
        match tokio::time::timeout(left, client.job(job.clone())).await {
            Ok(Ok(ControlReplyBody::Job(JobReply::Unclear))) => Attempt::InDoubt,
            Ok(Ok(ControlReplyBody::Job(reply))) => Attempt::Answered(reply),
            Ok(Ok(ControlReplyBody::Results(results))) => {
                Attempt::Answered(committed(job, &results))
            }
            Ok(Ok(ControlReplyBody::NotLeader { .. })) => Attempt::NotTaken,
            _ => Attempt::InDoubt,
        }
    }

    fn note_doubt(&self, job: &JobCall, cause: &'static str) {
        let line = EventLine::new("job_call_unclear").with("cause", cause);
        let line = match job.job() {
            Some(id) => line.with("job", id),
            None => line,
        };
        self.log.warn(line);
    }
}

/// What a committed command means for its caller.
fn committed(job: &JobCall, results: &[CommandResult]) -> JobReply {
    match (job, results.first()) {
        (JobCall::Accept { .. }, Some(CommandResult::Done)) => JobReply::Accepted,
        (JobCall::Cancel { .. }, Some(CommandResult::Done)) => JobReply::Cancelled,
        (JobCall::Cancel { .. }, Some(CommandResult::Unclaimed)) => JobReply::UnknownJob,
        _ => JobReply::Unclear,
    }
}

/// Nothing reached control: a job that was handed in surely does not run.
fn away(job: &JobCall) -> JobReply {
    match job {
        JobCall::Accept { .. } => {
            JobReply::Refused { cause: RefusalCause::Busy, retry_after_ms: AWAY_RETRY_MS }
        }
        _ => JobReply::Unclear,
    }
}
