//! The journal: a crash at every operation, torn tails, broken middles, a full
//! disk.

use assert_matches::assert_matches;
use edges::journal::{Journal, JournalError};
use model::{Command, HardState, JournalEntry, LogRecord, SnapshotMark};
use standin::{CrashTail, MemoryDisk};

fn open(disk: &MemoryDisk) -> (Journal, edges::journal::RecoveredJournal) {
    Journal::open(Box::new(disk.clone())).expect("the journal opens")
}

fn record(index: u64) -> LogRecord {
    LogRecord { index, term: 1, at_ms: index, command: Command::Expire { before_ms: index } }
}

fn records(from: u64, to: u64) -> JournalEntry {
    JournalEntry::Records { from, records: (from..=to).map(record).collect() }
}

fn hard(term: u64) -> JournalEntry {
    JournalEntry::HardState { state: HardState { term, voted_for: None, formed: true } }
}

fn snapshot(index: u64, last: u64) -> JournalEntry {
    JournalEntry::Snapshot {
        mark: SnapshotMark { index, term: 1, group: Vec::new() },
        state: format!("state at {index}"),
        rest: (index + 1..=last).map(record).collect(),
        hard_state: HardState { term: 7, voted_for: None, formed: true },
    }
}

/// Writes a fixed history; gives how many entries were confirmed.
fn write_history(journal: &mut Journal) -> usize {
    let history = [
        hard(1),
        records(1, 3),
        records(4, 4),
        records(3, 5),
        snapshot(4, 5),
        records(6, 8),
        hard(9),
        snapshot(8, 8),
        records(9, 9),
    ];
    history.iter().take_while(|entry| journal.write(std::slice::from_ref(entry)).is_ok()).count()
}

/// Last position and term that must be found after so many confirmed entries.
const FOUND: [(u64, u64); 10] =
    [(0, 0), (0, 1), (3, 1), (4, 1), (5, 1), (5, 7), (8, 7), (8, 9), (8, 7), (9, 7)];

#[test]
fn crash_at_every_write() {
    let whole = MemoryDisk::default();
    let (mut journal, _) = open(&whole);
    assert_eq!(write_history(&mut journal), 9);
    for fail_at in 0..whole.operations() {
        for tail in
            [CrashTail::Lost, CrashTail::Torn(1), CrashTail::Torn(30), CrashTail::Torn(9_999)]
        {
            let disk = MemoryDisk::default();
            disk.fail_at(fail_at);
            let (mut journal, _) = open(&disk);
            let confirmed = write_history(&mut journal);
            drop(journal);
            disk.crash(tail);
            let (mut journal, found) = open(&disk);
            let last = found.mark.index + found.records.len() as u64;
            let positions: Vec<u64> = found.records.iter().map(|r| r.index).collect();
            let expected: Vec<u64> = (found.mark.index + 1..=last).collect();
            assert_eq!(positions, expected, "positions are consecutive");
            let (least, _) = FOUND[confirmed];
            let next = FOUND.get(confirmed + 1).map_or(least, |(index, _)| *index);
            assert!(last >= least.min(next), "crash {fail_at} {tail:?}: {last} of {least}");
            journal.write(&[records(last + 1, last + 1)]).expect("it goes on");
            let (_, found) = open(&disk);
            assert_eq!(found.mark.index + found.records.len() as u64, last + 1);
        }
    }
}

#[test]
fn all_confirmed_found() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open(&disk);
    write_history(&mut journal);
    disk.crash(CrashTail::Lost);
    let (_, found) = open(&disk);
    assert_eq!((found.mark.index, found.records.len(), found.hard.term), (8, 1, 7));
    assert_eq!(found.state, "state at 8");
    assert_eq!(disk.lengths().len(), 2, "what the snapshot covers is gone");
}

#[test]
fn torn_tail_is_cut() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open(&disk);
    journal.write(&[records(1, 2)]).expect("written");
    let before = disk.lengths()["journal-0"];
    disk.fail_at(disk.operations() + 1);
    assert!(journal.write(&[records(3, 3)]).is_err());
    disk.crash(CrashTail::Torn(40));
    let (_, found) = open(&disk);
    assert_eq!((found.records.len(), found.torn_bytes), (2, 40));
    assert_eq!(disk.lengths()["journal-0"], before);
}

#[test]
fn broken_middle_refused() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open(&disk);
    for index in 1..=3 {
        journal.write(&[records(index, index)]).expect("written");
    }
    let length = disk.lengths()["journal-0"];
    let second = length / 3;
    for offset in [second + 1, second + 5, second + 40] {
        disk.flip_bit("journal-0", offset);
        let refused = Journal::open(Box::new(disk.clone())).map(|_| ());
        assert_matches!(refused, Err(JournalError::Corrupt { file, offset }) if file == "journal-0" && offset == second);
        disk.flip_bit("journal-0", offset);
    }
    open(&disk);
}

#[test]
fn full_disk_confirms_nothing() {
    let disk = MemoryDisk::default();
    let (mut journal, _) = open(&disk);
    journal.write(&[records(1, 1)]).expect("written");
    disk.leave_room(10);
    assert_matches!(journal.write(&[records(2, 2)]), Err(JournalError::Disk { .. }));
    // Even when there is room again: what the disk holds is not certain.
    disk.leave_room(1_000_000);
    assert_matches!(journal.write(&[records(2, 2)]), Err(JournalError::Failed));
    disk.crash(CrashTail::Lost);
    let (_, found) = open(&disk);
    assert_eq!(found.records.len(), 1);
}

#[test]
fn folder_is_locked() {
    let path = std::env::temp_dir().join(format!("cactuswing-lock-{}", std::process::id()));
    let first = edges::disk::HostFolder::open(&path).expect("the folder is free");
    assert!(edges::disk::HostFolder::open(&path).is_err(), "two processes can't use it");
    drop(first);
    edges::disk::HostFolder::open(&path).expect("it is free again");
    std::fs::remove_dir_all(&path).expect("removed");
}
