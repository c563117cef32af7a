//! Records of the replicated log that are large. Guards against a control host that missed
//! many of them and never catches up, since its next batch is larger than a message may
//! be: with the loss of another host nothing is committed any more.

use model::{Command, JobId};

use crate::log_model::{LogModel, MAX_BATCH_BYTES};

/// A command of this encoded size at least.
fn large_command(bytes: usize) -> Command {
    Command::CancelJob { job: JobId::from("x".repeat(bytes)) }
}

fn catches_up(record_bytes: usize) {
    let mut model = LogModel::formed(3);
    model.run_fault_free(60);
    let leader = model.leader().expect("the group has a leader");
    let missed = (leader + 1) % 3;
    model.hosts[missed].down = true;
    for _ in 0..12 {
        model.propose_command(leader, large_command(record_bytes));
        model.run_fault_free(3);
    }
    model.hosts[missed].down = false;
    model.run_fault_free(60);
    let name = model.hosts[missed].replica.name().clone();
    let progress = model.hosts[missed].replica.progress()[&name];
    assert_eq!(progress, model.highest_committed(), "records of {record_bytes} bytes");
}

#[test]
fn large_batches_split() {
    catches_up(MAX_BATCH_BYTES * 2 / 3);
}

#[test]
fn largest_records_sent() {
    catches_up(MAX_BATCH_BYTES * 3 / 2);
}
