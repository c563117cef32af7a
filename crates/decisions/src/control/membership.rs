//! Leases of entries and agents, and the configuration and member updates sent to
//! them.
//!
//! A node sends a watch, which is both its heartbeat and a long poll for updates.
//! Heartbeats are soft state of the leader; only joins, lapses and fences in force
//! are written to the log.
//!
//! Invariants:
//! - a member that stops sending heartbeats lapses only one lease plus the drift
//!   bound after its last heartbeat was received;
//! - a new leader gives every member a whole lease before any lapses;
//! - a fence is in force only once each agent has acknowledged a member list that
//!   includes it, or the agent's lease has expired.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    CallId, Command, ConfigDelta, ConfigUpdate, ConfigVersion, ControlView, Incarnation,
    MemberRecord, MemberStatus, MembersUpdate, MembersVersion, MembershipState, NodeId, NodeRole,
    NodeWatch, Term,
};

/// Upper bound of the clock drift between two hosts, relative to elapsed time.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.05;
/// Fraction of the lease after which a watch gets a reply without updates. The
/// node counts its lease from when it sent the watch, so two such waits must fit
/// into one lease.
const LONG_POLL_LEASE_RATIO: f64 = 0.4;
/// Interval between checks for expired leases and overdue watches.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An action that [`MembershipTracker`] requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipStep {
    /// Replies to a watch.
    Reply {
        /// Call of the watch.
        call: CallId,
        /// Lease and updates for the node.
        view: Box<ControlView>,
    },
    /// Replies to a watch that this host is not the leader.
    NotLeader {
        /// Call of the watch.
        call: CallId,
    },
    /// Proposes a command to the replicated log.
    Propose(Command),
}

/// The last heartbeat of a node. A new leader starts each member with one received
/// at its election, with no versions known.
#[derive(Debug, Clone)]
struct LastHeartbeat {
    incarnation: Incarnation,
    received_at: Instant,
    config_version: ConfigVersion,
    members_version: MembersVersion,
    /// Whether a lapse of this incarnation has been proposed since.
    lapse_proposed: bool,
}

/// A watch that waits for an update or for its reply deadline.
#[derive(Debug, Clone)]
struct PendingWatch {
    call: CallId,
    watch: NodeWatch,
    reply_deadline: Instant,
}

/// Tracks leases and pending watches on one control host. Active only while the
/// host is the leader.
#[derive(Debug, Clone)]
pub struct MembershipTracker {
    lease: Duration,
    term: Option<Term>,
    state: Arc<MembershipState>,
    heartbeats: IndexMap<NodeId, LastHeartbeat>,
    watches: Vec<PendingWatch>,
    /// Per entry, the fence last proposed in this term to be put in force.
    proposed_fences: IndexMap<NodeId, Incarnation>,
    /// Per node, the incarnation whose join was last proposed in this term.
    proposed_joins: IndexMap<NodeId, Incarnation>,
    next_check: Option<Instant>,
}

impl MembershipTracker {
    /// Creates a tracker that grants leases of length `lease` once this host leads.
    pub fn new(lease: Duration) -> MembershipTracker {
        MembershipTracker {
            lease,
            term: None,
            state: Arc::default(),
            heartbeats: IndexMap::new(),
            watches: Vec::new(),
            proposed_fences: IndexMap::new(),
            proposed_joins: IndexMap::new(),
            next_check: None,
        }
    }

    /// Handles the start (`Some`) or end (`None`) of this host's leadership, or a
    /// change of its term.
    pub fn on_leadership(&mut self, now: Instant, term: Option<Term>) -> Vec<MembershipStep> {
        if self.term == term {
            return Vec::new();
        }
        self.term = term;
        self.heartbeats.clear();
        self.proposed_fences.clear();
        self.proposed_joins.clear();
        if term.is_none() {
            self.next_check = None;
            let watches = std::mem::take(&mut self.watches);
            return watches
                .iter()
                .map(|pending| MembershipStep::NotLeader { call: pending.call })
                .collect();
        }
        for member in self.state.members.values() {
            let heartbeat = LastHeartbeat {
                incarnation: member.incarnation,
                received_at: now,
                config_version: 0,
                members_version: 0,
                lapse_proposed: false,
            };
            self.heartbeats.insert(member.node.clone(), heartbeat);
        }
        self.next_check = Some(now + LEASE_CHECK_INTERVAL);
        Vec::new()
    }

    /// Handles a node's watch: renews its lease, and replies at once if there are
    /// updates for it. A leaving node lapses at once.
    pub fn on_watch(
        &mut self,
        now: Instant,
        call: CallId,
        watch: NodeWatch,
    ) -> Vec<MembershipStep> {
        if self.term.is_none() {
            return vec![MembershipStep::NotLeader { call }];
        }
        let mut steps = Vec::new();
        let node = watch.member.node.clone();
        let incarnation = watch.member.incarnation;
        self.reply_to_older_watch(&node, call, &mut steps);
        if watch.leaving {
            steps.push(MembershipStep::Propose(Command::ExpireMember { node, incarnation }));
            steps.push(self.reply(call, &watch));
            return steps;
        }
        if !self.has_ended(&watch.member) {
            steps.extend(self.propose_join(&watch.member));
            self.record_heartbeat(now, &watch);
        }
        steps.extend(self.fences_in_force(now));
        let pending = PendingWatch {
            call,
            watch,
            reply_deadline: now + self.lease.mul_f64(LONG_POLL_LEASE_RATIO),
        };
        if self.has_update(&pending.watch) {
            steps.push(self.reply(call, &pending.watch));
        } else {
            self.watches.push(pending);
        }
        steps
    }

    /// Replies to a pending earlier watch of a node that has sent a new one.
    fn reply_to_older_watch(
        &mut self,
        node: &NodeId,
        call: CallId,
        steps: &mut Vec<MembershipStep>,
    ) {
        let older: Vec<PendingWatch> = self
            .watches
            .extract_if(.., |pending| pending.watch.member.node == *node && pending.call != call)
            .collect();
        steps.extend(older.iter().map(|pending| self.reply(pending.call, &pending.watch)));
    }

    /// Proposes a join once per incarnation, unless the node is already a member
    /// with the same record.
    fn propose_join(&mut self, member: &MemberRecord) -> Option<MembershipStep> {
        if self.state.members.get(&member.node) == Some(member) {
            return None;
        }
        let proposed = self.proposed_joins.insert(member.node.clone(), member.incarnation);
        if proposed == Some(member.incarnation) {
            return None;
        }
        Some(MembershipStep::Propose(Command::Join { member: member.clone() }))
    }

    fn has_ended(&self, member: &MemberRecord) -> bool {
        let ended = self.state.ended.get(&member.node);
        ended.is_some_and(|incarnation| member.incarnation <= *incarnation)
    }

    fn record_heartbeat(&mut self, now: Instant, watch: &NodeWatch) {
        let heartbeat = LastHeartbeat {
            incarnation: watch.member.incarnation,
            received_at: now,
            config_version: watch.config_version,
            members_version: watch.members_version,
            lapse_proposed: false,
        };
        self.heartbeats.insert(watch.member.node.clone(), heartbeat);
    }

    /// Whether a reply would carry an update: a later version than the node has, or
    /// the end of its incarnation.
    fn has_update(&self, watch: &NodeWatch) -> bool {
        let config = self.state.config.as_ref().map_or(0, |config| config.version);
        config > watch.config_version
            || self.state.members_version > watch.members_version
            || self.has_ended(&watch.member)
    }

    fn reply(&self, call: CallId, watch: &NodeWatch) -> MembershipStep {
        let view = ControlView {
            term: self.term.unwrap_or(0),
            lease_ms: self.lease.as_millis() as u64,
            fenced: self.has_ended(&watch.member),
            config: self.config_update(watch.config_version),
            members: self.members_update(watch.members_version),
        };
        MembershipStep::Reply { call, view: Box::new(view) }
    }

    /// A delta if the node is one version behind, else the whole configuration.
    fn config_update(&self, known: ConfigVersion) -> ConfigUpdate {
        let Some(config) = &self.state.config else { return ConfigUpdate::Current };
        if config.version <= known {
            return ConfigUpdate::Current;
        }
        let next = self.state.deltas.iter().find(|(version, _)| *version == known + 1);
        match next {
            Some((version, delta)) if *version == config.version => {
                let delta: ConfigDelta = delta.clone();
                ConfigUpdate::Delta { version: *version, delta }
            }
            _ => ConfigUpdate::Full { config: (**config).clone() },
        }
    }

    /// The whole member list and all fences, if newer than `known`.
    fn members_update(&self, known: MembersVersion) -> Option<MembersUpdate> {
        if self.state.members_version <= known {
            return None;
        }
        Some(MembersUpdate {
            version: self.state.members_version,
            full: true,
            joined: self.state.members.values().cloned().collect(),
            left: Vec::new(),
            fences: self.state.fences.clone(),
        })
    }

    /// Handles a new replicated state, and replies to the watches that it has
    /// updates for.
    pub fn on_state(&mut self, now: Instant, state: Arc<MembershipState>) -> Vec<MembershipStep> {
        self.state = state;
        if self.term.is_none() {
            return Vec::new();
        }
        let mut steps = self.fences_in_force(now);
        let pending = std::mem::take(&mut self.watches);
        let (updated, rest): (Vec<PendingWatch>, Vec<PendingWatch>) =
            pending.into_iter().partition(|pending| self.has_update(&pending.watch));
        self.watches = rest;
        steps.extend(updated.iter().map(|pending| self.reply(pending.call, &pending.watch)));
        steps
    }

    /// Proposes to put in force the fences that every agent has acknowledged, or
    /// whose agents have no lease left to act under.
    fn fences_in_force(&mut self, now: Instant) -> Vec<MembershipStep> {
        let mut steps = Vec::new();
        let state = Arc::clone(&self.state);
        for fence in &state.pending_fences {
            let proposed = self.proposed_fences.get(&fence.entry) == Some(&fence.incarnation);
            if proposed || !self.is_acked_or_expired(now, fence.members_version) {
                continue;
            }
            self.proposed_fences.insert(fence.entry.clone(), fence.incarnation);
            let (entry, incarnation) = (fence.entry.clone(), fence.incarnation);
            steps.push(MembershipStep::Propose(Command::FenceInForce { entry, incarnation }));
        }
        steps
    }

    /// Whether each member agent has acknowledged `version` of the member list, or
    /// its lease has expired. A lapsed agent is no longer a member and need not
    /// acknowledge.
    fn is_acked_or_expired(&self, now: Instant, version: MembersVersion) -> bool {
        let mut agents =
            self.state.members.values().filter(|member| member.role == NodeRole::Agent);
        agents.all(|agent| {
            self.heartbeats.get(&agent.node).is_some_and(|heartbeat| {
                heartbeat.members_version >= version || self.lease_end(heartbeat) <= now
            })
        })
    }

    fn lease_end(&self, heartbeat: &LastHeartbeat) -> Instant {
        heartbeat.received_at + self.lease.mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO)
    }

    /// Proposes lapses of expired leases, and replies to watches past their
    /// deadline.
    pub fn on_tick(&mut self, now: Instant) -> Vec<MembershipStep> {
        if self.term.is_none() {
            return Vec::new();
        }
        self.next_check = Some(now + LEASE_CHECK_INTERVAL);
        let mut steps = self.propose_lapses(now);
        steps.extend(self.fences_in_force(now));
        let pending = std::mem::take(&mut self.watches);
        let (due, rest): (Vec<PendingWatch>, Vec<PendingWatch>) =
            pending.into_iter().partition(|pending| pending.reply_deadline <= now);
        self.watches = rest;
        steps.extend(due.iter().map(|pending| self.reply(pending.call, &pending.watch)));
        steps
    }

    fn propose_lapses(&mut self, now: Instant) -> Vec<MembershipStep> {
        let lease = self.lease.mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO);
        let state = Arc::clone(&self.state);
        let mut steps = Vec::new();
        for (node, heartbeat) in &mut self.heartbeats {
            let member = state.members.get(node);
            let current = member.is_some_and(|member| member.incarnation == heartbeat.incarnation);
            if !current || heartbeat.lapse_proposed || heartbeat.received_at + lease > now {
                continue;
            }
            heartbeat.lapse_proposed = true;
            let command =
                Command::ExpireMember { node: node.clone(), incarnation: heartbeat.incarnation };
            steps.push(MembershipStep::Propose(command));
        }
        steps
    }

    /// Time at which [`MembershipTracker::on_tick`] must next be called; `None` while
    /// this host is not the leader.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_check
    }

    /// Each member's last reported configuration version and time since its last
    /// heartbeat, for the `status` query.
    pub fn reports(&self, now: Instant) -> Vec<MemberStatus> {
        let report = |member: &MemberRecord| {
            let heartbeat = self.heartbeats.get(&member.node);
            MemberStatus {
                member: member.clone(),
                config_version: heartbeat.map_or(0, |heartbeat| heartbeat.config_version),
                silent_ms: heartbeat.map_or(0, |heartbeat| {
                    now.saturating_duration_since(heartbeat.received_at).as_millis() as u64
                }),
            }
        };
        self.state.members.values().map(report).collect()
    }
}
