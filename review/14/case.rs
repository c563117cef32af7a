//! An agent is killed for half a second while several hundred tasks end at its minion, which
//! lists 500 ends at a time. The runs whose ends come with the next list count as lost, and
//! their tasks run again although they are done.

#[path = "../standins-3/common.rs"]
mod common;

use std::time::Instant;

use common::*;

const CONTROLS: [Role; 3] = [Role::Control(0), Role::Control(1), Role::Control(2)];
const ENTRIES: [Role; 2] = [Role::Entry(0), Role::Entry(1)];
const AGENTS: u8 = 11;
/// The agent that is killed; its minion alone is of kind `b`, which the job needs.
const AGENT: Role = Role::Agent(0);
const JOB: &str = "5c0e7a21d94b36f8";
const STEPS: usize = 2;
const STEP_TASKS: usize = 256;
const TASK_MS: u64 = 4_000;
/// From the minion's heartbeat to the submission, the kill and the new start: the third
/// heartbeat after that one, 4.5 s later, meets the new process.
const SUBMIT_MS: u64 = 100;
const KILL_MS: u64 = 4_030;
const START_MS: u64 = 4_600;

fn main() {
    let record = Record::create();
    let mut cluster = Cluster::new(&record, 3, 1);
    let agents: Vec<Role> = (0..AGENTS).map(Role::Agent).collect();
    for role in CONTROLS.iter().chain(&ENTRIES).chain(&agents) {
        cluster.start(*role, true);
    }
    let kind = |agent: Role| if agent == AGENT { "b" } else { "a" };
    let minions: Vec<Minion> = agents
        .iter()
        .map(|agent| Minion::start_kind(&cluster, *agent, CAPACITY, true, kind(*agent)))
        .collect();
    if !cluster.put_config(&CONTROLS, &config(7, true), ms(15_000))
        || !cluster.wait_ready(&ENTRIES, ms(10_000))
    {
        cluster.give_up("the system does not start");
    }
    sleep_ms(3_000);
    let step = format!(
        "{{\"count\":{STEP_TASKS},\"cpu\":10,\"mem_mb\":1,\"estimate_ms\":{TASK_MS},\
         \"required_label\":\"b\"}}"
    );
    let body =
        format!("{{\"spec\":\"ms={TASK_MS} cpu=10\",\"steps\":[{}]}}", vec![step; STEPS].join(","));
    let before = minions[0].heartbeat_at();
    while minions[0].heartbeat_at() == before {
        sleep_ms(2);
    }
    let heartbeat = Instant::now();
    let wait_until = |millis| {
        std::thread::sleep((heartbeat + ms(millis)).saturating_duration_since(Instant::now()));
    };
    wait_until(SUBMIT_MS);
    let accepted = cluster.client_call(ENTRIES[0], "POST", JOB, &body, ms(1_500));
    if accepted.is_none_or(|response| response.status != 200) {
        cluster.give_up("the job is not accepted");
    }
    wait_until(KILL_MS);
    let at_work = minions[0].running().len();
    record.line(format!("{at_work} runs at work"));
    if has_trouble() {
        cluster.kill(AGENT);
        wait_until(START_MS);
        record.line(format!("{} ends are listed", minions[0].listed_ends()));
        cluster.start(AGENT, false);
    }
    wait_until(START_MS + 4_000);
    cluster.client_call(ENTRIES[0], "GET", JOB, "", ms(1_500));
    sleep_ms(4_000);
    match minions[0].find_repeated() {
        Some(what) => cluster.finish(Err(what)),
        None => cluster.finish(Ok(())),
    }
}
