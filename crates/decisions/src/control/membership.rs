//! Decides on the leases of entries and agents, and what each must be told.
//!
//! Heartbeats are soft state of the leader; only joining, lapsing and fences
//! in force are logged.
//!
//! Invariants:
//! - a member lapses only after its lease, counted from when its heartbeat
//!   was received, plus the drift bound;
//! - a new leader gives every member a whole lease before any lapses;
//! - a fence is in force only when each agent has acknowledged the member
//!   list that brought it, or has lost its lease.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    CallId, Command, ConfigUpdate, ConfigVersion, ControlView, Incarnation, MemberRecord,
    MemberStatus, MembersUpdate, MembersVersion, MembershipState, NodeId, NodeRole, NodeWatch,
    Term, TextDelta,
};

/// Clocks of two hosts drift apart by less than this share.
const DRIFT_SHARE: f64 = 0.05;
/// A watch without news is answered after this share of the lease. A lease
/// counts from when its watch was sent, so two such waits must fit into one.
const ANSWER_SHARE: f64 = 0.4;
/// How often leases are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What membership does next.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipStep {
    /// Answers a watch.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        view: Box<ControlView>,
    },
    /// Answers that this host does not lead.
    NotLeader {
        /// The call.
        call: CallId,
    },
    /// Logs a change.
    Propose(Command),
}

#[derive(Debug, Clone)]
struct Heard {
    incarnation: Incarnation,
    at: Instant,
    config_version: ConfigVersion,
    members_version: MembersVersion,
    /// Whether a lapse was proposed for this incarnation.
    lapsing: bool,
}

#[derive(Debug, Clone)]
struct OpenWatch {
    call: CallId,
    watch: NodeWatch,
    answer_at: Instant,
}

/// Leases and watches at one control host.
#[derive(Debug, Clone)]
pub struct MembershipDesk {
    lease: Duration,
    term: Option<Term>,
    state: Arc<MembershipState>,
    heard: IndexMap<NodeId, Heard>,
    watches: Vec<OpenWatch>,
    proposed_fences: IndexMap<NodeId, Incarnation>,
    proposed_joins: IndexMap<NodeId, Incarnation>,
    next_check: Option<Instant>,
}

impl MembershipDesk {
    /// A desk that grants leases of this length once it leads.
    pub fn new(lease: Duration) -> MembershipDesk {
        MembershipDesk {
            lease,
            term: None,
            state: Arc::default(),
            heard: IndexMap::new(),
            watches: Vec::new(),
            proposed_fences: IndexMap::new(),
            proposed_joins: IndexMap::new(),
            next_check: None,
        }
    }

    /// This host began or ceased to lead.
    pub fn on_leading(&mut self, now: Instant, term: Option<Term>) -> Vec<MembershipStep> {
        if self.term == term {
            return Vec::new();
        }
        self.term = term;
        self.heard.clear();
        self.proposed_fences.clear();
        self.proposed_joins.clear();
        if term.is_none() {
            self.next_check = None;
            let watches = std::mem::take(&mut self.watches);
            return watches
                .iter()
                .map(|open| MembershipStep::NotLeader { call: open.call })
                .collect();
        }
        for member in self.state.members.values() {
            let heard = Heard {
                incarnation: member.incarnation,
                at: now,
                config_version: 0,
                members_version: 0,
                lapsing: false,
            };
            self.heard.insert(member.node.clone(), heard);
        }
        self.next_check = Some(now + CHECK_INTERVAL);
        Vec::new()
    }

    /// A node's heartbeat.
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
        self.close_older(&node, call, &mut steps);
        if watch.leaving {
            steps.push(MembershipStep::Propose(Command::Lapse { node, incarnation }));
            steps.push(self.answer(call, &watch));
            return steps;
        }
        if !self.has_ended(&watch.member) {
            steps.extend(self.join_if_new(&watch.member));
            self.hear(now, &watch);
        }
        steps.extend(self.fences_in_force(now));
        let open = OpenWatch { call, watch, answer_at: now + self.lease.mul_f64(ANSWER_SHARE) };
        if self.has_news(&open.watch) {
            steps.push(self.answer(call, &open.watch));
        } else {
            self.watches.push(open);
        }
        steps
    }

    /// A node asks again: its earlier watch is answered, if it is still open.
    fn close_older(&mut self, node: &NodeId, call: CallId, steps: &mut Vec<MembershipStep>) {
        let older: Vec<OpenWatch> = self
            .watches
            .extract_if(.., |open| open.watch.member.node == *node && open.call != call)
            .collect();
        steps.extend(older.iter().map(|open| self.answer(open.call, &open.watch)));
    }

    fn join_if_new(&mut self, member: &MemberRecord) -> Option<MembershipStep> {
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

    fn hear(&mut self, now: Instant, watch: &NodeWatch) {
        let heard = Heard {
            incarnation: watch.member.incarnation,
            at: now,
            config_version: watch.config_version,
            members_version: watch.members_version,
            lapsing: false,
        };
        self.heard.insert(watch.member.node.clone(), heard);
    }

    fn has_news(&self, watch: &NodeWatch) -> bool {
        let config = self.state.config.as_ref().map_or(0, |config| config.version);
        config > watch.config_version
            || self.state.members_version > watch.members_version
            || self.has_ended(&watch.member)
    }

    fn answer(&self, call: CallId, watch: &NodeWatch) -> MembershipStep {
        let view = ControlView {
            term: self.term.unwrap_or(0),
            lease_ms: self.lease.as_millis() as u64,
            fenced: self.has_ended(&watch.member),
            config: self.config_update(watch.config_version),
            members: self.members_update(watch.members_version),
        };
        MembershipStep::Answer { call, view: Box::new(view) }
    }

    /// The one change when the node is one version behind, the whole text
    /// otherwise.
    fn config_update(&self, known: ConfigVersion) -> ConfigUpdate {
        let Some(config) = &self.state.config else { return ConfigUpdate::Current };
        if config.version <= known {
            return ConfigUpdate::Current;
        }
        let next = self.state.deltas.iter().find(|(version, _)| *version == known + 1);
        match next {
            Some((version, delta)) if *version == config.version => {
                let delta: TextDelta = delta.clone();
                ConfigUpdate::Delta { version: *version, delta }
            }
            _ => ConfigUpdate::Whole { config: (**config).clone() },
        }
    }

    fn members_update(&self, known: MembersVersion) -> Option<MembersUpdate> {
        if self.state.members_version <= known {
            return None;
        }
        Some(MembersUpdate {
            version: self.state.members_version,
            whole: true,
            joined: self.state.members.values().cloned().collect(),
            left: Vec::new(),
            fences: self.state.fences.clone(),
        })
    }

    /// The replicated state moved on.
    pub fn on_state(&mut self, now: Instant, state: Arc<MembershipState>) -> Vec<MembershipStep> {
        self.state = state;
        if self.term.is_none() {
            return Vec::new();
        }
        let mut steps = self.fences_in_force(now);
        let open = std::mem::take(&mut self.watches);
        let (news, rest): (Vec<OpenWatch>, Vec<OpenWatch>) =
            open.into_iter().partition(|open| self.has_news(&open.watch));
        self.watches = rest;
        steps.extend(news.iter().map(|open| self.answer(open.call, &open.watch)));
        steps
    }

    /// Fences that every agent has acknowledged, or can't act against.
    fn fences_in_force(&mut self, now: Instant) -> Vec<MembershipStep> {
        let mut steps = Vec::new();
        let state = Arc::clone(&self.state);
        for fence in &state.pending_fences {
            let proposed = self.proposed_fences.get(&fence.entry) == Some(&fence.incarnation);
            if proposed || !self.is_known_everywhere(now, fence.members_version) {
                continue;
            }
            self.proposed_fences.insert(fence.entry.clone(), fence.incarnation);
            let (entry, incarnation) = (fence.entry.clone(), fence.incarnation);
            steps.push(MembershipStep::Propose(Command::FenceInForce { entry, incarnation }));
        }
        steps
    }

    /// A lapsed agent is no member any more; one that is a member counts by
    /// its own word.
    fn is_known_everywhere(&self, now: Instant, version: MembersVersion) -> bool {
        let mut agents =
            self.state.members.values().filter(|member| member.role == NodeRole::Agent);
        agents.all(|agent| {
            self.heard.get(&agent.node).is_some_and(|heard| {
                heard.members_version >= version || self.lease_end(heard) <= now
            })
        })
    }

    fn lease_end(&self, heard: &Heard) -> Instant {
        heard.at + self.lease.mul_f64(1.0 + DRIFT_SHARE)
    }

    /// Deals with leases that lapsed and watches that waited long enough.
    pub fn on_tick(&mut self, now: Instant) -> Vec<MembershipStep> {
        if self.term.is_none() {
            return Vec::new();
        }
        self.next_check = Some(now + CHECK_INTERVAL);
        let mut steps = self.lapse_silent(now);
        steps.extend(self.fences_in_force(now));
        let open = std::mem::take(&mut self.watches);
        let (due, rest): (Vec<OpenWatch>, Vec<OpenWatch>) =
            open.into_iter().partition(|open| open.answer_at <= now);
        self.watches = rest;
        steps.extend(due.iter().map(|open| self.answer(open.call, &open.watch)));
        steps
    }

    fn lapse_silent(&mut self, now: Instant) -> Vec<MembershipStep> {
        let lease = self.lease.mul_f64(1.0 + DRIFT_SHARE);
        let state = Arc::clone(&self.state);
        let mut steps = Vec::new();
        for (node, heard) in &mut self.heard {
            let member = state.members.get(node);
            let current = member.is_some_and(|member| member.incarnation == heard.incarnation);
            if !current || heard.lapsing || heard.at + lease > now {
                continue;
            }
            heard.lapsing = true;
            let command = Command::Lapse { node: node.clone(), incarnation: heard.incarnation };
            steps.push(MembershipStep::Propose(command));
        }
        steps
    }

    /// When [`MembershipDesk::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_check
    }

    /// What members reported, for `status`.
    pub fn reports(&self, now: Instant) -> Vec<MemberStatus> {
        let report = |member: &MemberRecord| {
            let heard = self.heard.get(&member.node);
            MemberStatus {
                member: member.clone(),
                config_version: heard.map_or(0, |heard| heard.config_version),
                silent_ms: heard
                    .map_or(0, |heard| now.saturating_duration_since(heard.at).as_millis() as u64),
            }
        };
        self.state.members.values().map(report).collect()
    }
}
