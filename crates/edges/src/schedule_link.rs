//! The duty that connects an agent to its schedulers: the leading control
//! host, and the entries that control lists.
//!
//! Invariants:
//! - at most one report and one poll are in flight to each scheduler;
//! - each connection is a new session, and replies of an earlier session are
//!   never forwarded;
//! - an entry that control no longer lists is kept until its connection is
//!   lost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jsonrpsee::ws_client::WsClient;
use kernel::{Registry, RingReceiver, RingSender, SharedClock};
use model::{
    AgentPoll, AgentReport, ControlReplyBody, EntryHost, EventLine, EventLog, Incarnation, NodeId,
    ScheduleEvent, ScheduleLinkMessage, SchedulerKey, ServerRunsMessage, ServiceName, SessionId,
};
use tokio::sync::{Notify, mpsc, watch};

use crate::edge_runtime::block_on;
use crate::leader_finder::LeaderFinder;
use crate::peer_api::ScheduleApiClient;
use crate::peer_connection::connect;

/// Timeout of a report or poll; longer than a scheduler holds a poll open
/// without orders.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay between attempts to connect to an entry.
const ENTRY_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Reason of a session that ends since its host is not the leader.
const NOT_LEADER: &str = "not_leader";
/// Reports that may wait for one connection.
const REPORT_QUEUE_CAPACITY: usize = 64;

/// Configuration of an agent's link.
pub struct ScheduleLink {
    /// Source of the times at which polls are sent.
    pub clock: SharedClock,
    /// The agent's node id.
    pub agent: NodeId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Addresses of control hosts.
    pub controls: Vec<SocketAddr>,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the run service is not registered.
pub fn run(
    ring: &RingReceiver<ScheduleLinkMessage>,
    registry: &Registry<ServiceName>,
    link: ScheduleLink,
    log: EventLog,
) {
    let runs = registry.find(ServiceName::ServerRuns).expect("the run service is registered");
    block_on(async move {
        let controls = link.controls.clone();
        let context = Rc::new(LinkContext { link, log, runs });
        let mut open: IndexMap<SchedulerKey, OpenLink> = IndexMap::new();
        let host = ScheduleHost::Control(LeaderFinder::new(controls));
        open.insert(SchedulerKey::Control, open_link(&context, SchedulerKey::Control, host));
        while let Some(message) = ring.next().await {
            match message {
                ScheduleLinkMessage::Report { scheduler, report } => {
                    if let Some(link) = open.get(&scheduler)
                        && link.reports.try_send(report).is_err()
                    {
                        context.log.warn(EventLine::new("report_dropped").with("to", scheduler));
                    }
                }
                ScheduleLinkMessage::Entries { entries } => {
                    update_entries(&context, &mut open, &entries)
                }
            }
        }
    });
}

/// A link to one scheduler.
struct OpenLink {
    reports: mpsc::Sender<Box<AgentReport>>,
    /// The entry's address; `None` once control no longer lists the entry.
    listed_address: watch::Sender<Option<SocketAddr>>,
}

fn open_link(context: &Rc<LinkContext>, scheduler: SchedulerKey, host: ScheduleHost) -> OpenLink {
    let (reports, waiting) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let address = match &host {
        ScheduleHost::Control(_) => None,
        ScheduleHost::Entry(address) => Some(*address),
    };
    let (listed_address, address_updates) = watch::channel(address);
    let connection = SchedulerConnection {
        context: Rc::clone(context),
        scheduler,
        session: 0,
        reports: waiting,
        listed_address: address_updates,
    };
    tokio::task::spawn_local(connection.run(host));
    OpenLink { reports, listed_address }
}

fn update_entries(
    context: &Rc<LinkContext>,
    open: &mut IndexMap<SchedulerKey, OpenLink>,
    entries: &[EntryHost],
) {
    open.retain(|scheduler, link| {
        let SchedulerKey::Entry(name) = scheduler else { return true };
        let listed = entries.iter().find(|entry| entry.name == *name);
        link.listed_address.send_replace(listed.map(|entry| entry.address));
        !link.listed_address.is_closed()
    });
    for entry in entries {
        let scheduler = SchedulerKey::Entry(entry.name.clone());
        if !open.contains_key(&scheduler) {
            let link = open_link(context, scheduler.clone(), ScheduleHost::Entry(entry.address));
            open.insert(scheduler, link);
        }
    }
}

/// State that the links share.
struct LinkContext {
    link: ScheduleLink,
    log: EventLog,
    runs: RingSender<ServerRunsMessage>,
}

/// How the host of a scheduler is found: the leader is searched for among the
/// control hosts, an entry has an address.
enum ScheduleHost {
    Control(LeaderFinder),
    Entry(SocketAddr),
}

/// Connects to one scheduler and runs one session after another on it.
struct SchedulerConnection {
    context: Rc<LinkContext>,
    scheduler: SchedulerKey,
    session: SessionId,
    reports: mpsc::Receiver<Box<AgentReport>>,
    listed_address: watch::Receiver<Option<SocketAddr>>,
}

/// Why a session ended.
struct SessionEnd {
    reason: &'static str,
    leader: Option<SocketAddr>,
}

impl SchedulerConnection {
    async fn run(mut self, mut host: ScheduleHost) {
        loop {
            let Some((address, client)) = self.connect(&mut host).await else { return };
            self.session += 1;
            while self.reports.try_recv().is_ok() {}
            self.notify(ScheduleEvent::Opened);
            let end = self.run_session(&client).await;
            self.notify(ScheduleEvent::Closed);
            // Not logged: without a leader, non-leading hosts are tried often.
            if end.reason != NOT_LEADER {
                self.log_end("session_lost", address, end.reason);
            }
            match &mut host {
                ScheduleHost::Control(finder) => finder.advance(end.leader).await,
                ScheduleHost::Entry(_) => tokio::time::sleep(ENTRY_RETRY_DELAY).await,
            }
        }
    }

    /// Connects to the scheduler; `None` when control no longer lists the entry.
    async fn connect(&self, host: &mut ScheduleHost) -> Option<(SocketAddr, Arc<WsClient>)> {
        match host {
            ScheduleHost::Control(finder) => Some(finder.connect().await),
            ScheduleHost::Entry(address) => loop {
                let listed_address = *self.listed_address.borrow();
                *address = listed_address?;
                if let Some(client) = connect(*address).await {
                    return Some((*address, client));
                }
                tokio::time::sleep(ENTRY_RETRY_DELAY).await;
            },
        }
    }

    /// Runs one session until it fails; polls start once the first report was
    /// accepted.
    async fn run_session(&mut self, client: &Arc<WsClient>) -> SessionEnd {
        let first_report_accepted = Notify::new();
        let SchedulerConnection { context, scheduler, session, reports, .. } = self;
        let session_calls = SchedulerSession { context, scheduler, session: *session, client };
        tokio::select! {
            end = session_calls.send_reports(reports, &first_report_accepted) => end,
            end = session_calls.poll_orders(&first_report_accepted) => end,
        }
    }

    fn log_end(&self, event: &str, host: SocketAddr, reason: &str) {
        let line = EventLine::new(event)
            .with("scheduler", &self.scheduler)
            .with("host", host)
            .with("session", self.session)
            .with("reason", reason);
        self.context.log.info(line);
    }

    fn notify(&self, event: ScheduleEvent) {
        self.context.notify(&self.scheduler, self.session, event);
    }
}

impl LinkContext {
    /// Forwards an event to the run service. Orders are dropped when its ring is
    /// full: the agent's list in the next session shows that they are missing,
    /// and the log line gives the reason.
    fn notify(&self, scheduler: &SchedulerKey, session: SessionId, event: ScheduleEvent) {
        let scheduler = scheduler.clone();
        if self.runs.push(ServerRunsMessage::Schedule { scheduler, session, event }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ServerRuns));
        }
    }
}

/// The calls of one session.
struct SchedulerSession<'a> {
    context: &'a LinkContext,
    scheduler: &'a SchedulerKey,
    session: SessionId,
    client: &'a Arc<WsClient>,
}

impl SchedulerSession<'_> {
    async fn send_reports(
        &self,
        reports: &mut mpsc::Receiver<Box<AgentReport>>,
        first_report_accepted: &Notify,
    ) -> SessionEnd {
        while let Some(report) = reports.recv().await {
            if report.session != self.session {
                continue;
            }
            if let Err(end) = self.send_report(*report).await {
                return end;
            }
            first_report_accepted.notify_one();
            self.context.notify(self.scheduler, self.session, ScheduleEvent::ReportAcked);
        }
        SessionEnd { reason: "the agent stops", leader: None }
    }

    async fn send_report(&self, report: AgentReport) -> Result<(), SessionEnd> {
        let reply = tokio::time::timeout(REPLY_TIMEOUT, self.client.report(report)).await;
        match reply {
            Ok(Ok(ControlReplyBody::ReportAcked)) => Ok(()),
            Ok(Ok(ControlReplyBody::NotLeader { leader })) => {
                Err(SessionEnd { reason: NOT_LEADER, leader })
            }
            Ok(_) => Err(SessionEnd { reason: "report_failed", leader: None }),
            Err(_) => Err(SessionEnd { reason: "report_unanswered", leader: None }),
        }
    }

    async fn poll_orders(&self, first_report_accepted: &Notify) -> SessionEnd {
        first_report_accepted.notified().await;
        loop {
            let polled_at = self.context.link.clock.now();
            let poll = AgentPoll {
                agent: self.context.link.agent.clone(),
                incarnation: self.context.link.incarnation,
                session: self.session,
            };
            let reply = tokio::time::timeout(REPLY_TIMEOUT, self.client.poll(poll)).await;
            match reply {
                Ok(Ok(ControlReplyBody::Orders(orders))) => {
                    let event = ScheduleEvent::Orders { polled_at, orders };
                    self.context.notify(self.scheduler, self.session, event);
                }
                Ok(Ok(ControlReplyBody::NotLeader { leader })) => {
                    return SessionEnd { reason: NOT_LEADER, leader };
                }
                Ok(_) => return SessionEnd { reason: "poll_failed", leader: None },
                Err(_) => return SessionEnd { reason: "poll_unanswered", leader: None },
            }
        }
    }
}
