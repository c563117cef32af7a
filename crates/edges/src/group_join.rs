//! The duty that keeps a control host a member of the group that its seeds belong to: it
//! joins the group after its start, and again if the group has replaced it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use decisions::discovery::{JoinStep, JoinTracker};
use jsonrpsee::ws_client::WsClient;
use kernel::{Registry, RingReceiver, RingSender, SharedClock};
use model::{
    Command, ControlAnswer, ControlPeer, ControlQuery, ControlReplyBody, ControlStatus, EventLine,
    EventLog, GroupJoinMessage, LeaderHint, LogMessage, ServiceName,
};

use crate::edge_runtime::block_on;
use crate::leader_finder::{HostAnswer, LeaderFinder, sleep_until};
use crate::peer_api::ControlApiClient;
use crate::peer_connection::connect;

/// Delay between attempts to join.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Configuration of a join.
pub struct GroupJoin {
    /// Source of the times of the search and of contact with the leader.
    pub clock: SharedClock,
    /// Name and address of this host.
    pub own_peer: ControlPeer,
    /// Addresses of hosts that may be members.
    pub seeds: Vec<SocketAddr>,
    /// Whether this host forms the group with the other seeds.
    pub bootstraps: bool,
}

/// What the leader said of this host.
enum JoinAnswer {
    /// It is a member.
    Member,
    /// It was not one; the leader was asked to add it.
    Requested,
    /// The leader was lost.
    Lost,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the replicated log is not registered.
pub fn run(
    ring: &RingReceiver<GroupJoinMessage>,
    registry: &Registry<ServiceName>,
    join: GroupJoin,
    log: EventLog,
) {
    let replicated_log: RingSender<LogMessage> =
        registry.find(ServiceName::ReplicatedLog).expect("the log is registered");
    let now = join.clock.now();
    let tracker = match join.bootstraps {
        true => JoinTracker::bootstrapping(now),
        false => JoinTracker::joining(now),
    };
    let (clock, seeds, name) = (join.clock.clone(), join.seeds.clone(), &join.own_peer.name);
    let finder = LeaderFinder::new(clock, seeds, name, None);
    let duty = JoinDuty { join, log, replicated_log, tracker, finder };
    block_on(duty.run(ring));
}

/// State of the duty.
struct JoinDuty {
    join: GroupJoin,
    log: EventLog,
    replicated_log: RingSender<LogMessage>,
    tracker: JoinTracker,
    finder: LeaderFinder,
}

impl JoinDuty {
    async fn run(mut self, ring: &RingReceiver<GroupJoinMessage>) {
        loop {
            let wait_until = match self.tracker.next_step(self.join.clock.now()) {
                JoinStep::Ask => {
                    let Some(delay) = self.ask_until_closed(ring).await else { return };
                    Some(self.join.clock.now() + delay)
                }
                JoinStep::WaitUntil(at) => Some(at),
                JoinStep::Wait => None,
            };
            tokio::select! {
                message = ring.next() => match message {
                    Some(GroupJoinMessage::Leader { known }) => {
                        self.tracker.on_leader(self.join.clock.now(), known);
                    }
                    None => return,
                },
                () = sleep_until(&self.join.clock, wait_until) => {}
            }
        }
    }

    /// Asks the leader once; returns the delay until the next step, `None` once the ring is
    /// closed.
    async fn ask_until_closed(
        &mut self,
        ring: &RingReceiver<GroupJoinMessage>,
    ) -> Option<Duration> {
        let (clock, mut tracker) = (self.join.clock.clone(), self.tracker);
        let changes = async {
            while let Some(GroupJoinMessage::Leader { known }) = ring.next().await {
                tracker.on_leader(clock.now(), known);
            }
        };
        let answer = tokio::select! {
            answer = self.ask_leader() => answer,
            () = changes => return None,
        };
        self.tracker = tracker;
        match answer {
            JoinAnswer::Member => {
                self.tracker.on_member(self.join.clock.now());
                Some(Duration::ZERO)
            }
            JoinAnswer::Requested | JoinAnswer::Lost => Some(RETRY_DELAY),
        }
    }

    /// Finds the leader, reads the group from it and proposes the change that adds this
    /// host.
    async fn ask_leader(&mut self) -> JoinAnswer {
        let ask = async |host| ask_status(host).await;
        let (host, (client, status)) = self.finder.find(ask).await;
        let hint = leader_hint(host, &status);
        self.finder.confirm(host, &hint);
        let leader = status.host.clone();
        if self.replicated_log.push(LogMessage::GroupLearned { leader, hint }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
        }
        if status.group.contains(&self.join.own_peer) {
            self.log.info(EventLine::new("group_joined").with("leader", host));
            return JoinAnswer::Member;
        }
        let mut group = status.group;
        group.push(self.join.own_peer.clone());
        self.log.info(EventLine::new("group_join_requested").with("leader", host));
        // The reply is ignored: the next status shows whether this host is a member.
        let propose = client.propose(vec![Command::ChangeGroup { group }]);
        match tokio::time::timeout(ANSWER_TIMEOUT, propose).await {
            Ok(Ok(_)) => JoinAnswer::Requested,
            _ => {
                self.finder.lose(host);
                JoinAnswer::Lost
            }
        }
    }
}

/// What the status of a leader says of its group.
fn leader_hint(leader: SocketAddr, status: &ControlStatus) -> LeaderHint {
    let members = status.group.iter().map(|peer| peer.address).collect();
    let (term, group_index) = (status.term, status.commit);
    LeaderHint { leader: Some(leader), term, members, group_index }
}

/// Asks a control host for its status, which only the leader has.
async fn ask_status(host: SocketAddr) -> HostAnswer<(Arc<WsClient>, ControlStatus)> {
    let Some(client) = connect(host).await else { return HostAnswer::Silent };
    let query = client.query(ControlQuery::Status);
    match tokio::time::timeout(ANSWER_TIMEOUT, query).await {
        Ok(Ok(ControlReplyBody::NotLeader(hint))) => HostAnswer::Follows(hint),
        Ok(Ok(ControlReplyBody::Answer(answer))) => match *answer {
            ControlAnswer::Status(status) => HostAnswer::Leads((client, status)),
            _ => HostAnswer::Silent,
        },
        _ => HostAnswer::Silent,
    }
}
