//! A core machine is replaced as planned: the new one joins first, the old one is stopped once
//! the new one has had its time. A second later another core machine loses its disk.

#[path = "../standins-3/common.rs"]
mod common;

use common::*;

const A: Role = Role::Control(0);
/// Loses its disk.
const B: Role = Role::Control(1);
/// Removed as planned; `D` takes its place.
const C: Role = Role::Control(2);
const D: Role = Role::Control(3);
const ENTRIES: [Role; 2] = [Role::Entry(0), Role::Entry(1)];
const JOB: &str = "5c0e7a21d94b36f8";
/// Longer than `catch_up_s`: from then on `C` doesn't count as lost once it is removed.
const CATCH_UP_MS: u64 = 6_000;
/// How long the machine that loses its disk is down.
const DOWN_MS: u64 = 1_000;
/// `recover_s`, from when the machine is back.
const RECOVER_MS: u64 = 12_000;
/// Longer than `contact_ms`, for which the operator reads the configuration.
const READ_MS: u64 = 10_000;

fn main() {
    let record = Record::create();
    let mut cluster = Cluster::new(&record, 3, 1);
    for role in [A, B, C] {
        cluster.start(role, true);
    }
    let agents: Vec<Role> = (0..3).map(Role::Agent).collect();
    for role in ENTRIES.iter().chain(&agents) {
        cluster.start(*role, true);
    }
    let minions: Vec<Minion> =
        agents.iter().map(|agent| Minion::start(&cluster, *agent, CAPACITY, true)).collect();
    if !cluster.put_config(&[A, B, C], &config(7, true), ms(15_000))
        || !cluster.wait_ready(&ENTRIES, ms(10_000))
    {
        cluster.give_up("the system does not start");
    }
    sleep_ms(2_000);
    // A job that is stored, and at work all the time.
    let body = "{\"spec\":\"ms=90000 cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\
                \"mem_mb\":64,\"estimate_ms\":90000}]}";
    let accepted = cluster.client_call(ENTRIES[0], "POST", JOB, body, ms(1_500));
    if accepted.is_none_or(|response| response.status != 200) {
        cluster.give_up("the job is not accepted");
    }

    record.line("D is added at a new address, to take the place of C");
    cluster.start(D, false);
    sleep_ms(CATCH_UP_MS);
    if !cluster.log(D).contains("event=group_joined") {
        cluster.give_up("the new machine has not joined");
    }
    record.line("C is stopped and removed for good, as planned");
    cluster.signal(C, SIGTERM);
    let until = std::time::Instant::now() + ms(6_000);
    while !cluster.has_ended(C) && std::time::Instant::now() < until {
        sleep_ms(5);
    }
    cluster.kill(C);
    sleep_ms(500);
    if !cluster.put_config(&[A, B, D], &config(8, true), ms(4_000)) {
        cluster.give_up("the change is not acknowledged");
    }
    if has_trouble() {
        record.line("B loses its disk, right after a change was acknowledged");
        cluster.kill(B);
        let _gone = std::fs::remove_dir_all(cluster.folder.join(format!("data-{}", B.name())));
        sleep_ms(DOWN_MS);
        cluster.start(B, false);
    }
    sleep_ms(RECOVER_MS);

    let mut is_read = false;
    let mut is_known = false;
    let until = std::time::Instant::now() + ms(READ_MS);
    while std::time::Instant::now() < until && !(is_read && is_known) {
        for node in [A, B, D] {
            let read = cluster.operator_call(node, "GET", "");
            is_read |= read.is_some_and(|response| {
                response.status == 200 && json_number(&response.body, "version") == Some(8)
            });
        }
        for entry in ENTRIES {
            let shown = cluster.client_call(entry, "GET", JOB, "", ms(1_500));
            is_known |= shown.is_some_and(|response| response.status == 200);
        }
        sleep_ms(300);
    }
    drop(minions);
    record.line(format!("the accepted job is shown: {is_known}"));
    if is_read {
        cluster.finish(Ok(()));
    }
    cluster.finish(Err("the configuration that was acknowledged is not read back".to_owned()))
}
