//! A control host that is sent a snapshot which it can't use. Guards against a host that is
//! mute from then on, until it is restarted: its group has lost one more host than it sees.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use assert_matches::assert_matches;
use decisions::control::{ControlState, EncodedSnapshot, StoredReplica};
use kernel::{DrainGate, Kernel, PopResult, Registry, RingReceiver, SharedClock, SystemClock};
use kernel::{RingSender, bounded};
use model::{
    Command, ControlPeer, ControlReply, ControlReplyBody, JournalEntry, JournalMessage, LogLine,
    LogMessage, LogRecord, MembershipMessage, NodeId, ProcessCounters, ReplicaEnvelope,
    ReplicaLinkMessage, ReplicaMessage, SchedulingMessage, ServiceName, SnapshotMark,
};
use services::ServiceContext;
use services::replicated_log::{self, LogSetup};

use crate::log_model::peer;

/// Bound on the wait for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the test takes, so that the host under test stays a follower.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(600);
/// Slots of each ring.
const RING_SLOTS: usize = 256;

/// The replicated log of one follower, with a journal that syncs at once.
pub(crate) struct FollowerLog {
    pub(crate) kernel: Kernel<ServiceName>,
    log: RingSender<LogMessage>,
    reply_slots: RingSender<ControlReply>,
    replies: RingReceiver<ControlReply>,
    lines: RingReceiver<LogLine>,
    journaled: RingReceiver<JournalEntry>,
}

impl FollowerLog {
    pub(crate) fn start() -> FollowerLog {
        let mut kernel: Kernel<ServiceName> = Kernel::default();
        let clock: SharedClock = Arc::new(SystemClock);
        let counters = ProcessCounters::default();
        let context = ServiceContext { clock, counters, gate: DrainGate::default() };
        let (log_lines, lines) = bounded::<LogLine>(RING_SLOTS);
        forward(&mut kernel, ServiceName::LogWriter, move |line| {
            let _full = log_lines.push(line);
        });
        let (entries, journaled) = bounded::<JournalEntry>(RING_SLOTS);
        forward(&mut kernel, ServiceName::JournalWriter, move |message: JournalMessage| {
            let JournalMessage { entry, reply } = message;
            let mark = entry.sync_mark();
            entries.push(entry).expect("the ring has room");
            reply.push(LogMessage::Synced { mark });
        });
        forward(&mut kernel, ServiceName::ReplicaLinks, drop::<ReplicaLinkMessage>);
        forward(&mut kernel, ServiceName::Membership, drop::<MembershipMessage>);
        forward(&mut kernel, ServiceName::JobScheduling, drop::<SchedulingMessage>);
        kernel
            .register(ServiceName::ReplicatedLog, RING_SLOTS, move |ring, registry| {
                replicated_log::run(&ring, &registry, context, setup()).expect("assembled");
            })
            .expect("the name is free");
        let registry: Registry<ServiceName> = kernel.start().expect("the duties start");
        let log = registry.find(ServiceName::ReplicatedLog).expect("the log is registered");
        let (reply_slots, replies) = bounded::<ControlReply>(RING_SLOTS);
        FollowerLog { kernel, log, reply_slots, replies, lines, journaled }
    }

    /// Delivers a message of the leader and returns the reply.
    pub(crate) fn deliver(&self, message: ReplicaMessage) -> ReplicaMessage {
        let envelope = Box::new(ReplicaEnvelope { from: leader(), term: 1, boot: 1, message });
        let reply = self.reply_slots.reserve().expect("the ring has room");
        self.log.push(LogMessage::Replica { call: 1, envelope, reply }).expect("the ring has room");
        let reply = self.replies.pop(Some(Instant::now() + REPLY_TIMEOUT));
        let PopResult::Message(ControlReply { body, .. }) = reply else {
            panic!("{reply:?} instead of a reply");
        };
        let ControlReplyBody::Replica(Some(envelope)) = body else {
            panic!("the host is mute: {body:?}");
        };
        envelope.message
    }

    /// Waits for a line of this event.
    fn await_line(&self, event: &str) {
        let until = Instant::now() + REPLY_TIMEOUT;
        loop {
            match self.lines.pop(Some(until)) {
                PopResult::Message(line) if line.text.contains(event) => return,
                PopResult::Message(_) => {}
                other => panic!("no line {event}: {other:?}"),
            }
        }
    }

    /// Number of snapshots that were written to the journal.
    fn journaled_snapshots(&self) -> usize {
        self.journaled().filter(|entry| matches!(entry, JournalEntry::Snapshot { .. })).count()
    }

    /// Entries that were written to the journal since the last call.
    pub(crate) fn journaled(&self) -> impl Iterator<Item = JournalEntry> {
        std::iter::from_fn(|| self.journaled.try_next())
    }
}

/// Registers a duty that passes each message on.
fn forward<M: Send + 'static>(
    kernel: &mut Kernel<ServiceName>,
    name: ServiceName,
    pass_on: impl Fn(M) + Send + 'static,
) {
    let run = move |ring: RingReceiver<M>, _| {
        while let PopResult::Message(message) = ring.pop(None) {
            pass_on(message);
        }
    };
    kernel.register(name, RING_SLOTS, run).expect("the name is free");
}

fn leader() -> NodeId {
    peer(1).name
}

fn group() -> Vec<ControlPeer> {
    (0..3).map(peer).collect()
}

fn setup() -> LogSetup {
    let mut stored = StoredReplica::default();
    stored.hard_state.in_quorum = true;
    LogSetup {
        name: peer(0).name,
        boot: 1,
        group: group(),
        bootstrap: true,
        target_hosts: None,
        election: ELECTION_TIMEOUT,
        retention: ELECTION_TIMEOUT,
        snapshot_records: 1_000,
        stored,
        state: ControlState::default(),
    }
}

fn record(index: u64) -> LogRecord {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let at_ms = since_epoch.expect("after 1970").as_millis() as u64;
    LogRecord { index, term: 1, at_ms, command: Command::Noop }
}

/// The state after this many records, as a snapshot has it.
fn state_text(records: u64) -> String {
    let mut state = ControlState::default();
    for index in 1..=records {
        state.apply(&record(index));
    }
    serde_json::to_string(&state).expect("the state can be encoded")
}

fn snapshot(index: u64, state: String) -> ReplicaMessage {
    let mark = SnapshotMark { index, term: 1, group: group() };
    ReplicaMessage::Snapshot { mark, state, round: 2 }
}

fn append(from: u64, to: u64) -> ReplicaMessage {
    ReplicaMessage::Append {
        prev_index: from - 1,
        prev_term: u64::from(from > 1),
        records: (from..=to).map(record).collect(),
        commit: to,
        round: 1,
        may_join_quorum: false,
    }
}

/// Sends a broken snapshot to a host that holds three records, and then a good one.
fn refused_then_replaced(broken: ReplicaMessage) {
    let mut follower = FollowerLog::start();
    let reply = follower.deliver(append(1, 3));
    assert_matches!(reply, ReplicaMessage::AppendReply { accepted: true, match_index: 3, .. });
    let reply = follower.deliver(broken);
    // The leader must not take the host for one that has caught up.
    assert_matches!(reply, ReplicaMessage::AppendReply { accepted: false, match_index: 3, .. });
    follower.await_line("snapshot_refused");
    // What the host has is still in force.
    let reply = follower.deliver(append(4, 5));
    assert_matches!(reply, ReplicaMessage::AppendReply { accepted: true, match_index: 5, .. });
    let reply = follower.deliver(snapshot(9, state_text(9)));
    assert_matches!(reply, ReplicaMessage::AppendReply { accepted: true, match_index: 9, .. });
    let reply = follower.deliver(append(10, 12));
    assert_matches!(reply, ReplicaMessage::AppendReply { accepted: true, match_index: 12, .. });
    assert_eq!(follower.journaled_snapshots(), 1, "nothing of the broken one is stored");
    follower.kernel.stop();
}

#[test]
fn undecodable_refused() {
    refused_then_replaced(snapshot(9, "{\"applied\":9,\"configs\"".to_owned()));
}

#[test]
fn empty_refused() {
    refused_then_replaced(snapshot(9, String::new()));
}

// The records after the snapshot would be applied to a state that lacks some, or has some twice.
#[test]
fn other_index_refused() {
    refused_then_replaced(snapshot(9, state_text(7)));
}

// A group without hosts has no majority.
#[test]
fn missing_group_refused() {
    let mark = SnapshotMark { index: 9, term: 1, group: Vec::new() };
    refused_then_replaced(ReplicaMessage::Snapshot { mark, state: state_text(9), round: 2 });
}

// The service takes a snapshot in parts, and refuses the whole if it can't be decoded.
#[test]
fn parts_checked_whole() {
    let mut follower = FollowerLog::start();
    follower.deliver(append(1, 3));
    let broken = format!("{}}}", state_text(9));
    for (state, is_accepted) in [(broken, false), (state_text(9), true)] {
        let mark = SnapshotMark { index: 9, term: 1, group: group() };
        let snapshot = EncodedSnapshot::new(mark, state);
        let mut received = None;
        let accepted = loop {
            let reply = follower.deliver(snapshot.message(received, 50, 2));
            let ReplicaMessage::AppendReply { accepted, snapshot: progress, .. } = reply else {
                panic!("{reply:?} instead of a reply to an append");
            };
            received = progress;
            if received.is_none() {
                break accepted;
            }
            assert!(!accepted, "an incomplete snapshot is acknowledged");
        };
        assert_eq!(accepted, is_accepted);
    }
    follower.kernel.stop();
}
