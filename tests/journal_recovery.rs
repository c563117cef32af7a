//! Recovery of the journal after a crash at any disk operation, a torn tail and a
//! corrupt entry in the middle, and the lock of its folder. A host that
//! restarts without an entry that it acknowledged may vote twice in a term, or lack a
//! committed record.

use assert_matches::assert_matches;
use edges::journal::{Journal, JournalError};
use model::{Command, HardState, JournalEntry, LogRecord, SnapshotMark};
use standin::{CrashTail, MemoryDisk};

fn open_journal(disk: &MemoryDisk) -> (Journal, edges::journal::RecoveredJournal) {
    Journal::open(Box::new(disk.clone())).expect("the journal opens")
}

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

/// Writes a fixed sequence of entries until one fails; returns the number of
/// acknowledged entries.
fn write_entries(journal: &mut Journal) -> usize {
    let entries = [
        hard_state(1),
        records(1, 3),
        records(4, 4),
        records(3, 5),
        snapshot(4, 5),
        records(6, 8),
        hard_state(9),
        snapshot(8, 8),
        records(9, 9),
    ];
    entries.iter().take_while(|entry| journal.write(std::slice::from_ref(entry)).is_ok()).count()
}

/// Last index and term to recover, by the number of acknowledged entries.
const EXPECTED_RECOVERY: [(u64, u64); 10] =
    [(0, 0), (0, 1), (3, 1), (4, 1), (5, 1), (5, 7), (8, 7), (8, 9), (8, 7), (9, 7)];

#[test]
fn crash_at_every_write() {
    let intact_disk = MemoryDisk::default();
    let (mut journal, _) = open_journal(&intact_disk);
    assert_eq!(write_entries(&mut journal), 9);
    for fail_at in 0..intact_disk.operations() {
        for tail in
            [CrashTail::Lost, CrashTail::Torn(1), CrashTail::Torn(30), CrashTail::Torn(9_999)]
        {
            let disk = MemoryDisk::default();
            disk.fail_at(fail_at);
            let (mut journal, _) = open_journal(&disk);
            let acknowledged = write_entries(&mut journal);
            drop(journal);
            disk.crash(tail);
            let (mut journal, recovered) = open_journal(&disk);
            let last = recovered.snapshot_mark.index + recovered.records.len() as u64;
            let indexes: Vec<u64> = recovered.records.iter().map(|r| r.index).collect();
            let expected: Vec<u64> = (recovered.snapshot_mark.index + 1..=last).collect();
            assert_eq!(indexes, expected, "indexes are consecutive");
            let (acked_last, _) = EXPECTED_RECOVERY[acknowledged];
            let next_last =
                EXPECTED_RECOVERY.get(acknowledged + 1).map_or(acked_last, |(index, _)| *index);
            assert!(
                last >= acked_last.min(next_last),
                "crash at operation {fail_at} with {tail:?}: recovered up to record {last}, \
                 acknowledged up to {acked_last}"
            );
            journal
                .write(&[records(last + 1, last + 1)])
                .expect("the recovered journal takes writes");
            let (_, recovered) = open_journal(&disk);
            assert_eq!(recovered.snapshot_mark.index + recovered.records.len() as u64, last + 1);
        }
    }
}

#[test]
fn acknowledged_entries_recovered() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open_journal(&disk);
    write_entries(&mut journal);
    disk.crash(CrashTail::Lost);
    let (_, recovered) = open_journal(&disk);
    assert_eq!(
        (recovered.snapshot_mark.index, recovered.records.len(), recovered.hard_state.term),
        (8, 1, 7)
    );
    assert_eq!(recovered.snapshot_state, "state at 8");
    assert_eq!(disk.lengths().len(), 2, "files that the snapshot covers are removed");
}

#[test]
fn torn_tail_truncated() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open_journal(&disk);
    journal.write(&[records(1, 2)]).expect("the entry is written");
    let before = disk.lengths()["journal-0"];
    // The entry is written, but its sync fails.
    disk.fail_at(disk.operations() + 1);
    assert!(journal.write(&[records(3, 3)]).is_err());
    disk.crash(CrashTail::Torn(40));
    let (_, recovered) = open_journal(&disk);
    assert_eq!((recovered.records.len(), recovered.torn_bytes), (2, 40));
    assert_eq!(disk.lengths()["journal-0"], before);
}

#[test]
fn corrupt_entry_refused() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open_journal(&disk);
    for index in 1..=3 {
        journal.write(&[records(index, index)]).expect("the entry is written");
    }
    let length = disk.lengths()["journal-0"];
    let second_entry = length / 3;
    for offset in [second_entry + 1, second_entry + 5, second_entry + 40] {
        disk.flip_bit("journal-0", offset);
        let refused = Journal::open(Box::new(disk.clone())).map(|_| ());
        assert_matches!(
            refused,
            Err(JournalError::Corrupt { file, offset })
                if file == "journal-0" && offset == second_entry
        );
        disk.flip_bit("journal-0", offset);
    }
    open_journal(&disk);
}

#[test]
fn data_folder_locked() {
    let path = std::env::temp_dir().join(format!("cactuswing-lock-{}", std::process::id()));
    let first = edges::disk::HostFolder::open(&path).expect("the folder is free");
    assert!(
        edges::disk::HostFolder::open(&path).is_err(),
        "a second process must not open the folder"
    );
    drop(first);
    edges::disk::HostFolder::open(&path).expect("the folder is free again");
    std::fs::remove_dir_all(&path).expect("the folder is removed");
}
