//! The duty that connects an agent to its schedulers: the control host that
//! leads, and the entries that control names.
//!
//! Invariants:
//! - to each scheduler reports go out one at a time, and so do polls;
//! - a new connection is a new session: answers of an earlier one are never
//!   handed on;
//! - an entry that control names no more is kept until its connection is lost.

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

/// Longer than a poll without orders waits.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before an entry is connected to again.
const ENTRY_PAUSE: Duration = Duration::from_millis(150);
/// The host answers, but does not schedule.
const NOT_LEADER: &str = "not_leader";
/// Reports that may wait for one connection.
const REPORT_QUEUE: usize = 64;

/// What an agent's link is given.
pub struct ScheduleLink {
    /// The clock.
    pub clock: SharedClock,
    /// The agent.
    pub agent: NodeId,
    /// Its incarnation.
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
        let desk = Rc::new(LinkDesk { link, log, runs });
        let mut open: IndexMap<SchedulerKey, OpenLink> = IndexMap::new();
        let finder = ScheduleHost::Control(LeaderFinder::new(controls));
        open.insert(SchedulerKey::Control, open_link(&desk, SchedulerKey::Control, finder));
        while let Some(message) = ring.next().await {
            match message {
                ScheduleLinkMessage::Report { scheduler, report } => {
                    if let Some(link) = open.get(&scheduler)
                        && link.reports.try_send(report).is_err()
                    {
                        desk.log.warn(EventLine::new("report_dropped").with("to", scheduler));
                    }
                }
                ScheduleLinkMessage::Entries { entries } => set_entries(&desk, &mut open, &entries),
            }
        }
    });
}

struct OpenLink {
    reports: mpsc::Sender<Box<AgentReport>>,
    /// Whether the scheduler is still named, and its address.
    wanted: watch::Sender<Option<SocketAddr>>,
}

fn open_link(desk: &Rc<LinkDesk>, scheduler: SchedulerKey, host: ScheduleHost) -> OpenLink {
    let (reports, waiting) = mpsc::channel(REPORT_QUEUE);
    let address = match &host {
        ScheduleHost::Control(_) => None,
        ScheduleHost::Entry(address) => Some(*address),
    };
    let (wanted, is_wanted) = watch::channel(address);
    let session = SessionDesk {
        desk: Rc::clone(desk),
        scheduler,
        session: 0,
        reports: waiting,
        wanted: is_wanted,
    };
    tokio::task::spawn_local(session.run(host));
    OpenLink { reports, wanted }
}

fn set_entries(
    desk: &Rc<LinkDesk>,
    open: &mut IndexMap<SchedulerKey, OpenLink>,
    entries: &[EntryHost],
) {
    open.retain(|scheduler, link| {
        let SchedulerKey::Entry(name) = scheduler else { return true };
        let named = entries.iter().find(|entry| entry.name == *name);
        link.wanted.send_replace(named.map(|entry| entry.address));
        !link.wanted.is_closed()
    });
    for entry in entries {
        let scheduler = SchedulerKey::Entry(entry.name.clone());
        if !open.contains_key(&scheduler) {
            let link = open_link(desk, scheduler.clone(), ScheduleHost::Entry(entry.address));
            open.insert(scheduler, link);
        }
    }
}

struct LinkDesk {
    link: ScheduleLink,
    log: EventLog,
    runs: RingSender<ServerRunsMessage>,
}

/// How a scheduler's host is found.
enum ScheduleHost {
    Control(LeaderFinder),
    Entry(SocketAddr),
}

/// The connections to one scheduler, one after the other.
struct SessionDesk {
    desk: Rc<LinkDesk>,
    scheduler: SchedulerKey,
    session: SessionId,
    reports: mpsc::Receiver<Box<AgentReport>>,
    wanted: watch::Receiver<Option<SocketAddr>>,
}

/// Why a session ended.
struct SessionEnd {
    reason: &'static str,
    leader: Option<SocketAddr>,
}

impl SessionDesk {
    async fn run(mut self, mut host: ScheduleHost) {
        loop {
            let Some((address, client)) = self.connect(&mut host).await else { return };
            self.session += 1;
            while self.reports.try_recv().is_ok() {}
            self.tell(ScheduleEvent::Opened);
            let end = self.serve(&client).await;
            self.tell(ScheduleEvent::Closed);
            // Hosts that do not lead are tried often while none does.
            if end.reason != NOT_LEADER {
                self.note("session_lost", address, end.reason);
            }
            match &mut host {
                ScheduleHost::Control(finder) => finder.lost(end.leader).await,
                ScheduleHost::Entry(_) => tokio::time::sleep(ENTRY_PAUSE).await,
            }
        }
    }

    /// `None` when the entry is not named any more.
    async fn connect(&self, host: &mut ScheduleHost) -> Option<(SocketAddr, Arc<WsClient>)> {
        match host {
            ScheduleHost::Control(finder) => Some(finder.connect().await),
            ScheduleHost::Entry(address) => loop {
                let wanted = *self.wanted.borrow();
                *address = wanted?;
                if let Some(client) = connect(*address).await {
                    return Some((*address, client));
                }
                tokio::time::sleep(ENTRY_PAUSE).await;
            },
        }
    }

    /// Polls begin when the first report was taken.
    async fn serve(&mut self, client: &Arc<WsClient>) -> SessionEnd {
        let begun = Notify::new();
        let SessionDesk { desk, scheduler, session, reports, .. } = self;
        let carrier = SessionCarrier { desk, scheduler, session: *session, client };
        tokio::select! {
            end = carrier.report_all(reports, &begun) => end,
            end = carrier.poll_all(&begun) => end,
        }
    }

    fn note(&self, event: &str, host: SocketAddr, reason: &str) {
        let line = EventLine::new(event)
            .with("scheduler", &self.scheduler)
            .with("host", host)
            .with("session", self.session)
            .with("reason", reason);
        self.desk.log.info(line);
    }

    fn tell(&self, event: ScheduleEvent) {
        self.desk.tell(&self.scheduler, self.session, event);
    }
}

impl LinkDesk {
    /// Orders that find no room never arrive; the next session's list shows
    /// that, and the line says why.
    fn tell(&self, scheduler: &SchedulerKey, session: SessionId, event: ScheduleEvent) {
        let scheduler = scheduler.clone();
        if self.runs.push(ServerRunsMessage::Schedule { scheduler, session, event }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ServerRuns));
        }
    }
}

/// One connection.
struct SessionCarrier<'a> {
    desk: &'a LinkDesk,
    scheduler: &'a SchedulerKey,
    session: SessionId,
    client: &'a Arc<WsClient>,
}

impl SessionCarrier<'_> {
    async fn report_all(
        &self,
        reports: &mut mpsc::Receiver<Box<AgentReport>>,
        begun: &Notify,
    ) -> SessionEnd {
        while let Some(report) = reports.recv().await {
            if report.session != self.session {
                continue;
            }
            if let Err(end) = self.send(*report).await {
                return end;
            }
            begun.notify_one();
            self.desk.tell(self.scheduler, self.session, ScheduleEvent::ReportTaken);
        }
        SessionEnd { reason: "the agent stops", leader: None }
    }

    async fn send(&self, report: AgentReport) -> Result<(), SessionEnd> {
        let answer = tokio::time::timeout(ANSWER_LIMIT, self.client.report(report)).await;
        match answer {
            Ok(Ok(ControlReplyBody::ReportTaken)) => Ok(()),
            Ok(Ok(ControlReplyBody::NotLeader { leader })) => {
                Err(SessionEnd { reason: NOT_LEADER, leader })
            }
            Ok(_) => Err(SessionEnd { reason: "report_failed", leader: None }),
            Err(_) => Err(SessionEnd { reason: "report_unanswered", leader: None }),
        }
    }

    async fn poll_all(&self, begun: &Notify) -> SessionEnd {
        begun.notified().await;
        loop {
            let asked_at = self.desk.link.clock.now();
            let poll = AgentPoll {
                agent: self.desk.link.agent.clone(),
                incarnation: self.desk.link.incarnation,
                session: self.session,
            };
            let answer = tokio::time::timeout(ANSWER_LIMIT, self.client.poll(poll)).await;
            match answer {
                Ok(Ok(ControlReplyBody::Orders(orders))) => {
                    let event = ScheduleEvent::Orders { asked_at, orders };
                    self.desk.tell(self.scheduler, self.session, event);
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
