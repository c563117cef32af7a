//! The duty that keeps a control host a member of the group that its seeds belong to: it
//! joins the group after its start, and again if the group has replaced it. Before the process
//! ends it leaves a group that has more hosts than it needs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::discovery::{JoinStep, JoinTracker};
use jsonrpsee::ws_client::WsClient;
use kernel::{DrainGate, Registry, RingReceiver, RingSender, SharedClock};
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
/// Delay between attempts to leave.
const LEAVE_RETRY_DELAY: Duration = Duration::from_millis(50);
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
    /// Number of hosts from which on the group has a surplus; `None` if it keeps all.
    pub target_hosts: Option<usize>,
    /// Set to 0 once the process need not wait for the group any more.
    pub gate: DrainGate,
}

/// What the leader said of this host.
enum JoinAnswer {
    /// It is as it should be.
    Settled,
    /// The leader was asked to add the host, or to remove it.
    Requested,
    /// The leader was lost.
    Lost,
}

/// What a host asks the leader for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JoinGoal {
    /// To be a member.
    Join,
    /// To be none.
    Leave,
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
                JoinStep::Ask => match self.ask_until_told(JoinGoal::Join, None, ring).await {
                    Some(delay) => Some(self.join.clock.now() + delay),
                    None => return,
                },
                JoinStep::AskToLeave(at) => {
                    match self.ask_until_told(JoinGoal::Leave, Some(at), ring).await {
                        Some(delay) => Some(self.join.clock.now() + delay),
                        None => return,
                    }
                }
                JoinStep::End => {
                    self.join.gate.set(0);
                    None
                }
                JoinStep::WaitUntil(at) => Some(at),
                JoinStep::Wait => None,
            };
            tokio::select! {
                message = ring.next() => match message {
                    Some(message) => on_message(&mut self.tracker, &self.join.clock, &message),
                    None => return,
                },
                () = sleep_until(&self.join.clock, wait_until) => {}
            }
        }
    }

    /// Asks the leader once, at most until a time; returns the delay until the next step,
    /// `None` once the ring is closed. The request to leave ends the question to join.
    async fn ask_until_told(
        &mut self,
        goal: JoinGoal,
        until: Option<Instant>,
        ring: &RingReceiver<GroupJoinMessage>,
    ) -> Option<Duration> {
        let (clock, mut tracker) = (self.join.clock.clone(), self.tracker);
        let changes = async {
            while let Some(message) = ring.next().await {
                on_message(&mut tracker, &clock, &message);
                if matches!(message, GroupJoinMessage::Leave) && goal == JoinGoal::Join {
                    return Some(Duration::ZERO);
                }
            }
            None
        };
        let answer = tokio::select! {
            answer = self.ask_leader(goal) => Some(answer),
            delay = changes => {
                self.tracker = tracker;
                return delay;
            }
            () = sleep_until(&clock, until) => None,
        };
        self.tracker = tracker;
        match (answer, goal) {
            (Some(JoinAnswer::Settled), JoinGoal::Join) => {
                self.tracker.on_member(self.join.clock.now());
                Some(Duration::ZERO)
            }
            (Some(JoinAnswer::Settled), JoinGoal::Leave) => {
                self.tracker.on_left();
                Some(Duration::ZERO)
            }
            (Some(JoinAnswer::Requested), JoinGoal::Leave) => Some(LEAVE_RETRY_DELAY),
            (Some(JoinAnswer::Requested | JoinAnswer::Lost), _) => Some(RETRY_DELAY),
            (None, _) => Some(Duration::ZERO),
        }
    }

    /// Finds the leader, reads the group from it and proposes the change that adds this
    /// host, or removes it.
    async fn ask_leader(&mut self, goal: JoinGoal) -> JoinAnswer {
        let ask = async |host| ask_status(host).await;
        let (host, (client, status)) = self.finder.find(ask).await;
        let hint = leader_hint(host, &status);
        self.finder.confirm(host, &hint);
        let leader = status.host.clone();
        if self.replicated_log.push(LogMessage::GroupLearned { leader, hint }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
        }
        let group = self.changed_group(goal, &status.group);
        // A host that has left before that is committed may still be needed.
        if group.is_none() && goal == JoinGoal::Leave && !status.group_committed {
            return JoinAnswer::Requested;
        }
        let Some(group) = group else {
            let event = match goal {
                JoinGoal::Join => "group_joined",
                JoinGoal::Leave => "group_left",
            };
            let line = EventLine::new(event).with("leader", host);
            self.log.info(line.with("hosts", status.group.len()));
            return JoinAnswer::Settled;
        };
        let event = match goal {
            JoinGoal::Join => "group_join_requested",
            JoinGoal::Leave => "group_leave_requested",
        };
        self.log.info(EventLine::new(event).with("leader", host));
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

    /// The group that this host asks for; `None` if the present one will do. A group without a
    /// surplus keeps a host that ends.
    fn changed_group(&self, goal: JoinGoal, group: &[ControlPeer]) -> Option<Vec<ControlPeer>> {
        let own_peer = &self.join.own_peer;
        let is_member = group.contains(own_peer);
        let has_surplus = self.join.target_hosts.is_some_and(|target| group.len() > target);
        match goal {
            JoinGoal::Join if !is_member => Some(group.iter().chain([own_peer]).cloned().collect()),
            JoinGoal::Leave if is_member && has_surplus => {
                Some(group.iter().filter(|peer| *peer != own_peer).cloned().collect())
            }
            JoinGoal::Join | JoinGoal::Leave => None,
        }
    }
}

/// Passes a message on to the tracker.
fn on_message(tracker: &mut JoinTracker, clock: &SharedClock, message: &GroupJoinMessage) {
    match message {
        GroupJoinMessage::Leader { known } => tracker.on_leader(clock.now(), *known),
        GroupJoinMessage::Surplus { exists } => tracker.on_surplus(*exists),
        GroupJoinMessage::Leave => tracker.on_leave(clock.now()),
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
