//! Deterministic model of a replica group, with a network and disks that a test
//! advances step by step.
//!
//! Invariants, checked after every step: at most one leader in a term, at most
//! one host with the leader lease at a time, no lease that is lost comes back in its term, and
//! no committed record is lost or differs between hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use decisions::control::{
    EncodedSnapshot, GroupChange, ReceivedSnapshot, Replica, ReplicaLimits, ReplicaStep,
    StoredReplica,
};
use model::{
    Command, ControlPeer, JournalEntry, LogIndex, LogRecord, NodeId, ReplicaEnvelope,
    ReplicaMessage, SnapshotProgress, SyncMark, Term,
};

/// Maximum size of a message; a record alone may take most of it.
const MAX_MESSAGE_BYTES: usize = 2 * MAX_BATCH_BYTES;
/// Maximum size of the records in one message, unless one alone is larger.
pub(crate) const MAX_BATCH_BYTES: usize = 1_000;
/// Maximum size of the part of a snapshot in one message.
const MAX_PART_BYTES: usize = 150;
/// Minimum election timeout of the replicas.
pub(crate) const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub(crate) struct Host {
    pub(crate) replica: Replica,
    /// The synced state, with which the host restarts.
    pub(crate) stored: StoredReplica,
    /// Writes that are lost in a restart, oldest first.
    pub(crate) unsynced: Vec<JournalEntry>,
    /// Incarnation of the process; each restart increments it.
    pub(crate) boot: u64,
    /// The snapshot that it sends to others.
    outgoing: Option<EncodedSnapshot>,
    pub(crate) down: bool,
    /// Whether the disk takes no writes.
    pub(crate) disk_full: bool,
}

#[derive(Clone)]
pub(crate) struct LogModel {
    pub(crate) now: Instant,
    pub(crate) hosts: Vec<Host>,
    /// Messages in transit with their receivers.
    pub(crate) network: Vec<(NodeId, ReplicaEnvelope)>,
    group: Vec<ControlPeer>,
    /// Every record that any replica has reported as committed.
    committed: BTreeMap<LogIndex, LogRecord>,
    /// The first leader seen in each term.
    leaders: BTreeMap<Term, NodeId>,
    /// The term for which each host holds the lease.
    leases: BTreeMap<NodeId, Term>,
    /// Terms whose leader has lost the lease.
    lapsed_terms: BTreeSet<Term>,
    proposals: u64,
}

pub(crate) fn peer(number: usize) -> ControlPeer {
    let address = ([127, 0, 0, 1], 9_000 + number as u16).into();
    ControlPeer { name: format!("c{number}").into(), address }
}

fn limits() -> ReplicaLimits {
    ReplicaLimits {
        min_election_timeout: MIN_ELECTION_TIMEOUT,
        heartbeat_interval: MIN_ELECTION_TIMEOUT / 3,
        max_batch_records: 4,
        max_batch_bytes: MAX_BATCH_BYTES,
    }
}

impl LogModel {
    pub(crate) fn new(size: usize) -> LogModel {
        let now = Instant::now();
        let group: Vec<ControlPeer> = (0..size).map(peer).collect();
        let mut model = LogModel {
            now,
            hosts: Vec::new(),
            network: Vec::new(),
            group,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            leases: BTreeMap::new(),
            lapsed_terms: BTreeSet::new(),
            proposals: 0,
        };
        for number in 0..size {
            let host = model.start_host(number, 1, StoredReplica::default());
            model.hosts.push(host);
        }
        model
    }

    /// Creates a group that has formed.
    pub(crate) fn formed(size: usize) -> LogModel {
        let mut model = LogModel::new(size);
        for number in 0..size {
            let mut stored = StoredReplica::default();
            stored.hard_state.in_quorum = true;
            model.hosts[number] = model.start_host(number, 1, stored);
        }
        model
    }

    fn start_host(&self, number: usize, boot: u64, stored: StoredReplica) -> Host {
        let name = peer(number).name;
        let replica =
            Replica::new(self.now, name, boot, limits(), self.group.clone(), stored.clone());
        Host {
            replica,
            stored,
            unsynced: Vec::new(),
            boot,
            outgoing: None,
            down: false,
            disk_full: false,
        }
    }

    /// Adds a host that is not a member of the initial group and returns its number.
    pub(crate) fn add_host(&mut self) -> usize {
        let number = self.hosts.len();
        let host = self.start_host(number, 1, StoredReplica::default());
        self.hosts.push(host);
        number
    }

    fn number(&self, name: &NodeId) -> Option<usize> {
        self.hosts.iter().position(|host| host.replica.name() == name)
    }

    fn apply_steps(&mut self, number: usize, steps: Vec<ReplicaStep>) {
        for step in steps {
            let host = &mut self.hosts[number];
            match step {
                ReplicaStep::Send { to, envelope } => {
                    // A message that is too large is never delivered.
                    if message_bytes(&envelope.message) <= MAX_MESSAGE_BYTES {
                        self.network.push((to, *envelope));
                    }
                }
                ReplicaStep::PersistHardState(state) => {
                    host.unsynced.push(JournalEntry::HardState { state });
                }
                ReplicaStep::PersistRecords { from, records } => {
                    host.unsynced.push(JournalEntry::Records { from, records });
                }
                ReplicaStep::SendSnapshot { to, round, received } => {
                    self.send_snapshot(number, to, round, received);
                }
                ReplicaStep::Log(_) => {}
                ReplicaStep::InstallSnapshot { snapshot } => {
                    if !host.replica.install_snapshot(&snapshot) {
                        continue;
                    }
                    let ReceivedSnapshot { mark, state, .. } = snapshot;
                    assert_eq!(state, state_at(&self.committed, mark.index), "another state");
                    let rest = host.replica.log().slice(mark.index + 1, usize::MAX);
                    let hard_state = host.replica.hard_state().clone();
                    host.unsynced.push(JournalEntry::Snapshot { mark, state, rest, hard_state });
                }
            }
        }
        self.check();
    }

    /// Sends what follows on the received part of the host's snapshot. Hosts keep their
    /// latest one; a new one is taken when the log has gone past it.
    fn send_snapshot(
        &mut self,
        number: usize,
        to: NodeId,
        round: u64,
        received: Option<SnapshotProgress>,
    ) {
        // The records that this host has just committed are part of the state.
        self.check();
        let Host { replica, outgoing, .. } = &mut self.hosts[number];
        let outdated = |kept: &EncodedSnapshot| kept.mark().index < replica.log().mark().index;
        let continued =
            |kept: &EncodedSnapshot| received.is_some_and(|received| kept.matches(&received));
        if outgoing.as_ref().is_none_or(|kept| outdated(kept) && !continued(kept)) {
            let index = replica.commit_index();
            let Some(mark) = replica.snapshot_mark_at(index) else { return };
            *outgoing = Some(EncodedSnapshot::new(mark, state_at(&self.committed, index)));
        }
        let Some(snapshot) = outgoing else { return };
        let message = snapshot.message(received, MAX_PART_BYTES, round);
        if message_bytes(&message) <= MAX_MESSAGE_BYTES {
            self.network.push((to, replica.envelope(replica.term(), message)));
        }
    }

    pub(crate) fn tick(&mut self, number: usize) {
        if !self.hosts[number].down {
            let steps = self.hosts[number].replica.on_tick(self.now);
            self.apply_steps(number, steps);
        }
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
        self.check_lapsed();
    }

    /// Delivers the message at a position and returns whether there was one; with
    /// `duplicate`, a copy stays in the network.
    pub(crate) fn deliver(&mut self, position: usize, duplicate: bool) -> bool {
        if position >= self.network.len() {
            return false;
        }
        let (to, envelope) = match duplicate {
            true => self.network[position].clone(),
            false => self.network.remove(position),
        };
        if let Some(number) = self.number(&to).filter(|number| !self.hosts[*number].down) {
            let steps = self.hosts[number].replica.on_message(self.now, envelope);
            self.apply_steps(number, steps);
        }
        true
    }

    /// Syncs the oldest `count` writes of a host to its disk.
    pub(crate) fn sync(&mut self, number: usize, count: usize) {
        let host = &mut self.hosts[number];
        if host.disk_full {
            return;
        }
        let count = count.min(host.unsynced.len());
        let entries: Vec<JournalEntry> = host.unsynced.drain(..count).collect();
        for entry in entries {
            let mark = entry.sync_mark();
            apply_entry(&mut self.hosts[number].stored, entry);
            let now = self.now;
            let replica = &mut self.hosts[number].replica;
            let steps = match mark {
                SyncMark::HardState(state) => replica.on_hard_state_synced(now, state),
                SyncMark::Records { index, term } => replica.on_synced(now, index, term),
            };
            self.apply_steps(number, steps);
        }
    }

    /// Makes the journal of a host fail: nothing is synced until it works again.
    pub(crate) fn fail_journal(&mut self, number: usize) {
        self.hosts[number].disk_full = true;
        self.hosts[number].replica.on_journal_failed();
        self.check();
    }

    /// Lets the journal of a host work again: it first writes what is left, the first
    /// sync of which ends the failure.
    pub(crate) fn restore_journal(&mut self, number: usize) {
        let was_full = std::mem::take(&mut self.hosts[number].disk_full);
        if was_full {
            self.hosts[number].replica.on_journal_recovered(self.now);
            self.sync(number, usize::MAX);
        }
    }

    /// Restarts a host with its synced state.
    pub(crate) fn restart(&mut self, number: usize) {
        let (stored, boot) = (self.hosts[number].stored.clone(), self.hosts[number].boot + 1);
        self.hosts[number] = self.start_host(number, boot, stored);
        self.check();
    }

    /// Restarts a host with an empty disk.
    pub(crate) fn lose_disk(&mut self, number: usize) {
        self.hosts[number].stored = StoredReplica::default();
        self.restart(number);
    }

    /// Whether the disks of all other hosts count for durability, so that this one
    /// may be lost.
    pub(crate) fn others_durable(&self, number: usize) -> bool {
        let others = self.hosts.iter().enumerate().filter(|(other, _)| *other != number);
        others.clone().count() > 0
            && others.into_iter().all(|(_, host)| host.stored.hard_state.in_quorum)
    }

    /// Proposes a distinct command; returns whether the host took it as leader.
    pub(crate) fn propose(&mut self, number: usize) -> bool {
        self.proposals += 1;
        self.propose_command(number, Command::Expire { before_ms: self.proposals })
    }

    /// Proposes a command; returns whether the host took it as leader.
    pub(crate) fn propose_command(&mut self, number: usize, command: Command) -> bool {
        let proposed = self.hosts[number].replica.propose(self.now, 0, vec![command]);
        let Some((_, steps)) = proposed else { return false };
        self.apply_steps(number, steps);
        true
    }

    pub(crate) fn change_group(&mut self, number: usize, group: Vec<ControlPeer>) -> bool {
        match self.hosts[number].replica.change_group(self.now, 0, group) {
            Some(GroupChange::Appended { steps, .. } | GroupChange::CatchingUp { steps }) => {
                self.apply_steps(number, steps);
                true
            }
            Some(GroupChange::Refused(_)) | None => false,
        }
    }

    /// Replaces the committed part of a host's log by a snapshot.
    pub(crate) fn compact(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let index = host.replica.commit_index();
        if index <= host.replica.log().mark().index {
            return;
        }
        let mark = host.replica.compact(index);
        let rest = host.replica.log().slice(mark.index + 1, usize::MAX);
        let hard_state = host.replica.hard_state().clone();
        let state = state_at(&self.committed, index);
        host.unsynced.push(JournalEntry::Snapshot { mark, state, rest, hard_state });
    }

    /// Runs rounds of a tenth of an election timeout in which all messages arrive
    /// and all writes are synced.
    pub(crate) fn run_fault_free(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance(MIN_ELECTION_TIMEOUT / 10);
            for number in 0..self.hosts.len() {
                self.tick(number);
                self.sync(number, usize::MAX);
            }
            let mut budget = 400;
            while budget > 0 && self.deliver(0, false) {
                budget -= 1;
                for number in 0..self.hosts.len() {
                    self.sync(number, usize::MAX);
                }
            }
        }
    }

    /// The running host that holds the leader lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| !host.down && host.replica.established_term(self.now).is_some();
        self.hosts.iter().position(leads)
    }

    pub(crate) fn committed_proposals(&self) -> usize {
        let is_proposal = |record: &&LogRecord| matches!(record.command, Command::Expire { .. });
        self.committed.values().filter(is_proposal).count()
    }

    pub(crate) fn highest_committed(&self) -> LogIndex {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Checks the invariants of the model.
    fn check(&mut self) {
        let holds_lease =
            |host: &&Host| !host.down && host.replica.established_term(self.now).is_some();
        let lease_holders = self.hosts.iter().filter(holds_lease).count();
        assert!(lease_holders <= 1, "{lease_holders} hosts hold a lease at once");
        self.check_lapsed();
        let mut leaders = Vec::new();
        for host in self.hosts.iter().filter(|host| host.replica.is_leader()) {
            leaders.push((host.replica.term(), host.replica.name().clone()));
        }
        for (term, name) in leaders {
            let known = self.leaders.entry(term).or_insert_with(|| name.clone());
            assert_eq!(*known, name, "two leaders in term {term}");
        }
        for number in 0..self.hosts.len() {
            self.check_commits(number);
        }
    }

    /// Checks that no lease that was lost has come back in its term.
    fn check_lapsed(&mut self) {
        for host in &self.hosts {
            let name = host.replica.name();
            let term = host.replica.established_term(self.now);
            if let Some(lost) = self.leases.remove(name).filter(|held| Some(*held) != term) {
                self.lapsed_terms.insert(lost);
            }
            if let Some(term) = term {
                assert!(!self.lapsed_terms.contains(&term), "a second lead in term {term}");
                self.leases.insert(name.clone(), term);
            }
        }
    }

    fn check_commits(&mut self, number: usize) {
        let replica = &self.hosts[number].replica;
        for index in (replica.log().mark().index + 1)..=replica.commit_index() {
            let record = replica.log().record(index);
            let record = record.unwrap_or_else(|| panic!("committed record {index} is missing"));
            let known = self.committed.entry(index).or_insert_with(|| record.clone());
            assert_eq!(known, record, "two records are committed at {index}");
        }
    }
}

/// The state that the committed records up to an index build, encoded.
fn state_at(committed: &BTreeMap<LogIndex, LogRecord>, index: LogIndex) -> String {
    let records: Vec<&LogRecord> = committed.range(..=index).map(|(_, record)| record).collect();
    serde_json::to_string(&records).expect("records can be encoded")
}

/// Size of the records or the state that a message carries.
fn message_bytes(message: &ReplicaMessage) -> usize {
    match message {
        ReplicaMessage::Append { records, .. } => records.iter().map(LogRecord::encoded_len).sum(),
        ReplicaMessage::Snapshot { state, .. } => state.len(),
        ReplicaMessage::SnapshotPart { part, .. } => part.text.len(),
        _ => 0,
    }
}

fn apply_entry(stored: &mut StoredReplica, entry: JournalEntry) {
    match entry {
        JournalEntry::HardState { state } => stored.hard_state = state,
        JournalEntry::Records { from, records } => {
            stored.records.retain(|record| record.index < from);
            let snapshot_index = stored.mark.index;
            stored.records.extend(records.into_iter().filter(|r| r.index > snapshot_index));
        }
        JournalEntry::Snapshot { mark, rest, hard_state, .. } => {
            stored.mark = mark;
            stored.records = rest;
            stored.hard_state = hard_state;
        }
    }
}
