//! The duty that connects an agent to the control host that schedules.
//!
//! Invariants:
//! - reports go out one at a time, and so do polls;
//! - a new connection is a new session: answers of an earlier one are never
//!   handed on.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::WsClient;
use kernel::{Registry, RingReceiver, RingSender, SharedClock};
use model::{
    AgentPoll, AgentReport, ControlReplyBody, EventLine, EventLog, Incarnation, NodeId,
    ScheduleLinkMessage, ServerRunsMessage, ServiceName, SessionId,
};

use crate::edge_runtime::block_on;
use crate::leader_finder::LeaderFinder;
use crate::peer_api::ControlApiClient;

/// Longer than a poll without orders waits.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);

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
        let finder = LeaderFinder::new(link.controls.clone());
        let mut desk = LinkDesk { link, log, runs, session: 0, finder };
        desk.run(ring).await;
    });
}

struct LinkDesk {
    link: ScheduleLink,
    log: EventLog,
    runs: RingSender<ServerRunsMessage>,
    session: SessionId,
    finder: LeaderFinder,
}

/// Why a session ended.
enum SessionEnd {
    RingClosed,
    Lost { reason: &'static str, leader: Option<SocketAddr> },
}

impl LinkDesk {
    async fn run(&mut self, ring: &RingReceiver<ScheduleLinkMessage>) {
        loop {
            let (address, client) = self.finder.connect().await;
            self.session += 1;
            self.log.info(
                EventLine::new("session_opened").with("host", address).with("session", self.session),
            );
            while ring.try_next().is_some() {}
            self.tell(ServerRunsMessage::SessionOpened { session: self.session });
            let end = self.serve(ring, &client).await;
            self.tell(ServerRunsMessage::SessionClosed { session: self.session });
            match end {
                SessionEnd::RingClosed => return,
                SessionEnd::Lost { reason, leader } => {
                    let line = EventLine::new("session_lost")
                        .with("host", address)
                        .with("session", self.session)
                        .with("reason", reason);
                    self.log.info(line);
                    self.finder.lost(leader).await;
                }
            }
        }
    }

    /// Polls begin when the first report was taken.
    async fn serve(
        &self,
        ring: &RingReceiver<ScheduleLinkMessage>,
        client: &Arc<WsClient>,
    ) -> SessionEnd {
        let begun = tokio::sync::Notify::new();
        let reported = Cell::new(false);
        tokio::select! {
            end = self.report_all(ring, client, &begun, &reported) => end,
            end = self.poll_all(client, &begun) => end,
        }
    }

    async fn report_all(
        &self,
        ring: &RingReceiver<ScheduleLinkMessage>,
        client: &Arc<WsClient>,
        begun: &tokio::sync::Notify,
        reported: &Cell<bool>,
    ) -> SessionEnd {
        loop {
            let Some(ScheduleLinkMessage::Report { report }) = ring.next().await else {
                return SessionEnd::RingClosed;
            };
            if report.session != self.session {
                continue;
            }
            match self.send(client, *report).await {
                Ok(()) => {}
                Err(end) => return end,
            }
            if !reported.replace(true) {
                begun.notify_one();
            }
            self.tell(ServerRunsMessage::ReportTaken { session: self.session });
        }
    }

    async fn send(&self, client: &Arc<WsClient>, report: AgentReport) -> Result<(), SessionEnd> {
        let answer = tokio::time::timeout(ANSWER_LIMIT, client.report(report)).await;
        match answer {
            Ok(Ok(ControlReplyBody::ReportTaken)) => Ok(()),
            Ok(Ok(ControlReplyBody::NotLeader { leader })) => {
                Err(SessionEnd::Lost { reason: "not_leader", leader })
            }
            Ok(_) => Err(SessionEnd::Lost { reason: "report_failed", leader: None }),
            Err(_) => Err(SessionEnd::Lost { reason: "report_unanswered", leader: None }),
        }
    }

    async fn poll_all(&self, client: &Arc<WsClient>, begun: &tokio::sync::Notify) -> SessionEnd {
        begun.notified().await;
        loop {
            let asked_at = self.link.clock.now();
            let poll = AgentPoll {
                agent: self.link.agent.clone(),
                incarnation: self.link.incarnation,
                session: self.session,
            };
            let answer = tokio::time::timeout(ANSWER_LIMIT, client.poll(poll)).await;
            match answer {
                Ok(Ok(ControlReplyBody::Orders(orders))) => {
                    let session = self.session;
                    self.tell(ServerRunsMessage::Orders { session, asked_at, orders });
                }
                Ok(Ok(ControlReplyBody::NotLeader { leader })) => {
                    return SessionEnd::Lost { reason: "not_leader", leader };
                }
                Ok(_) => return SessionEnd::Lost { reason: "poll_failed", leader: None },
                Err(_) => return SessionEnd::Lost { reason: "poll_unanswered", leader: None },
            }
        }
    }

    /// Orders that find no room end the session at the other side's timeout;
    /// the line says so.
    fn tell(&self, message: ServerRunsMessage) {
        if self.runs.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ServerRuns));
        }
    }
}
