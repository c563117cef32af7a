//! The log of a control host between two snapshots. Guards against a host that ends for good
//! after some hundred large configurations: a log that is bounded in records only outgrows
//! its disk and its memory, and the restarted process can't read it.

use model::{Command, JobId, JournalEntry, LogRecord, ReplicaMessage};

use crate::broken_snapshots::FollowerLog;

/// Disk of the smallest control host of the users' deployments.
const DISK_BYTES: usize = 128 * 1_000_000;
/// Size of a large record in bytes; a configuration takes up to that.
const RECORD_BYTES: usize = 1_000_000;
/// Large records that are committed; half of the disk.
const RECORDS: u64 = 64;

fn append(index: u64) -> ReplicaMessage {
    let command = Command::CancelJob { job: JobId::from("x".repeat(RECORD_BYTES)) };
    ReplicaMessage::Append {
        prev_index: index - 1,
        prev_term: u64::from(index > 1),
        records: vec![LogRecord { index, term: 1, at_ms: 0, command }],
        commit: index,
        round: index,
        may_join_quorum: false,
    }
}

fn encoded_len(records: &[LogRecord]) -> usize {
    records.iter().map(LogRecord::encoded_len).sum()
}

// While a snapshot is written, the disk holds the log before it too.
#[test]
fn large_records_compacted() {
    let mut follower = FollowerLog::start();
    let mut journal_bytes = 0;
    for index in 1..=RECORDS {
        follower.deliver(append(index));
        for entry in follower.journaled() {
            match entry {
                JournalEntry::Records { records, .. } => journal_bytes += encoded_len(&records),
                JournalEntry::Snapshot { state, rest, .. } => {
                    journal_bytes = state.len() + encoded_len(&rest);
                }
                JournalEntry::HardState { .. } => {}
            }
        }
        assert!(journal_bytes <= DISK_BYTES / 4, "{journal_bytes} bytes after record {index}");
    }
    follower.kernel.stop();
}
