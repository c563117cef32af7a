//! Service that replicates commands among the control hosts and applies the
//! committed ones to the replicated state machine (Raft-like log).
//!
//! Invariants:
//! - the result of a command is sent only after its record is committed and
//!   applied;
//! - queries and read-only commands are answered only under the leader lease,
//!   that is, while no other host can lead.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use decisions::control::{
    ControlState, EncodedSnapshot, GroupChange, LogBudget, LogStep, ReceivedSnapshot, Replica,
    ReplicaLimits, ReplicaStep, StoredReplica,
};
use decisions::discovery::LearnedGroup;
use indexmap::IndexMap;
use kernel::{
    DutyHandler, KernelError, PushError, Registry, Reservation, RingReceiver, RingSender, run_duty,
};
use model::{
    CallId, Command, CommandResult, ControlAnswer, ControlPeer, ControlQuery, ControlReply,
    ControlReplyBody, ControlStatus, EventLine, EventLog, GroupJoinMessage, Incarnation,
    JoiningStatus, JournalEntry, JournalMessage, LeaderHint, LineLevel, LogIndex, LogMessage,
    MemberStatus, MembershipMessage, NodeId, ReplicaEnvelope, ReplicaLinkMessage, ReplicaMessage,
    SchedulingMessage, ServiceName, SnapshotMark, SnapshotProgress, SyncMark, Term,
};
use snafu::{ResultExt, Snafu, ensure};

use crate::context::ServiceContext;

/// Maximum number of records in one message between replicas.
const MAX_BATCH_RECORDS: usize = 1_024;
/// Maximum size of the records in one message, in bytes; an eighth of the largest message
/// between processes.
const MAX_BATCH_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of the part of a snapshot in one message, in bytes. Encoded in the message
/// it takes up to twice as much.
const MAX_SNAPSHOT_PART_BYTES: usize = 4 * 1024 * 1024;
/// How long a snapshot is kept after a part of it was last sent.
const SNAPSHOT_RETENTION: Duration = Duration::from_secs(15);
/// Heartbeat interval of a leader as a fraction of the minimum election timeout.
const HEARTBEAT_FRACTION: f64 = 0.35;
/// Time without contact after which a host is removed from a group that has
/// more hosts than configured. Until then such a group needs more of its hosts than one of
/// its usual size. Longer than a process that is killed takes to be back.
const UNREACHABLE_HOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks for answers and ended jobs past their retention.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Settings and recovered state of the replicated log.
pub struct LogSetup {
    /// Name of this control host.
    pub name: NodeId,
    /// Incarnation of this process; increases with each start of the host.
    pub boot: Incarnation,
    /// Initial group of a new deployment; used if the journal has no snapshot.
    pub group: Vec<ControlPeer>,
    /// Whether a host with an empty data folder may bootstrap a new group.
    pub bootstrap: bool,
    /// Target size of the group: while it has more hosts, an unreachable one is
    /// removed. `None` disables the removal.
    pub target_hosts: Option<usize>,
    /// Minimum election timeout.
    pub election: Duration,
    /// How long answers and ended jobs are kept.
    pub retention: Duration,
    /// Number of applied records after which a snapshot is taken at the latest.
    pub snapshot_records: u64,
    /// Hard state, snapshot position and records recovered from the journal.
    pub stored: StoredReplica,
    /// Replicated state of the recovered snapshot.
    pub state: ControlState,
}

/// Proposed commands whose results are pending.
struct PendingBatch {
    call: CallId,
    reply: Reservation<ControlReply>,
    /// Log positions of the first and the last command.
    first: LogIndex,
    last: LogIndex,
    results: Vec<CommandResult>,
}

/// The snapshot that hosts are being sent.
struct OutgoingSnapshot {
    snapshot: EncodedSnapshot,
    /// Time at which a part of it was last sent.
    last_used: Instant,
}

struct ReplicatedLog {
    context: ServiceContext,
    log: EventLog,
    replica: Replica,
    state: ControlState,
    retention: Duration,
    log_budget: LogBudget,
    pending_batches: VecDeque<PendingBatch>,
    /// Kept between its parts, since encoding takes long.
    outgoing: Option<OutgoingSnapshot>,
    /// Calls that wait until a group change is applied.
    group_change_calls: Vec<(CallId, Reservation<ControlReply>)>,
    /// Open calls of each replica, oldest first.
    replica_calls: IndexMap<NodeId, Vec<(CallId, Reservation<ControlReply>)>>,
    /// Leadership that the other services were last notified of: the term in
    /// which this host leads, and what it knows of the leader and the group.
    notified_leadership: (Option<Term>, LeaderHint),
    /// What the leader told this host when it asked to join.
    learned_group: LearnedGroup,
    notified_group: Vec<ControlPeer>,
    /// Whether the group had more hosts than it needs.
    notified_surplus: bool,
    next_expiry: Instant,
    target_hosts: Option<usize>,
    /// Entries that found the journal writer's ring, or the own one, full.
    unsent_entries: VecDeque<JournalEntry>,
    own_ring: RingSender<LogMessage>,
    journal: RingSender<JournalMessage>,
    links: RingSender<ReplicaLinkMessage>,
    membership: RingSender<MembershipMessage>,
    scheduling: RingSender<SchedulingMessage>,
    /// `None` on a host whose group is in its settings.
    group_join: Option<RingSender<GroupJoinMessage>>,
}

/// Runs the service until its ring is closed.
///
/// # Errors
/// Fails if a service that it sends to is not registered.
pub fn run(
    ring: &RingReceiver<LogMessage>,
    registry: &Registry<ServiceName>,
    context: ServiceContext,
    setup: LogSetup,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let now = clock.now();
    let limits = ReplicaLimits {
        min_election_timeout: setup.election,
        heartbeat_interval: setup.election.mul_f64(HEARTBEAT_FRACTION),
        max_batch_records: MAX_BATCH_RECORDS,
        max_batch_bytes: MAX_BATCH_BYTES,
    };
    let target_hosts = setup.target_hosts;
    let learned_group = LearnedGroup::new(setup.name.clone());
    let mut replica = Replica::new(now, setup.name, setup.boot, limits, setup.group, setup.stored);
    replica.set_may_bootstrap(setup.bootstrap);
    let state = ReplicatedLog {
        log: context.event_log(registry)?,
        replica,
        state: setup.state,
        retention: setup.retention,
        log_budget: LogBudget::new(setup.snapshot_records),
        pending_batches: VecDeque::new(),
        outgoing: None,
        group_change_calls: Vec::new(),
        replica_calls: IndexMap::new(),
        notified_leadership: (None, LeaderHint::default()),
        learned_group,
        notified_group: Vec::new(),
        notified_surplus: false,
        next_expiry: now + EXPIRY_INTERVAL,
        target_hosts,
        unsent_entries: VecDeque::new(),
        own_ring: registry.find(ServiceName::ReplicatedLog)?,
        journal: registry.find(ServiceName::JournalWriter)?,
        links: registry.find(ServiceName::ReplicaLinks)?,
        membership: registry.find(ServiceName::Membership)?,
        scheduling: registry.find(ServiceName::JobScheduling)?,
        group_join: registry.find(ServiceName::GroupJoin).ok(),
        context,
    };
    state.notify_applied();
    state.notify_restored();
    run_duty(ring, &clock, DutyHandler { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &ReplicatedLog) -> Option<Instant> {
    let replica = state.replica.next_deadline();
    Some(replica.map_or(state.next_expiry, |at| at.min(state.next_expiry)))
}

fn handle(state: &mut ReplicatedLog, now: Instant, message: Option<LogMessage>) {
    if let Some(message) = message {
        state.on_message(now, message);
    }
    state.send_unsent_entries();
    if state.replica.next_deadline().is_some_and(|at| at <= now) {
        let steps = state.replica.on_tick(now);
        state.execute_steps(steps);
    }
    state.apply_committed();
    state.propose_expiry(now);
    state.remove_unreachable_host(now);
    state.drop_unused_snapshot(now);
    state.notify_changes(now);
}

impl ReplicatedLog {
    fn on_message(&mut self, now: Instant, message: LogMessage) {
        match message {
            LogMessage::Propose { call, commands, reply } => {
                self.propose(now, call, commands, reply);
            }
            LogMessage::ProposeDetached { commands } => {
                let at_ms = self.now_ms();
                if let Some((_, steps)) = self.replica.propose(now, at_ms, commands) {
                    self.execute_steps(steps);
                }
            }
            LogMessage::GroupLearned { leader, hint } => {
                self.learned_group.learn(self.replica.term(), &leader, hint);
            }
            LogMessage::Query { call, query, reply } => self.on_query(now, call, &query, reply),
            LogMessage::Replica { call, envelope, reply } => {
                self.on_replica_message(now, call, *envelope, reply);
            }
            LogMessage::ReplicaAnswer { envelope } => {
                let steps = self.replica.on_message(now, *envelope);
                self.execute_steps(steps);
            }
            LogMessage::Synced { mark } => self.on_synced(now, mark),
            LogMessage::JournalFailed { reason } => self.suspend(&reason),
            LogMessage::MemberReports { call, members, reply } => {
                let answer = ControlAnswer::Status(self.status(now, members));
                send_reply(reply, call, ControlReplyBody::Answer(Box::new(answer)));
            }
        }
    }

    /// Handles the sync of an entry. It also shows that the journal writes again.
    fn on_synced(&mut self, now: Instant, mark: SyncMark) {
        if self.unsent_entries.is_empty() && self.replica.on_journal_recovered(now) {
            self.log.warn(EventLine::new("journal_recovered"));
        }
        let steps = match mark {
            SyncMark::HardState(state) => self.replica.on_hard_state_synced(now, state),
            SyncMark::Records { index, term } => self.replica.on_synced(now, index, term),
        };
        self.execute_steps(steps);
    }

    /// Handles a message from another replica. If the reply depends on a journal
    /// sync, the call stays open until then.
    fn on_replica_message(
        &mut self,
        now: Instant,
        call: CallId,
        envelope: ReplicaEnvelope,
        reply: Reservation<ControlReply>,
    ) {
        let from = envelope.from.clone();
        self.replica_calls.entry(from.clone()).or_default().push((call, reply));
        let steps = self.replica.on_message(now, envelope);
        self.execute_steps(steps);
        if !self.replica.has_pending_reply_to(&from) {
            self.answer_replica_calls(&from, None);
        }
    }

    /// Answers the most recent open call of a host with `envelope`. Earlier calls
    /// have no reply left to wait for and get an empty one.
    fn answer_replica_calls(&mut self, host: &NodeId, envelope: Option<Box<ReplicaEnvelope>>) {
        let mut calls = self.replica_calls.swap_remove(host).unwrap_or_default();
        if let Some((call, reply)) = calls.pop() {
            send_reply(reply, call, ControlReplyBody::Replica(envelope));
        }
        for (call, reply) in calls {
            self.context.counters.count_message(model::MessageKind::IdleReport);
            send_reply(reply, call, ControlReplyBody::Replica(None));
        }
    }

    fn propose(
        &mut self,
        now: Instant,
        call: CallId,
        commands: Vec<Command>,
        reply: Reservation<ControlReply>,
    ) {
        if let Some(results) = self.read_only_results(now, &commands) {
            return send_reply(reply, call, ControlReplyBody::Results(results));
        }
        if let [Command::ChangeGroup { group }] = commands.as_slice() {
            return self.change_group(now, call, group.clone(), reply);
        }
        let count = commands.len() as LogIndex;
        let at_ms = self.now_ms();
        let Some((first, steps)) = self.replica.propose(now, at_ms, commands) else {
            return self.answer_not_leader(call, reply);
        };
        let last = first + count - 1;
        self.pending_batches.push_back(PendingBatch {
            call,
            reply,
            first,
            last,
            results: Vec::new(),
        });
        self.execute_steps(steps);
    }

    /// Results of a batch that only reads, without a log record. `None` if a
    /// command writes, or if this host does not hold the leader lease.
    fn read_only_results(&self, now: Instant, commands: &[Command]) -> Option<Vec<CommandResult>> {
        self.replica.established_term(now)?;
        let peek = |command: &Command| match command {
            Command::Peek { key, fingerprint } => Some(self.state.peek(key, *fingerprint)),
            _ => None,
        };
        commands.iter().map(peek).collect()
    }

    fn answer_not_leader(&self, call: CallId, reply: Reservation<ControlReply>) {
        send_reply(reply, call, ControlReplyBody::NotLeader(self.leader_hint()));
    }

    /// The leader and the group. Without a leader of its own, a host that was told of one
    /// passes that on: it may not be a member.
    fn leader_hint(&self) -> LeaderHint {
        let log = self.replica.log();
        self.learned_group.latest(LeaderHint {
            leader: self.replica.leader().map(|peer| peer.address),
            term: self.replica.term(),
            members: log.group().iter().map(|peer| peer.address).collect(),
            group_index: log.group_index(),
        })
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
            None => self.answer_not_leader(call, reply),
            Some(GroupChange::Refused(result)) => {
                if let CommandResult::GroupRefused { reason } = &result {
                    let line = EventLine::new("group_change_refused").with("reason", reason);
                    self.log.info(line);
                }
                send_reply(reply, call, ControlReplyBody::Results(vec![result]));
            }
            Some(GroupChange::Appended { steps, .. } | GroupChange::CatchingUp { steps }) => {
                self.group_change_calls.push((call, reply));
                self.notify_group();
                self.execute_steps(steps);
            }
        }
    }

    fn on_query(
        &mut self,
        now: Instant,
        call: CallId,
        query: &ControlQuery,
        reply: Reservation<ControlReply>,
    ) {
        if self.replica.established_term(now).is_none() {
            return self.answer_not_leader(call, reply);
        }
        match query {
            ControlQuery::Status => {
                return self.notify_membership(MembershipMessage::Reports { call, reply });
            }
            ControlQuery::Servers => {
                return self.notify_scheduling(SchedulingMessage::Servers { call, reply });
            }
            _ => {}
        }
        let answer = self.answer_query(query);
        send_reply(reply, call, ControlReplyBody::Answer(Box::new(answer)));
    }

    fn answer_query(&self, query: &ControlQuery) -> ControlAnswer {
        match query {
            ControlQuery::Status => {
                let now = self.context.clock.now();
                ControlAnswer::Status(self.status(now, Vec::new()))
            }
            ControlQuery::Config => {
                ControlAnswer::Config(self.state.config().map(|config| (*config).clone()))
            }
            ControlQuery::Catalog => ControlAnswer::Catalog(self.state.jobs().catalog()),
            // The scheduler answers it.
            ControlQuery::Servers => ControlAnswer::Servers(Vec::new()),
            ControlQuery::History => ControlAnswer::History(self.state.history()),
            ControlQuery::Figures { month } => ControlAnswer::Figures(self.state.month(month)),
        }
    }

    fn status(&self, now: Instant, members: Vec<MemberStatus>) -> ControlStatus {
        let elapsed_ms = |since: Instant| now.saturating_duration_since(since).as_millis() as u64;
        let joining = self.replica.joining().map(|joining| JoiningStatus {
            host: joining.peer.clone(),
            joining_ms: elapsed_ms(joining.since),
            stalled_ms: elapsed_ms(joining.progressed_at),
            index: joining.progress.0,
            snapshot_bytes: joining.progress.1,
        });
        ControlStatus {
            host: self.replica.name().clone(),
            term: self.replica.term(),
            commit: self.replica.commit_index(),
            group: self.replica.group(),
            group_committed: self.replica.is_group_committed(),
            config_version: self.state.config_version(),
            replicas: self.replica.progress().into_iter().collect(),
            joining: joining.collect(),
            members,
        }
    }

    fn execute_steps(&mut self, steps: Vec<ReplicaStep>) {
        for step in steps {
            match step {
                ReplicaStep::Send { to, envelope } => self.send(to, envelope),
                ReplicaStep::PersistHardState(state) => {
                    self.write_journal(JournalEntry::HardState { state });
                }
                ReplicaStep::PersistRecords { from, records } => {
                    self.write_journal(JournalEntry::Records { from, records });
                }
                ReplicaStep::SendSnapshot { to, round, received } => {
                    self.send_snapshot(to, round, received);
                }
                ReplicaStep::InstallSnapshot { snapshot } => self.install_snapshot(snapshot),
                ReplicaStep::Log(line) => self.log.info(line),
            }
        }
    }

    /// Sends a reply on the host's open call, and any other message on the link
    /// to the host.
    fn send(&mut self, to: NodeId, envelope: Box<ReplicaEnvelope>) {
        let is_reply = matches!(
            envelope.message,
            ReplicaMessage::VoteReply { .. }
                | ReplicaMessage::AppendReply { .. }
                | ReplicaMessage::LeaderDenial { .. }
        );
        if is_reply {
            return self.answer_replica_calls(&to, Some(envelope));
        }
        // The replication protocol retransmits a message dropped at a full ring.
        let _dropped = self.links.push(ReplicaLinkMessage::Send { to, envelope });
    }

    /// Suspends the replica while the journal can't write.
    fn suspend(&mut self, reason: &str) {
        if self.replica.on_journal_failed() {
            let line = EventLine::new("journal_failed").with("reason", reason);
            self.log.write(LineLevel::Error, line);
        }
    }

    /// Sends an entry to the journal writer. One that finds a ring full is kept, so that
    /// the journal has no gap, and the replica is suspended until it is sent.
    fn write_journal(&mut self, entry: JournalEntry) {
        self.unsent_entries.push_back(entry);
        self.send_unsent_entries();
        if !self.unsent_entries.is_empty() {
            self.suspend("a ring is full or closed");
        }
    }

    /// Sends the entries that wait to the journal writer, in order, each with a reserved
    /// slot for the notification of its sync.
    fn send_unsent_entries(&mut self) {
        while let Some(entry) = self.unsent_entries.pop_front() {
            let Some(reply) = self.own_ring.reserve() else {
                return self.unsent_entries.push_front(entry);
            };
            if let Err(error) = self.journal.push(JournalMessage { entry, reply }) {
                let (PushError::Full { message } | PushError::Closed { message }) = error;
                return self.unsent_entries.push_front(message.entry);
            }
        }
    }

    /// Sends a host that has received this much of a snapshot the message that follows.
    fn send_snapshot(&mut self, to: NodeId, round: u64, received: Option<SnapshotProgress>) {
        let now = self.context.clock.now();
        let outgoing = self.outgoing.take().filter(|outgoing| self.serves(outgoing, received));
        let Some(mut outgoing) = outgoing.or_else(|| self.encode_snapshot(now, &to)) else {
            return;
        };
        outgoing.last_used = now;
        let message = outgoing.snapshot.message(received, MAX_SNAPSHOT_PART_BYTES, round);
        self.outgoing = Some(outgoing);
        let envelope = Box::new(self.replica.envelope(self.replica.term(), message));
        self.send(to, envelope);
    }

    /// Whether a snapshot continues what a host has received, or the log continues it.
    fn serves(&self, outgoing: &OutgoingSnapshot, received: Option<SnapshotProgress>) -> bool {
        let OutgoingSnapshot { snapshot, .. } = outgoing;
        received.is_some_and(|received| snapshot.matches(&received))
            || snapshot.mark().index >= self.replica.log().mark().index
    }

    fn encode_snapshot(&self, now: Instant, to: &NodeId) -> Option<OutgoingSnapshot> {
        let state = serde_json::to_string(&self.state).ok()?;
        let mark = self.replica.snapshot_mark_at(self.state.versions().applied)?;
        let snapshot = EncodedSnapshot::new(mark, state);
        let line = EventLine::new("snapshot_encoded")
            .with("for", to)
            .with("index", snapshot.mark().index)
            .with("bytes", snapshot.bytes());
        self.log.info(line);
        Some(OutgoingSnapshot { snapshot, last_used: now })
    }

    /// Drops the encoded snapshot once no host needs it, or this host doesn't lead.
    fn drop_unused_snapshot(&mut self, now: Instant) {
        let is_leader = self.replica.is_leader();
        self.outgoing
            .take_if(|outgoing| !is_leader || now >= outgoing.last_used + SNAPSHOT_RETENTION);
    }

    /// Puts a snapshot in force, or refuses one that can't be used: this host then keeps
    /// what it has and can take a later one.
    fn install_snapshot(&mut self, snapshot: ReceivedSnapshot) {
        let state = match decode_snapshot(&snapshot) {
            Ok(state) => state,
            Err(error) => {
                let line = EventLine::new("snapshot_refused")
                    .with("index", snapshot.mark.index)
                    .with("bytes", snapshot.state.len())
                    .with("kept_index", self.state.versions().applied)
                    .with("reason", error);
                self.log.write(LineLevel::Error, line);
                let refusal = self.replica.refuse_snapshot(&snapshot);
                return self.execute_steps(vec![refusal]);
            }
        };
        if !self.replica.install_snapshot(&snapshot) {
            return;
        }
        self.state = state;
        self.log_budget.on_snapshot(snapshot.state.len());
        self.log.info(EventLine::new("snapshot_installed").with("index", snapshot.mark.index));
        self.notify_applied();
        self.notify_restored();
        self.write_snapshot(snapshot.mark, snapshot.state);
    }

    fn write_snapshot(&mut self, mark: SnapshotMark, state: String) {
        let rest = self.replica.log().slice(mark.index + 1, usize::MAX);
        let hard_state = self.replica.hard_state().clone();
        self.write_journal(JournalEntry::Snapshot { mark, state, rest, hard_state });
    }

    fn apply_committed(&mut self) {
        let before = self.state.versions();
        let mut records = Vec::new();
        while self.state.versions().applied < self.replica.commit_index() {
            let index = self.state.versions().applied + 1;
            let Some(record) = self.replica.log().record(index).cloned() else { break };
            let result = self.state.apply(&record);
            self.log_budget.on_applied(&record);
            self.deliver_result(index, result, &record.command);
            if record.command.is_about_queues() {
                records.push(record);
            }
        }
        if !records.is_empty() {
            self.notify_scheduling(SchedulingMessage::Applied { records });
        }
        let after = self.state.versions();
        if before.config != after.config || before.members != after.members {
            self.notify_applied();
        }
        self.snapshot_if_due();
    }

    fn deliver_result(&mut self, index: LogIndex, result: CommandResult, command: &Command) {
        if matches!(command, Command::ChangeGroup { .. }) {
            for (call, reply) in self.group_change_calls.drain(..) {
                send_reply(reply, call, ControlReplyBody::Results(vec![CommandResult::Done]));
            }
        }
        if let Command::FenceInForce { .. } = command {
            self.notify_applied();
        }
        let Some(batch) = self.pending_batches.front_mut() else { return };
        if index < batch.first {
            return;
        }
        batch.results.push(result);
        if index < batch.last {
            return;
        }
        if let Some(PendingBatch { call, reply, results, .. }) = self.pending_batches.pop_front() {
            send_reply(reply, call, ControlReplyBody::Results(results));
        }
    }

    fn snapshot_if_due(&mut self) {
        if self.log_budget.next_step() == LogStep::Keep {
            return;
        }
        let applied = self.state.versions().applied;
        let Ok(state) = serde_json::to_string(&self.state) else { return };
        self.log_budget.on_snapshot(state.len());
        let mark = self.replica.compact(applied);
        self.log.info(EventLine::new("snapshot").with("index", applied).with("bytes", state.len()));
        self.write_snapshot(mark, state);
    }

    /// Answers all pending calls with an unknown outcome when this host stops
    /// leading: their commands may still be committed by the next leader.
    fn abandon_pending_calls(&mut self) {
        for PendingBatch { call, reply, .. } in self.pending_batches.drain(..) {
            send_reply(reply, call, ControlReplyBody::Unknown);
        }
        for (call, reply) in self.group_change_calls.drain(..) {
            send_reply(reply, call, ControlReplyBody::Unknown);
        }
    }

    /// As leader, proposes the removal of answers and ended jobs that are older
    /// than the retention.
    fn propose_expiry(&mut self, now: Instant) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        let before_ms = self.now_ms().saturating_sub(self.retention.as_millis() as u64);
        let is_expired = |oldest: Option<u64>| oldest.is_some_and(|oldest| oldest < before_ms);
        let mut commands = Vec::new();
        if is_expired(self.state.oldest_ended_ms()) {
            commands.push(Command::Expire { before_ms });
        }
        if is_expired(self.state.jobs().oldest_ended_ms()) {
            commands.push(Command::ForgetJobs { before_ms });
        }
        if commands.is_empty() || self.replica.established_term(now).is_none() {
            return;
        }
        if let Some((_, steps)) = self.replica.propose(now, before_ms, commands) {
            self.execute_steps(steps);
        }
    }

    /// Removes an unreachable host once its replacement has joined, that is,
    /// while the group exceeds its target size.
    fn remove_unreachable_host(&mut self, now: Instant) {
        let Some(target_hosts) = self.target_hosts else { return };
        let reduced_group =
            self.replica.group_without_unreachable(now, target_hosts, UNREACHABLE_HOST_TIMEOUT);
        let Some(group) = reduced_group else { return };
        let at_ms = self.now_ms();
        if let Some(GroupChange::Appended { index, steps }) =
            self.replica.change_group(now, at_ms, group.clone())
        {
            let host_names: Vec<&str> = group.iter().map(|peer| peer.name.as_str()).collect();
            let line = EventLine::new("silent_host_replaced")
                .with("index", index)
                .with("group", host_names.join(","));
            self.log.info(line);
            self.execute_steps(steps);
        }
    }

    fn notify_changes(&mut self, now: Instant) {
        if !self.replica.is_leader() {
            self.abandon_pending_calls();
        }
        self.notify_group();
        let leadership = (self.replica.established_term(now), self.leader_hint());
        if leadership == self.notified_leadership {
            return;
        }
        let known = self.replica.leader().is_some();
        if known {
            self.learned_group.forget();
        }
        self.notify_group_join(GroupJoinMessage::Leader { known });
        if leadership.0 != self.notified_leadership.0 {
            let line = EventLine::new("leadership")
                .with("term", self.replica.term())
                .with("leading", leadership.0.is_some());
            self.log.info(line);
        }
        self.notified_leadership = leadership.clone();
        let (term, hint) = leadership;
        self.notify_membership(MembershipMessage::Leading { term, hint: hint.clone() });
        self.notify_scheduling(SchedulingMessage::Leading { term, hint });
    }

    /// Notifies the duty that keeps this host a member, where there is one.
    fn notify_group_join(&self, message: GroupJoinMessage) {
        if let Some(join) = &self.group_join
            && join.push(message).is_err()
        {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::GroupJoin));
        }
    }

    fn notify_restored(&self) {
        let state = Box::new(self.state.jobs().state());
        self.notify_scheduling(SchedulingMessage::Restored { state });
    }

    fn notify_scheduling(&self, message: SchedulingMessage) {
        if self.scheduling.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::JobScheduling));
        }
    }

    fn notify_group(&mut self) {
        let mut group = self.replica.group();
        group.extend(self.replica.joining().map(|joining| joining.peer.clone()));
        if group != self.notified_group {
            self.notified_group = group.clone();
            // The ring's capacity far exceeds the number of group changes.
            let _full = self.links.push(ReplicaLinkMessage::Group { group });
        }
        let members = self.replica.log().group().len();
        let exists = self.target_hosts.is_some_and(|target| members > target);
        if exists != self.notified_surplus {
            self.notified_surplus = exists;
            self.notify_group_join(GroupJoinMessage::Surplus { exists });
        }
    }

    fn notify_applied(&self) {
        let snapshot = Arc::new(self.state.membership());
        self.notify_membership(MembershipMessage::Applied { snapshot });
    }

    fn notify_membership(&self, message: MembershipMessage) {
        if self.membership.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::Membership));
        }
    }

    fn now_ms(&self) -> u64 {
        let wall_clock = self.context.clock.wall_clock();
        let since_epoch = wall_clock.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_millis() as u64
    }
}

/// Why a snapshot from a leader can't be used.
#[derive(Debug, Snafu)]
enum SnapshotError {
    #[snafu(display("the state can't be decoded: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("the state is that of index {applied}"))]
    OtherIndex { applied: LogIndex },
    #[snafu(display("the group is empty"))]
    NoGroup,
}

/// Decodes the state of a snapshot and checks that it belongs to the snapshot's mark.
fn decode_snapshot(snapshot: &ReceivedSnapshot) -> Result<ControlState, SnapshotError> {
    let ReceivedSnapshot { mark, state, .. } = snapshot;
    let state: ControlState = serde_json::from_str(state).context(DecodeSnafu)?;
    let applied = state.versions().applied;
    ensure!(applied == mark.index, OtherIndexSnafu { applied });
    ensure!(!mark.group.is_empty(), NoGroupSnafu);
    Ok(state)
}

fn send_reply(reply: Reservation<ControlReply>, call: CallId, body: ControlReplyBody) {
    reply.push(ControlReply { call, body });
}
