//! The duty that orders commands and applies them to the replicated state.
//!
//! Invariants:
//! - a result leaves only after its record is committed and applied;
//! - questions are answered only while no other host can lead.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use decisions::control::{
    ControlState, GroupChange, Replica, ReplicaLimits, ReplicaStep, StoredReplica,
};
use indexmap::IndexMap;
use kernel::{DutyState, KernelError, Registry, Reservation, RingReceiver, RingSender, serve};
use model::{
    CallId, Command, CommandResult, ControlAnswer, ControlPeer, ControlQuery, ControlReply,
    ControlReplyBody, ControlStatus, EventLine, EventLog, Incarnation, JournalEntry,
    JournalMessage, LineLevel, LogIndex, LogMessage, MemberStatus, MembershipMessage, NodeId,
    ReplicaEnvelope, ReplicaLinkMessage, ReplicaMessage, SchedulingMessage, ServiceName,
    SnapshotMark, SyncMark, Term,
};

use crate::context::ServiceContext;

/// Records in one message between replicas.
const BATCH_RECORDS: usize = 1_024;
/// A leader's heartbeat, as a share of the least election timeout.
const HEARTBEAT_SHARE: f64 = 0.35;
/// How long a host is silent before a joined one takes its place.
const SILENT_HOST_LIMIT: Duration = Duration::from_secs(3);
/// How often expired answers and ended jobs are looked for.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// What the replicated log is given besides the context.
pub struct LogSetup {
    /// This host.
    pub name: NodeId,
    /// Grows with each start of this host.
    pub boot: Incarnation,
    /// The first group.
    pub group: Vec<ControlPeer>,
    /// Whether an empty data folder may found a new group.
    pub found: bool,
    /// Hosts that the group is kept at: beyond it, one that is silent leaves.
    pub wanted_hosts: Option<usize>,
    /// Least election timeout.
    pub election: Duration,
    /// How long answers are kept.
    pub retention: Duration,
    /// Records between snapshots.
    pub snapshot_records: u64,
    /// What the journal found.
    pub stored: StoredReplica,
    /// The state of the snapshot that the journal found.
    pub state: ControlState,
}

/// Commands that wait for their results.
struct OpenBatch {
    call: CallId,
    reply: Reservation<ControlReply>,
    first: LogIndex,
    last: LogIndex,
    results: Vec<CommandResult>,
}

struct ReplicatedLog {
    context: ServiceContext,
    log: EventLog,
    replica: Replica,
    state: ControlState,
    retention: Duration,
    snapshot_records: u64,
    batches: VecDeque<OpenBatch>,
    group_calls: Vec<(CallId, Reservation<ControlReply>)>,
    replica_calls: IndexMap<NodeId, Vec<(CallId, Reservation<ControlReply>)>>,
    told: (Option<Term>, Option<SocketAddr>),
    told_group: Vec<ControlPeer>,
    next_expire: Instant,
    wanted_hosts: Option<usize>,
    own: RingSender<LogMessage>,
    journal: RingSender<JournalMessage>,
    links: RingSender<ReplicaLinkMessage>,
    membership: RingSender<MembershipMessage>,
    scheduling: RingSender<SchedulingMessage>,
}

/// Runs the duty until its ring is closed.
///
/// # Errors
/// When a service that it needs is not registered.
pub fn run(
    ring: &RingReceiver<LogMessage>,
    registry: &Registry<ServiceName>,
    context: ServiceContext,
    setup: LogSetup,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let now = clock.now();
    let limits = ReplicaLimits {
        election: setup.election,
        heartbeat: setup.election.mul_f64(HEARTBEAT_SHARE),
        batch_records: BATCH_RECORDS,
    };
    let wanted_hosts = setup.wanted_hosts;
    let mut replica = Replica::new(now, setup.name, setup.boot, limits, setup.group, setup.stored);
    replica.set_may_found(setup.found);
    let state = ReplicatedLog {
        log: context.event_log(registry)?,
        replica,
        state: setup.state,
        retention: setup.retention,
        snapshot_records: setup.snapshot_records,
        batches: VecDeque::new(),
        group_calls: Vec::new(),
        replica_calls: IndexMap::new(),
        told: (None, None),
        told_group: Vec::new(),
        next_expire: now + EXPIRE_INTERVAL,
        wanted_hosts,
        own: registry.find(ServiceName::ReplicatedLog)?,
        journal: registry.find(ServiceName::JournalWriter)?,
        links: registry.find(ServiceName::ReplicaLinks)?,
        membership: registry.find(ServiceName::Membership)?,
        scheduling: registry.find(ServiceName::JobScheduling)?,
        context,
    };
    state.tell_applied();
    state.tell_restored();
    serve(ring, &clock, DutyState { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &ReplicatedLog) -> Option<Instant> {
    let replica = state.replica.next_deadline();
    Some(replica.map_or(state.next_expire, |at| at.min(state.next_expire)))
}

fn handle(state: &mut ReplicatedLog, now: Instant, message: Option<LogMessage>) {
    if let Some(message) = message {
        state.on_message(now, message);
    }
    if state.replica.next_deadline().is_some_and(|at| at <= now) {
        let steps = state.replica.on_tick(now);
        state.carry_out(steps);
    }
    state.apply_committed();
    state.expire_old(now);
    state.replace_silent_host(now);
    state.tell_changes(now);
}

impl ReplicatedLog {
    fn on_message(&mut self, now: Instant, message: LogMessage) {
        match message {
            LogMessage::Propose { call, commands, reply } => {
                self.propose(now, call, commands, reply);
            }
            LogMessage::ProposeQuietly { commands } => {
                let at_ms = self.now_ms();
                if let Some((_, steps)) = self.replica.propose(now, at_ms, commands) {
                    self.carry_out(steps);
                }
            }
            LogMessage::Query { call, query, reply } => self.query(now, call, &query, reply),
            LogMessage::Replica { call, envelope, reply } => {
                self.on_envelope(now, call, *envelope, reply);
            }
            LogMessage::ReplicaAnswer { envelope } => {
                let steps = self.replica.on_message(now, *envelope);
                self.carry_out(steps);
            }
            LogMessage::Synced { mark } => self.on_synced(now, mark),
            LogMessage::JournalFailed { reason } => {
                let line = EventLine::new("journal_failed").with("reason", reason);
                self.log.write(LineLevel::Error, line);
                self.replica.on_journal_failed();
            }
            LogMessage::MemberReports { call, members, reply } => {
                let answer = ControlAnswer::Status(self.status(members));
                answer_call(reply, call, ControlReplyBody::Answer(Box::new(answer)));
            }
        }
    }

    fn on_synced(&mut self, now: Instant, mark: SyncMark) {
        let steps = match mark {
            SyncMark::HardState(state) => self.replica.on_hard_state_synced(now, state),
            SyncMark::Records { index, term } => self.replica.on_synced(now, index, term),
        };
        self.carry_out(steps);
    }

    /// Another replica's message: its answer may have to wait for the journal.
    fn on_envelope(
        &mut self,
        now: Instant,
        call: CallId,
        envelope: ReplicaEnvelope,
        reply: Reservation<ControlReply>,
    ) {
        let from = envelope.from.clone();
        self.replica_calls.entry(from.clone()).or_default().push((call, reply));
        let steps = self.replica.on_message(now, envelope);
        self.carry_out(steps);
        if !self.replica.owes(&from) {
            self.close_replica_calls(&from, None);
        }
    }

    /// Answers the newest open call of a host; earlier ones have nothing to
    /// wait for any more.
    fn close_replica_calls(&mut self, host: &NodeId, envelope: Option<Box<ReplicaEnvelope>>) {
        let mut calls = self.replica_calls.swap_remove(host).unwrap_or_default();
        if let Some((call, reply)) = calls.pop() {
            answer_call(reply, call, ControlReplyBody::Replica(envelope));
        }
        for (call, reply) in calls {
            self.context.counters.count(model::MessageKind::IdleReport);
            answer_call(reply, call, ControlReplyBody::Replica(None));
        }
    }

    fn propose(
        &mut self,
        now: Instant,
        call: CallId,
        commands: Vec<Command>,
        reply: Reservation<ControlReply>,
    ) {
        if let Some(results) = self.read_only(now, &commands) {
            return answer_call(reply, call, ControlReplyBody::Results(results));
        }
        if let [Command::ChangeGroup { group }] = commands.as_slice() {
            return self.change_group(now, call, group.clone(), reply);
        }
        let last = commands.len() as LogIndex;
        let at_ms = self.now_ms();
        let Some((first, steps)) = self.replica.propose(now, at_ms, commands) else {
            return self.refuse(call, reply);
        };
        let last = first + last - 1;
        self.batches.push_back(OpenBatch { call, reply, first, last, results: Vec::new() });
        self.carry_out(steps);
    }

    /// Answers questions without a record, while no other host can lead.
    fn read_only(&self, now: Instant, commands: &[Command]) -> Option<Vec<CommandResult>> {
        self.replica.leading(now)?;
        let peek = |command: &Command| match command {
            Command::Peek { key, fingerprint } => Some(self.state.peek(key, *fingerprint)),
            _ => None,
        };
        commands.iter().map(peek).collect()
    }

    fn refuse(&self, call: CallId, reply: Reservation<ControlReply>) {
        let leader = self.replica.leader().map(|peer| peer.address);
        answer_call(reply, call, ControlReplyBody::NotLeader { leader });
    }

    fn change_group(
        &mut self,
        now: Instant,
        call: CallId,
        group: Vec<ControlPeer>,
        reply: Reservation<ControlReply>,
    ) {
        let at_ms = self.now_ms();
        match self.replica.change_group(now, at_ms, group) {
            None => self.refuse(call, reply),
            Some(GroupChange::Refused(result)) => {
                answer_call(reply, call, ControlReplyBody::Results(vec![result]));
            }
            Some(GroupChange::Logged { steps, .. } | GroupChange::CatchingUp { steps }) => {
                self.group_calls.push((call, reply));
                self.tell_group();
                self.carry_out(steps);
            }
        }
    }

    fn query(
        &mut self,
        now: Instant,
        call: CallId,
        query: &ControlQuery,
        reply: Reservation<ControlReply>,
    ) {
        if self.replica.leading(now).is_none() {
            return self.refuse(call, reply);
        }
        if *query == ControlQuery::Status {
            return self.tell_membership(MembershipMessage::Reports { call, reply });
        }
        let answer = self.answer(query);
        answer_call(reply, call, ControlReplyBody::Answer(Box::new(answer)));
    }

    fn answer(&self, query: &ControlQuery) -> ControlAnswer {
        match query {
            ControlQuery::Status => ControlAnswer::Status(self.status(Vec::new())),
            ControlQuery::Config => {
                ControlAnswer::Config(self.state.config().map(|config| (*config).clone()))
            }
            ControlQuery::Catalog => ControlAnswer::Catalog(self.state.jobs().catalog()),
            ControlQuery::History => ControlAnswer::History(self.state.history()),
            ControlQuery::Figures { month } => ControlAnswer::Figures(self.state.month(month)),
        }
    }

    fn status(&self, members: Vec<MemberStatus>) -> ControlStatus {
        ControlStatus {
            host: self.replica.name().clone(),
            term: self.replica.term(),
            commit: self.replica.commit(),
            group: self.replica.group(),
            config_version: self.state.config_version(),
            replicas: self.replica.progress().into_iter().collect(),
            members,
        }
    }

    fn carry_out(&mut self, steps: Vec<ReplicaStep>) {
        for step in steps {
            match step {
                ReplicaStep::Send { to, envelope } => self.send(to, envelope),
                ReplicaStep::PersistHardState(state) => {
                    self.write(JournalEntry::HardState { state });
                }
                ReplicaStep::PersistRecords { from, records } => {
                    self.write(JournalEntry::Records { from, records });
                }
                ReplicaStep::SendSnapshot { to, round } => self.send_snapshot(to, round),
                ReplicaStep::InstallSnapshot { mark, state } => self.install(mark, state),
                ReplicaStep::Note(line) => self.log.info(line),
            }
        }
    }

    /// An answer goes back on the call that it belongs to, anything else on
    /// the link to its host.
    fn send(&mut self, to: NodeId, envelope: Box<ReplicaEnvelope>) {
        let is_answer = matches!(
            envelope.message,
            ReplicaMessage::VoteReply { .. }
                | ReplicaMessage::AppendReply { .. }
                | ReplicaMessage::LeadDenial { .. }
        );
        if is_answer {
            return self.close_replica_calls(&to, Some(envelope));
        }
        // What finds no room is repeated by the protocol.
        let _dropped = self.links.push(ReplicaLinkMessage::Send { to, envelope });
    }

    /// Without room for the journal's word nothing can be confirmed any more.
    fn write(&mut self, entry: JournalEntry) {
        let sent = self
            .own
            .reserve()
            .is_some_and(|reply| self.journal.push(JournalMessage { entry, reply }).is_ok());
        if !sent {
            let line = EventLine::new("journal_failed").with("reason", "no room");
            self.log.write(LineLevel::Error, line);
            self.replica.on_journal_failed();
        }
    }

    fn send_snapshot(&mut self, to: NodeId, round: u64) {
        let Ok(state) = serde_json::to_string(&self.state) else { return };
        let index = self.state.versions().applied;
        let Some(mark) = self.replica.mark_at(index) else { return };
        let message = ReplicaMessage::Snapshot { mark, state, round };
        let envelope = Box::new(self.replica.envelope(self.replica.term(), message));
        self.send(to, envelope);
    }

    fn install(&mut self, mark: SnapshotMark, state: String) {
        match serde_json::from_str(&state) {
            Ok(read) => self.state = read,
            Err(error) => {
                let line = EventLine::new("snapshot_unreadable").with("reason", error);
                self.log.write(LineLevel::Error, line);
                self.replica.on_journal_failed();
                return;
            }
        }
        self.log.info(EventLine::new("snapshot_installed").with("index", mark.index));
        self.tell_applied();
        self.tell_restored();
        self.write_snapshot(mark, state);
    }

    fn write_snapshot(&mut self, mark: SnapshotMark, state: String) {
        let rest = self.replica.log().slice(mark.index + 1, usize::MAX);
        let hard_state = self.replica.hard_state().clone();
        self.write(JournalEntry::Snapshot { mark, state, rest, hard_state });
    }

    fn apply_committed(&mut self) {
        let before = self.state.versions();
        let mut records = Vec::new();
        while self.state.versions().applied < self.replica.commit() {
            let index = self.state.versions().applied + 1;
            let Some(record) = self.replica.log().record(index).cloned() else { break };
            let result = self.state.apply(&record);
            self.give_result(index, result, &record.command);
            if record.command.is_about_queues() {
                records.push(record);
            }
        }
        if !records.is_empty() {
            self.tell_scheduling(SchedulingMessage::Applied { records });
        }
        let after = self.state.versions();
        if before.config != after.config || before.members != after.members {
            self.tell_applied();
        }
        self.snapshot_if_due();
    }

    fn give_result(&mut self, index: LogIndex, result: CommandResult, command: &Command) {
        if matches!(command, Command::ChangeGroup { .. }) {
            for (call, reply) in self.group_calls.drain(..) {
                answer_call(reply, call, ControlReplyBody::Results(vec![CommandResult::Done]));
            }
        }
        if let Command::FenceInForce { .. } = command {
            self.tell_applied();
        }
        let Some(batch) = self.batches.front_mut() else { return };
        if index < batch.first {
            return;
        }
        batch.results.push(result);
        if index < batch.last {
            return;
        }
        if let Some(OpenBatch { call, reply, results, .. }) = self.batches.pop_front() {
            answer_call(reply, call, ControlReplyBody::Results(results));
        }
    }

    fn snapshot_if_due(&mut self) {
        let applied = self.state.versions().applied;
        if applied - self.replica.log().mark().index < self.snapshot_records {
            return;
        }
        let Ok(state) = serde_json::to_string(&self.state) else { return };
        let mark = self.replica.compact(applied);
        self.log.info(EventLine::new("snapshot").with("index", applied).with("bytes", state.len()));
        self.write_snapshot(mark, state);
    }

    /// Whoever waits while this host ceases to lead learns that its commands
    /// may still be applied.
    fn give_up_batches(&mut self) {
        for OpenBatch { call, reply, .. } in self.batches.drain(..) {
            answer_call(reply, call, ControlReplyBody::Unknown);
        }
        for (call, reply) in self.group_calls.drain(..) {
            answer_call(reply, call, ControlReplyBody::Unknown);
        }
    }

    fn expire_old(&mut self, now: Instant) {
        if now < self.next_expire {
            return;
        }
        self.next_expire = now + EXPIRE_INTERVAL;
        let before_ms = self.now_ms().saturating_sub(self.retention.as_millis() as u64);
        let is_old = |oldest: Option<u64>| oldest.is_some_and(|oldest| oldest < before_ms);
        let mut commands = Vec::new();
        if is_old(self.state.oldest_ended_ms()) {
            commands.push(Command::Expire { before_ms });
        }
        if is_old(self.state.jobs().oldest_ended_ms()) {
            commands.push(Command::ForgetJobs { before_ms });
        }
        if commands.is_empty() || self.replica.leading(now).is_none() {
            return;
        }
        if let Some((_, steps)) = self.replica.propose(now, before_ms, commands) {
            self.carry_out(steps);
        }
    }

    /// A host that is gone for good leaves the group once another has joined.
    fn replace_silent_host(&mut self, now: Instant) {
        let Some(wanted) = self.wanted_hosts else { return };
        let smaller = self.replica.group_without_silent(now, wanted, SILENT_HOST_LIMIT);
        let Some(group) = smaller else { return };
        let at_ms = self.now_ms();
        if let Some(GroupChange::Logged { index, steps }) =
            self.replica.change_group(now, at_ms, group.clone())
        {
            let names: Vec<&str> = group.iter().map(|peer| peer.name.as_str()).collect();
            let line = EventLine::new("silent_host_replaced")
                .with("index", index)
                .with("group", names.join(","));
            self.log.info(line);
            self.carry_out(steps);
        }
    }

    fn tell_changes(&mut self, now: Instant) {
        if !self.replica.takes_proposals() {
            self.give_up_batches();
        }
        self.tell_group();
        let leader = self.replica.leader().map(|peer| peer.address);
        let told = (self.replica.leading(now), leader);
        if told == self.told {
            return;
        }
        if told.0 != self.told.0 {
            let line = EventLine::new("leadership")
                .with("term", self.replica.term())
                .with("leading", told.0.is_some());
            self.log.info(line);
        }
        self.told = told;
        self.tell_membership(MembershipMessage::Leading { term: told.0, leader: told.1 });
        self.tell_scheduling(SchedulingMessage::Leading { term: told.0, leader: told.1 });
    }

    fn tell_restored(&self) {
        let state = Box::new(self.state.jobs().state());
        self.tell_scheduling(SchedulingMessage::Restored { state });
    }

    fn tell_scheduling(&self, message: SchedulingMessage) {
        if self.scheduling.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::JobScheduling));
        }
    }

    fn tell_group(&mut self) {
        let mut group = self.replica.group();
        group.extend(self.replica.joining().cloned());
        if group != self.told_group {
            self.told_group = group.clone();
            // The ring holds far more than there are changes of the group.
            let _full = self.links.push(ReplicaLinkMessage::Group { group });
        }
    }

    fn tell_applied(&self) {
        let snapshot = Arc::new(self.state.membership());
        self.tell_membership(MembershipMessage::Applied { snapshot });
    }

    fn tell_membership(&self, message: MembershipMessage) {
        if self.membership.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::Membership));
        }
    }

    fn now_ms(&self) -> u64 {
        let calendar = self.context.clock.calendar();
        let since = calendar.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }
}

fn answer_call(reply: Reservation<ControlReply>, call: CallId, body: ControlReplyBody) {
    reply.push(ControlReply { call, body });
}
