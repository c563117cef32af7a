//! A minion drains and says that it leaves; the connection is reset before the acknowledgement
//! reaches it, so it ends some seconds later. Its tasks are started elsewhere at once.

#[path = "../standins-3/common.rs"]
mod common;

use std::sync::atomic::Ordering;

use common::*;

const CONTROLS: [Role; 3] = [Role::Control(0), Role::Control(1), Role::Control(2)];
const ENTRIES: [Role; 2] = [Role::Entry(0), Role::Entry(1)];
const AGENTS: u8 = 11;
const JOB: &str = "5c0e7a21d94b36f8";
/// Longer than `drain_ms`, for which a minion serves on once its drain is acknowledged.
const DRAIN_MS: u64 = 2_500;
/// How long a minion waits that got no acknowledgement of its leave.
const PATIENCE_MS: u64 = 3_000;
/// Shortest time that counts as one in which two runs are at work.
const MARGIN_MS: u64 = 50;

fn main() {
    let record = Record::create();
    let mut cluster = Cluster::new(&record, 3, 1);
    let agents: Vec<Role> = (0..AGENTS).map(Role::Agent).collect();
    for role in CONTROLS.iter().chain(&ENTRIES).chain(&agents) {
        cluster.start(*role, true);
    }
    let minions: Vec<Minion> =
        agents.iter().map(|agent| Minion::start(&cluster, *agent, CAPACITY, true)).collect();
    let gateways: Vec<Gateway> =
        agents.iter().map(|agent| Gateway::start(cluster.address(*agent, CONTROL_PORT))).collect();
    if !cluster.put_config(&CONTROLS, &config(7, true), ms(15_000))
        || !cluster.wait_ready(&ENTRIES, ms(10_000))
    {
        cluster.give_up("the system does not start");
    }
    sleep_ms(2_500);
    let body = "{\"spec\":\"ms=60000 cpu=4000\",\"steps\":[{\"count\":6,\"cpu\":4000,\
                \"mem_mb\":64,\"estimate_ms\":60000}]}";
    let accepted = cluster.client_call(ENTRIES[0], "POST", JOB, body, ms(1_500));
    if accepted.is_none_or(|response| response.status != 200) {
        cluster.give_up("the job is not accepted");
    }
    sleep_ms(2_000);
    let Some(leaving) = (0..minions.len()).find(|number| !minions[*number].running().is_empty())
    else {
        cluster.give_up("no task is at work")
    };
    let minion = &minions[leaving];
    minion.drain();
    while minion.drain_acked_at().is_none() {
        sleep_ms(5);
    }
    record.line("the drain is acknowledged");
    sleep_ms(DRAIN_MS);
    gateways[leaving].resets.store(has_trouble(), Ordering::Release);
    minion.leave(gateways[leaving].address, ms(PATIENCE_MS));
    sleep_ms(3_000);
    match find_overlap(&minions, ms(MARGIN_MS)) {
        Some(what) => cluster.finish(Err(what)),
        None => cluster.finish(Ok(())),
    }
}
