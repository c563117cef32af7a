//! Snapshots that are larger than a message between processes may be. Guards against a
//! control host that needs one and never gets it: with the loss of another host nothing
//! is committed any more.

use assert_matches::assert_matches;
use model::{Command, JobId, ReplicaMessage};

use crate::log_model::{LogModel, MIN_ELECTION_TIMEOUT};

/// Encoded size of a record, in bytes; a dozen don't fit into one message.
const RECORD_BYTES: usize = 650;
/// Rounds of [`LogModel::run_fault_free`] in which a lost part is sent again.
const RETRY_ROUNDS: usize = 600;

/// A group of which one host has missed records that the leader no longer holds.
struct LaggingGroup {
    model: LogModel,
    lagging: usize,
}

impl LaggingGroup {
    fn new() -> LaggingGroup {
        let mut model = LogModel::formed(3);
        model.run_fault_free(60);
        let leader = model.leader().expect("the group has a leader");
        let lagging = (leader + 1) % 3;
        model.hosts[lagging].down = true;
        for _ in 0..12 {
            propose_large(&mut model);
        }
        // Whichever of the others leads, it has to send a snapshot.
        for number in (0..3).filter(|number| *number != lagging) {
            model.compact(number);
            model.sync(number, usize::MAX);
        }
        model.hosts[lagging].down = false;
        LaggingGroup { model, lagging }
    }

    fn assert_caught_up(&self) {
        let replica = &self.model.hosts[self.lagging].replica;
        let progress = replica.progress()[replica.name()];
        assert_eq!(progress, self.model.highest_committed(), "the host has caught up");
    }

    /// Runs rounds in which `disturb` changes what is in transit.
    fn run_disturbed(&mut self, rounds: usize, mut disturb: impl FnMut(&mut LogModel)) {
        for _ in 0..rounds {
            self.model.advance(MIN_ELECTION_TIMEOUT / 20);
            for number in 0..3 {
                self.model.tick(number);
                self.model.sync(number, usize::MAX);
            }
            disturb(&mut self.model);
            for _ in 0..self.model.network.len() {
                self.model.deliver(0, false);
            }
        }
    }
}

fn propose_large(model: &mut LogModel) {
    let leader = model.leader().expect("the group has a leader");
    let command = Command::CancelJob { job: JobId::from("x".repeat(RECORD_BYTES)) };
    model.propose_command(leader, command);
    model.run_fault_free(3);
}

#[test]
fn large_snapshot_arrives() {
    let mut group = LaggingGroup::new();
    group.model.run_fault_free(60);
    group.assert_caught_up();
}

// A host that waits for a snapshot still hears from its leader, which needs it for its lease
// when the third host is gone.
#[test]
fn transfer_keeps_leader() {
    let mut group = LaggingGroup::new();
    let leader = group.model.leader().expect("the group has a leader");
    let term = group.model.hosts[leader].replica.term();
    let drop_snapshots = |model: &mut LogModel| {
        model.network.retain(|(_, envelope)| !is_snapshot(&envelope.message));
    };
    group.run_disturbed(60, drop_snapshots);
    let third = 3 - leader - group.lagging;
    group.model.hosts[third].down = true;
    group.run_disturbed(RETRY_ROUNDS, drop_snapshots);
    assert_eq!(group.model.leader(), Some(leader));
    assert_eq!(group.model.hosts[leader].replica.term(), term);
    group.model.run_fault_free(RETRY_ROUNDS);
    group.assert_caught_up();
    propose_large(&mut group.model);
    group.assert_caught_up();
}

#[test]
fn lossy_transfer_completes() {
    let mut group = LaggingGroup::new();
    let mut sent = 0;
    group.run_disturbed(40 * RETRY_ROUNDS, |model| {
        model.network.retain(|_| {
            sent += 1;
            sent % 7 != 0
        });
    });
    group.assert_caught_up();
}

#[test]
fn reordered_transfer_completes() {
    let mut group = LaggingGroup::new();
    group.run_disturbed(4 * RETRY_ROUNDS, |model| {
        model.network.reverse();
        let copies = model.network.clone();
        model.network.extend(copies);
    });
    group.assert_caught_up();
}

// Parts of two leaders must not be joined.
#[test]
fn next_leader_restarts() {
    let mut group = LaggingGroup::new();
    let mut parts = 0;
    group.run_disturbed(30, |model| {
        // All but the first parts are lost.
        model.network.retain(|(_, envelope)| {
            parts += usize::from(is_snapshot(&envelope.message));
            parts < 4 || !is_snapshot(&envelope.message)
        });
    });
    let former = group.model.leader().expect("the group has a leader");
    group.model.hosts[former].down = true;
    group.model.network.clear();
    group.model.run_fault_free(RETRY_ROUNDS);
    let leader = group.model.leader().expect("the next host leads");
    assert_ne!(leader, former);
    group.model.run_fault_free(RETRY_ROUNDS);
    group.assert_caught_up();
}

// A part that was altered on its way spoils the whole, which is sent again.
#[test]
fn altered_part_refused() {
    let mut group = LaggingGroup::new();
    let mut altered = 0;
    group.run_disturbed(60, |model| {
        for (_, envelope) in &mut model.network {
            altered += usize::from(altered < 3 && alter_snapshot(&mut envelope.message));
        }
    });
    assert_eq!(altered, 3, "some parts were altered");
    group.model.run_fault_free(2 * RETRY_ROUNDS);
    group.assert_caught_up();
}

fn is_snapshot(message: &ReplicaMessage) -> bool {
    matches!(message, ReplicaMessage::Snapshot { .. } | ReplicaMessage::SnapshotPart { .. })
}

/// Alters one byte of a message with a part of a snapshot; `false` for another message.
fn alter_snapshot(message: &mut ReplicaMessage) -> bool {
    let ReplicaMessage::SnapshotPart { part, .. } = message else { return false };
    let first = if part.text.starts_with('?') { "!" } else { "?" };
    part.text.replace_range(..1, first);
    true
}

// Replies of hosts of an earlier version say nothing of snapshots.
#[test]
fn older_reply_decodes() {
    let text = r#"{"append_reply":{"accepted":false,"match_index":3,"round":2,"counts":true}}"#;
    let reply: ReplicaMessage = serde_json::from_str(text).expect("it decodes");
    assert_matches!(reply, ReplicaMessage::AppendReply { match_index: 3, snapshot: None, .. });
    let encoded = serde_json::to_string(&reply).expect("it can be encoded");
    assert_eq!(encoded, text, "a reply without a snapshot is as before");
}
