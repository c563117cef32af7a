//! The duty that sends an entry's calls about queued jobs to the leading control
//! host, with retries until the call's deadline, and watches the catalog of
//! queues.
//!
//! Invariant: a refusal is forwarded only if no earlier attempt of the same call
//! can have been accepted.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jsonrpsee::ws_client::WsClient;
use kernel::{Registry, Reservation, RingReceiver, RingSender, SharedClock};
use model::{
    CallId, CatalogQuery, CommandResult, ControlReplyBody, EntryHost, EvacuationList, EventLine,
    EventLog, JobCall, JobCallMessage, JobReply, LeaderHint, QueueCatalog, QueueFrontMessage,
    RefusalCause, SchedulingMessage, ServiceName, is_reachable_index,
};
use tokio::sync::watch;

use crate::edge_runtime::{block_on, spawn_lasting};
use crate::leader_finder::{HostAnswer, LeaderFinder};
use crate::peer_api::ControlApiClient;
use crate::peer_connection::connect;

/// Timeout of a catalog watch; longer than control holds one open without a
/// change.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a host may take to answer whether it leads, once it is connected.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one attempt of a call.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Retry-after value of refusals while control can't be reached.
const UNREACHABLE_RETRY_MS: u64 = 500;

/// Configuration of an entry's calls.
pub struct JobCalls {
    /// Clock of the calls' deadlines.
    pub clock: SharedClock,
    /// Addresses of control hosts.
    pub controls: Vec<SocketAddr>,
    /// Name and address under which agents find this entry.
    pub entry: EntryHost,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the queue front or the scheduling duty is not registered.
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
        let (connection_sender, connection) = watch::channel(None);
        let (clock, name) = (calls.clock.clone(), calls.entry.name.clone());
        let query = CatalogQuery {
            version: 0,
            entry: calls.entry,
            group_version: Some((0, 0)),
            evacuation_version: Some(0),
        };
        let watcher = CatalogWatcher {
            finder: LeaderFinder::new(clock.clone(), calls.controls, &name, Some(log.clone())),
            clock,
            connection: connection_sender,
            front,
            scheduling,
            log: log.clone(),
            query,
        };
        spawn_lasting(watcher.run());
        let context = Rc::new(CallContext { clock: calls.clock, connection, log });
        while let Some(JobCallMessage::Call { call, job, deadline, reply }) = ring.next().await {
            let context = Rc::clone(&context);
            tokio::task::spawn_local(
                async move { context.run_call(call, job, deadline, reply).await },
            );
        }
    });
}

/// The connection to the leader, while there is one.
type Connection = Option<Arc<WsClient>>;

/// Keeps a connection to the leader and long-polls it for newer catalogs.
struct CatalogWatcher {
    finder: LeaderFinder,
    clock: SharedClock,
    connection: watch::Sender<Connection>,
    front: RingSender<QueueFrontMessage>,
    scheduling: RingSender<SchedulingMessage>,
    log: EventLog,
    query: CatalogQuery,
}

/// The leader's first answer, and when it was asked.
type FirstAnswer = (Arc<WsClient>, Instant, ControlReplyBody);

impl CatalogWatcher {
    async fn run(mut self) {
        loop {
            // Every leader answers this at once, as the entry claims to know no group.
            let query = CatalogQuery { group_version: Some((0, 0)), ..self.query.clone() };
            let clock = self.clock.clone();
            let ask = async |host| ask_leader(host, &query, &clock).await;
            let (host, (client, sent_at, body)) = self.finder.find(ask).await;
            self.follow(host, &client, sent_at, body).await;
            if self.connection.send_replace(None).is_some() {
                let age = self.clock.now().saturating_duration_since(sent_at);
                let line = EventLine::new("control_lost").with("host", host);
                self.log.warn(line.with("followed_ms", age.as_millis()));
            }
        }
    }

    /// Polls the leader until a call fails or the host does not lead any more.
    async fn follow(
        &mut self,
        host: SocketAddr,
        client: &Arc<WsClient>,
        mut sent_at: Instant,
        mut body: ControlReplyBody,
    ) {
        if let ControlReplyBody::Catalog(_) | ControlReplyBody::Evacuation(_) = &body {
            self.finder.confirm(host, &LeaderHint::default());
        }
        self.connection.send_replace(Some(Arc::clone(client)));
        self.log.info(EventLine::new("control_found").with("host", host));
        loop {
            match body {
                ControlReplyBody::Catalog(newer) => self.update_catalog(sent_at, newer),
                ControlReplyBody::Group(hint) => {
                    self.query.group_version = Some(hint.group_version());
                    self.finder.confirm(host, &hint);
                }
                ControlReplyBody::Evacuation(list) if self.is_reachable(&list) => {
                    self.update_evacuation(list);
                }
                ControlReplyBody::NotLeader(hint) => return self.finder.deny(host, &hint),
                _ => return self.finder.lose(host),
            }
            sent_at = self.clock.now();
            let watch = client.catalog(self.query.clone());
            body = match tokio::time::timeout(WATCH_TIMEOUT, watch).await {
                Ok(Ok(body)) => body,
                _ => return self.finder.lose(host),
            };
        }
    }

    /// Forwards a newer catalog, or the confirmation of the one that is known; an older
    /// one never replaces it.
    fn update_catalog(&mut self, sent_at: Instant, newer: Option<Arc<QueueCatalog>>) {
        let newer = newer.filter(|catalog| catalog.version > self.query.version);
        let Some(catalog) = newer else {
            // Without this message the catalog only seems older than it is.
            let _full = self.front.push(QueueFrontMessage::CatalogConfirmed { at: sent_at });
            return;
        };
        let version = catalog.version;
        let message = SchedulingMessage::Catalog { catalog: Arc::clone(&catalog) };
        if self.scheduling.push(message).is_err() {
            return self.log_full_ring(ServiceName::JobScheduling);
        }
        let message = QueueFrontMessage::Catalog { catalog, confirmed_at: sent_at };
        if self.front.push(message).is_err() {
            return self.log_full_ring(ServiceName::QueueFront);
        }
        self.query.version = version;
        self.log.info(EventLine::new("catalog_in_force").with("version", version));
    }

    /// Whether a correct leader can have sent this list: a version that is too high would hide later lists.
    fn is_reachable(&self, list: &EvacuationList) -> bool {
        is_reachable_index(self.query.evacuation_version.unwrap_or_default(), list.version)
    }

    /// Forwards a list of evacuated domains, unless it is not newer than the one that is known.
    fn update_evacuation(&mut self, list: EvacuationList) {
        let version = Some(list.version);
        if version <= self.query.evacuation_version {
            return;
        }
        if self.scheduling.push(SchedulingMessage::Evacuation { list }).is_err() {
            return self.log_full_ring(ServiceName::JobScheduling);
        }
        self.query.evacuation_version = version;
    }

    /// Logs that a catalog or list was not forwarded; the next watch returns it again.
    fn log_full_ring(&self, ring: ServiceName) {
        self.log.warn(EventLine::new("ring_full").with("ring", ring));
    }
}

/// Asks a control host whether it leads.
async fn ask_leader(
    host: SocketAddr,
    query: &CatalogQuery,
    clock: &SharedClock,
) -> HostAnswer<FirstAnswer> {
    let Some(client) = connect(host).await else { return HostAnswer::Silent };
    let sent_at = clock.now();
    match tokio::time::timeout(ANSWER_TIMEOUT, client.catalog(query.clone())).await {
        Ok(Ok(ControlReplyBody::NotLeader(hint))) => HostAnswer::Follows(hint),
        Ok(Ok(
            body @ (ControlReplyBody::Catalog(_)
            | ControlReplyBody::Group(_)
            | ControlReplyBody::Evacuation(_)),
        )) => HostAnswer::Leads((client, sent_at, body)),
        _ => HostAnswer::Silent,
    }
}

/// State that all calls share.
struct CallContext {
    clock: SharedClock,
    connection: watch::Receiver<Connection>,
    log: EventLog,
}

/// The result of one attempt of a call.
enum AttemptResult {
    Answered(JobReply),
    /// It had no effect: it was not sent, or its host was not the leader.
    NotAccepted,
    /// It may have taken effect.
    OutcomeUnknown,
}

impl CallContext {
    async fn run_call(
        &self,
        call: CallId,
        job: JobCall,
        deadline: Instant,
        reply: Reservation<QueueFrontMessage>,
    ) {
        let answer = self.request(&job, deadline).await;
        reply.push(QueueFrontMessage::Answer { call, reply: answer });
    }

    /// Retries until a reply is conclusive or the deadline comes. After an attempt
    /// with an unknown outcome, a refusal is not conclusive.
    async fn request(&self, job: &JobCall, deadline: Instant) -> JobReply {
        let mut outcome_unknown = false;
        loop {
            match self.attempt(job, deadline).await {
                AttemptResult::Answered(JobReply::Refused { cause, .. }) if outcome_unknown => {
                    self.log_unclear(job, cause.into());
                    return JobReply::Unclear;
                }
                AttemptResult::Answered(reply) => return reply,
                AttemptResult::NotAccepted => {}
                AttemptResult::OutcomeUnknown => outcome_unknown = true,
            }
            if self.clock.now() + RETRY_DELAY >= deadline {
                self.log_unclear(job, "no_leader_in_time");
                return if outcome_unknown { JobReply::Unclear } else { unreachable_reply(job) };
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(&self, job: &JobCall, deadline: Instant) -> AttemptResult {
        let Some(client) = self.connection.borrow().clone() else {
            return AttemptResult::NotAccepted;
        };
        let timeout = deadline.saturating_duration_since(self.clock.now()).min(ATTEMPT_TIMEOUT);
        match tokio::time::timeout(timeout, client.job(job.clone())).await {
            Ok(Ok(ControlReplyBody::Job(JobReply::Unclear))) => AttemptResult::OutcomeUnknown,
            Ok(Ok(ControlReplyBody::Job(reply))) => AttemptResult::Answered(reply),
            Ok(Ok(ControlReplyBody::Results(results))) => {
                AttemptResult::Answered(committed_reply(job, &results))
            }
            Ok(Ok(ControlReplyBody::NotLeader(_))) => AttemptResult::NotAccepted,
            _ => AttemptResult::OutcomeUnknown,
        }
    }

    fn log_unclear(&self, job: &JobCall, cause: &'static str) {
        let line = EventLine::new("job_call_unclear").with("cause", cause);
        let line = match job.job() {
            Some(id) => line.with("job", id),
            None => line,
        };
        self.log.warn(line);
    }
}

/// The reply for the result of a committed command.
fn committed_reply(job: &JobCall, results: &[CommandResult]) -> JobReply {
    match (job, results.first()) {
        (JobCall::Submit { .. }, Some(CommandResult::Done)) => JobReply::Accepted,
        (JobCall::Cancel { .. }, Some(CommandResult::Done)) => JobReply::Cancelled,
        (JobCall::Cancel { .. }, Some(CommandResult::Unclaimed)) => JobReply::UnknownJob,
        _ => JobReply::Unclear,
    }
}

/// The reply when no attempt reached the leader: a submitted job was not
/// accepted and never runs.
fn unreachable_reply(job: &JobCall) -> JobReply {
    match job {
        JobCall::Submit { .. } => {
            JobReply::Refused { cause: RefusalCause::Busy, retry_after_ms: UNREACHABLE_RETRY_MS }
        }
        _ => JobReply::Unclear,
    }
}
