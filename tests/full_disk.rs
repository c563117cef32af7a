//! A control host whose disk takes no writes for a while. It must acknowledge nothing
//! meanwhile, and must work again once the disk does: a host that stays mute after a
//! short failure is lost to its group for good, and the second one ends the quorum.

use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use edges::journal::{Journal, JournalError};
use edges::journal_writer;
use kernel::{Kernel, PopResult, SharedClock, SystemClock, bounded};
use model::{
    Command, HardState, JournalEntry, JournalMessage, LogMessage, LogRecord, ServiceName,
    SnapshotMark,
};
use standin::{CrashTail, MemoryDisk};

use crate::log_model::{LogModel, MIN_ELECTION_TIMEOUT};

/// Bound on the wait for a message of the writer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);

fn record(index: u64) -> LogRecord {
    LogRecord { index, term: 1, at_ms: index, command: Command::Expire { before_ms: index } }
}

fn records(from: u64, to: u64) -> JournalEntry {
    JournalEntry::Records { from, records: (from..=to).map(record).collect() }
}

fn hard_state(term: u64) -> JournalEntry {
    JournalEntry::HardState { state: HardState { term, voted_for: None, in_quorum: true } }
}

fn snapshot(index: u64, last: u64) -> JournalEntry {
    JournalEntry::Snapshot {
        mark: SnapshotMark { index, term: 1, group: Vec::new() },
        state: format!("state at {index}"),
        rest: (index + 1..=last).map(record).collect(),
        hard_state: HardState { term: 7, voted_for: None, in_quorum: true },
    }
}

fn open_journal(disk: &MemoryDisk) -> (Journal, edges::journal::RecoveredJournal) {
    Journal::open(Box::new(disk.clone())).expect("the journal opens")
}

/// Batches of entries, the last one with a snapshot in its middle.
fn batches() -> Vec<Vec<JournalEntry>> {
    vec![
        vec![hard_state(1), records(1, 3)],
        vec![records(3, 5)],
        vec![snapshot(4, 5)],
        vec![records(6, 8), snapshot(8, 8), records(9, 9)],
    ]
}

#[test]
fn journal_outlives_full() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open_journal(&disk);
    journal.write(&[records(1, 1)]).expect("the entry is written");
    disk.limit_free_bytes(10);
    for _ in 0..3 {
        assert_matches!(journal.write(&[records(2, 2)]), Err(JournalError::Io { .. }));
    }
    disk.restore();
    journal.write(&[records(2, 2)]).expect("a disk with room takes the entry");
    disk.crash(CrashTail::Lost);
    let (_, recovered) = open_journal(&disk);
    assert_eq!(recovered.records, [record(1), record(2)]);
}

// Guards against a journal that loses or repeats entries after a write that failed
// halfway: at each disk operation, with a crash at each later one.
#[test]
fn failed_writes_repeated() {
    let intact_disk = MemoryDisk::default();
    let (mut journal, _) = open_journal(&intact_disk);
    for batch in batches() {
        journal.write(&batch).expect("the disk takes the batch");
    }
    let (_, intact) = open_journal(&intact_disk);
    for fail_at in 0..intact_disk.operations() {
        for tail in [CrashTail::Lost, CrashTail::Torn(30), CrashTail::Torn(9_999)] {
            let disk = MemoryDisk::default();
            let (mut journal, _) = open_journal(&disk);
            disk.fail_at(fail_at);
            for batch in batches() {
                if journal.write(&batch).is_err() {
                    assert!(journal.write(&batch).is_err(), "the disk still fails");
                    disk.restore();
                    journal.write(&batch).expect("a disk that works again takes the batch");
                }
            }
            disk.crash(tail);
            let (_, recovered) = open_journal(&disk);
            assert_eq!(recovered, intact, "operation {fail_at} failed");
        }
    }
}

#[test]
fn writer_outlives_full() {
    let disk = MemoryDisk::default();
    let (journal, _) = open_journal(&disk);
    let mut kernel: Kernel<ServiceName> = Kernel::default();
    let clock: SharedClock = Arc::new(SystemClock);
    kernel
        .register(ServiceName::JournalWriter, 64, move |ring, registry| {
            journal_writer::run(&ring, &registry, &clock, journal);
        })
        .expect("the name is free");
    let (replies, seen) = bounded::<LogMessage>(64);
    let (log, reports) = bounded::<LogMessage>(64);
    kernel
        .register(ServiceName::ReplicatedLog, 64, move |ring, _| {
            while let PopResult::Message(message) = ring.pop(None) {
                log.push(message).expect("the test takes all reports");
            }
        })
        .expect("the name is free");
    let registry = kernel.start().expect("the duties start");
    let writer = registry.find(ServiceName::JournalWriter).expect("the writer is registered");
    let push = |entry| {
        let reply = replies.reserve().expect("the ring has room");
        writer.push(JournalMessage { entry, reply }).expect("the ring has room");
    };
    disk.limit_free_bytes(10);
    push(records(1, 1));
    let report = reports.pop(Some(Instant::now() + MESSAGE_TIMEOUT));
    assert_matches!(report, PopResult::Message(LogMessage::JournalFailed { .. }));
    push(records(2, 2));
    disk.restore();
    for _ in 0..2 {
        let reply = seen.pop(Some(Instant::now() + MESSAGE_TIMEOUT));
        assert_matches!(reply, PopResult::Message(LogMessage::Synced { .. }));
    }
    kernel.stop();
    disk.crash(CrashTail::Lost);
    let (_, recovered) = open_journal(&disk);
    assert_eq!(recovered.records, [record(1), record(2)]);
}

// Guards against a quorum that is lost for good after short failures of two disks, one
// after the other.
#[test]
fn group_outlives_full() {
    let mut model = LogModel::formed(3);
    model.run_fault_free(60);
    let mut committed = 0;
    for _ in 0..3 {
        let failed = model.leader().expect("the group has a leader");
        model.propose(failed);
        model.fail_journal(failed);
        assert!(!model.propose(failed), "a host that can't write must not lead");
        model.run_fault_free(100);
        let leader = model.leader().expect("the other hosts elect a leader");
        assert!(model.propose(leader));
        model.run_fault_free(10);
        assert!(model.committed_proposals() > committed, "two hosts commit");
        committed = model.committed_proposals();
        model.restore_journal(failed);
        model.run_fault_free(30);
        let next = model.hosts[failed].replica.progress()[model.hosts[failed].replica.name()];
        assert_eq!(next, model.highest_committed(), "the host has caught up");
        model.advance(MIN_ELECTION_TIMEOUT / 10);
    }
}
