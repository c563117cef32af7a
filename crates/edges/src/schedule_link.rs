//! The duty that connects an agent to its schedulers: the leading control
//! host, and the entries that control lists.
//!
//! Invariants:
//! - each connection is a new session, and messages of an earlier session are never
//!   forwarded;
//! - orders that can't be forwarded end the session, so that the scheduler learns from
//!   the next one which runs are missing;
//! - an entry that control no longer lists is kept until its connection is
//!   lost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, ToCompactString};
use decisions::agent::heartbeat_interval;
use indexmap::IndexMap;
use kernel::{Registry, RingReceiver, RingSender, SharedClock};
use model::{
    AgentHeartbeat, AgentMessage, AgentOrders, AgentReport, EntryHost, EventLine, EventLog,
    Incarnation, LeaderHint, NodeId, NumberedMessage, ScheduleEvent, ScheduleLinkMessage,
    SchedulerKey, SchedulerMessage, ServerRunsMessage, ServiceName, SessionId,
};
use tokio::sync::{mpsc, watch};

use crate::agent_stream::{StreamError, StreamReader, StreamWriter, connect};
use crate::edge_runtime::{block_on, spawn_lasting};
use crate::leader_finder::{HostAnswer, LeaderFinder, sleep_until};
use crate::sent_messages::SentMessages;

/// How long a message to an entry may stay without an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a message to control may stay without one; another host may lead by then.
const CONTROL_ACK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay between attempts to connect to an entry.
const ENTRY_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Reason of a session that ends since its host is not the leader.
const NOT_LEADER: &str = "not_leader";
/// Reports that may wait for one connection.
const REPORT_QUEUE_CAPACITY: usize = 64;

/// Configuration of an agent's link.
pub struct ScheduleLink {
    /// Source of the times at which messages are sent.
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
        let (clock, controls) = (link.clock.clone(), link.controls.clone());
        let finder = LeaderFinder::new(clock, controls, &link.agent, Some(log.clone()));
        let context = Rc::new(LinkContext { link, log, runs });
        let mut open: IndexMap<SchedulerKey, OpenLink> = IndexMap::new();
        let host = ScheduleHost::Control(Box::new(finder));
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
                ScheduleLinkMessage::SetActive { scheduler, is_active } => {
                    if let Some(link) = open.get(&scheduler) {
                        link.is_active.send_replace(is_active);
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
    /// Whether the agent has runs of the scheduler.
    is_active: watch::Sender<bool>,
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
    let (is_active, activity) = watch::channel(true);
    let connection = SchedulerConnection {
        context: Rc::clone(context),
        scheduler,
        session: 0,
        reports: waiting,
        activity,
        listed_address: address_updates,
    };
    spawn_lasting(connection.run(host));
    OpenLink { reports, is_active, listed_address }
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
    Control(Box<LeaderFinder>),
    Entry(SocketAddr),
}

impl ScheduleHost {
    /// Records what a message of the leader tells of its group.
    fn learn(&mut self, address: SocketAddr, message: &SchedulerMessage) {
        let ScheduleHost::Control(finder) = self else { return };
        let SchedulerMessage::Orders(orders) = message else { return };
        if let Some(hint) = &orders.controls {
            finder.confirm(address, hint);
        }
    }
}

/// Connects to one scheduler and runs one session after another on it.
struct SchedulerConnection {
    context: Rc<LinkContext>,
    scheduler: SchedulerKey,
    session: SessionId,
    reports: mpsc::Receiver<Box<AgentReport>>,
    activity: watch::Receiver<bool>,
    listed_address: watch::Receiver<Option<SocketAddr>>,
}

/// Why a session ended.
struct SessionEnd {
    reason: CompactString,
    /// What the host told if it does not lead.
    hint: Option<LeaderHint>,
}

impl SessionEnd {
    fn failed(error: &StreamError) -> SessionEnd {
        SessionEnd::new(error.to_compact_string())
    }

    fn new(reason: impl Into<CompactString>) -> SessionEnd {
        SessionEnd { reason: reason.into(), hint: None }
    }
}

/// Both halves of a scheduler's stream.
type Streams = (StreamReader, StreamWriter);

impl SchedulerConnection {
    async fn run(mut self, mut host: ScheduleHost) {
        loop {
            let Some((address, streams)) = self.connect(&mut host).await else { return };
            self.session += 1;
            while self.reports.try_recv().is_ok() {}
            // Without the first event there would be no first report.
            let end = match self.notify(ScheduleEvent::Opened) {
                true => self.run_session(streams, address, &mut host).await,
                false => SessionEnd::new("ring_full"),
            };
            self.notify(ScheduleEvent::Closed);
            // Not logged: without a leader, non-leading hosts are tried often.
            if end.reason != NOT_LEADER {
                self.log_end("session_lost", address, &end.reason);
            }
            match &mut host {
                ScheduleHost::Control(finder) => match end.hint {
                    Some(hint) => finder.deny(address, &hint),
                    None => finder.lose(address),
                },
                ScheduleHost::Entry(_) => tokio::time::sleep(ENTRY_RETRY_DELAY).await,
            }
        }
    }

    /// Connects to the scheduler; `None` when control no longer lists the entry.
    async fn connect(&self, host: &mut ScheduleHost) -> Option<(SocketAddr, Streams)> {
        match host {
            ScheduleHost::Control(finder) => {
                let ask = async |host| match connect(host).await {
                    Some(streams) => HostAnswer::Leads(streams),
                    None => HostAnswer::Silent,
                };
                Some(finder.find(ask).await)
            }
            ScheduleHost::Entry(address) => loop {
                let listed_address = *self.listed_address.borrow();
                *address = listed_address?;
                if let Some(streams) = connect(*address).await {
                    return Some((*address, streams));
                }
                tokio::time::sleep(ENTRY_RETRY_DELAY).await;
            },
        }
    }

    /// Runs one session until it fails.
    async fn run_session(
        &mut self,
        (mut reader, writer): Streams,
        address: SocketAddr,
        host: &mut ScheduleHost,
    ) -> SessionEnd {
        let SchedulerConnection { context, scheduler, session, reports, activity, .. } = self;
        let sent = SentMessages::default();
        let mut session = SchedulerSession { context, scheduler, session: *session, writer, sent };
        loop {
            let is_active = *activity.borrow_and_update();
            let deadline = session.next_deadline(is_active);
            let result = tokio::select! {
                // What was received goes before a deadline that has passed meanwhile.
                biased;
                received = reader.next_from_scheduler() => match received {
                    Ok(message) => {
                        host.learn(address, &message);
                        session.receive(message)
                    }
                    Err(error) => Err(SessionEnd::failed(&error)),
                },
                Some(report) = reports.recv() => session.send_reports(report, reports).await,
                Ok(()) = activity.changed() => Ok(()),
                () = sleep_until(&context.link.clock, deadline) => session.on_deadline().await,
            };
            if let Err(end) = result {
                return end;
            }
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

    /// Forwards an event to the run service; `false` if its ring is full.
    fn notify(&self, event: ScheduleEvent) -> bool {
        self.context.notify(&self.scheduler, self.session, event)
    }
}

impl LinkContext {
    /// Forwards an event to the run service; `false` if its ring is full.
    fn notify(&self, scheduler: &SchedulerKey, session: SessionId, event: ScheduleEvent) -> bool {
        let scheduler = scheduler.clone();
        let sent = self.runs.push(ServerRunsMessage::Schedule { scheduler, session, event });
        if sent.is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ServerRuns));
        }
        sent.is_ok()
    }
}

/// The messages of one session.
struct SchedulerSession<'a> {
    context: &'a LinkContext,
    scheduler: &'a SchedulerKey,
    session: SessionId,
    writer: StreamWriter,
    sent: SentMessages,
}

impl SchedulerSession<'_> {
    /// Time of the next heartbeat, or of the timeout of a message; `None` before the
    /// first report, which has to come first.
    fn next_deadline(&self, is_active: bool) -> Option<Instant> {
        let timeout = self.ack_deadline();
        let heartbeat = self.sent.last_sent_at().map(|at| at + heartbeat_interval(is_active));
        timeout.into_iter().chain(heartbeat).min()
    }

    /// Time by which the first unacknowledged message has to be acknowledged.
    fn ack_deadline(&self) -> Option<Instant> {
        let timeout = match self.scheduler {
            SchedulerKey::Control => CONTROL_ACK_TIMEOUT,
            SchedulerKey::Entry(_) => ACK_TIMEOUT,
        };
        self.sent.unacked_since().map(|since| since + timeout)
    }

    async fn on_deadline(&mut self) -> Result<(), SessionEnd> {
        let now = self.context.link.clock.now();
        if self.ack_deadline().is_some_and(|at| at <= now) {
            return Err(SessionEnd::new("unacknowledged"));
        }
        let ScheduleLink { agent, incarnation, .. } = &self.context.link;
        let heartbeat = AgentHeartbeat {
            agent: agent.clone(),
            incarnation: *incarnation,
            session: self.session,
        };
        self.append(AgentMessage::Heartbeat(heartbeat))?;
        self.flush().await
    }

    /// Sends a report, and the others that wait.
    async fn send_reports(
        &mut self,
        first: Box<AgentReport>,
        waiting: &mut mpsc::Receiver<Box<AgentReport>>,
    ) -> Result<(), SessionEnd> {
        let mut next = Some(first);
        while let Some(report) = next {
            // Reports of an earlier session may wait still.
            if report.session == self.session {
                self.append(AgentMessage::Report(report))?;
            }
            next = waiting.try_recv().ok();
        }
        self.flush().await
    }

    fn append(&mut self, message: AgentMessage) -> Result<(), SessionEnd> {
        let is_report = matches!(message, AgentMessage::Report(_));
        let number = self.sent.add(self.context.link.clock.now(), is_report);
        let message = NumberedMessage { number, message };
        self.writer.append(&message).map_err(|error| SessionEnd::failed(&error))
    }

    async fn flush(&mut self) -> Result<(), SessionEnd> {
        self.writer.flush().await.map_err(|error| SessionEnd::failed(&error))
    }

    fn receive(&mut self, message: SchedulerMessage) -> Result<(), SessionEnd> {
        match message {
            SchedulerMessage::Orders(orders) => self.forward(orders),
            SchedulerMessage::Closed(hint) => {
                Err(SessionEnd { reason: NOT_LEADER.into(), hint: Some(hint) })
            }
        }
    }

    fn forward(&mut self, orders: Box<AgentOrders>) -> Result<(), SessionEnd> {
        let Some(ack) = self.sent.on_ack(orders.received) else {
            return Err(SessionEnd::new("unknown_message_acked"));
        };
        let (sent_at, acked_reports) = (ack.sent_at, ack.reports);
        let event = ScheduleEvent::Orders { sent_at, acked_reports, orders };
        match self.context.notify(self.scheduler, self.session, event) {
            true => Ok(()),
            false => Err(SessionEnd::new("ring_full")),
        }
    }
}
