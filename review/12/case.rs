//! A core machine that is added is lost while it joins the group. The leader waits for it for
//! good, so no later machine becomes a member, and the group ends with the next loss.

#[path = "../standins-3/common.rs"]
mod common;

use common::*;

/// The first machines of the core. One leads; of the two others, `C` is replaced as planned, the
/// new machine first, and `B` loses its disk at the end.
const FIRST: [Role; 3] = [Role::Control(0), Role::Control(1), Role::Control(2)];
/// Is added to take the place of `C`, and lost while it joins.
const D: Role = Role::Control(3);
/// Takes the place of `D`.
const E: Role = Role::Control(4);
const ENTRIES: [Role; 2] = [Role::Entry(0), Role::Entry(1)];
const JOB: &str = "5c0e7a21d94b36f8";
/// `catch_up_s` and `grace_s`, so that no two losses overlap however they are counted.
const CALM_MS: u64 = 11_000;
/// How long the machine that loses its disk is down.
const DOWN_MS: u64 = 1_000;
/// `recover_s`, from when the machine is back.
const RECOVER_MS: u64 = 12_000;
/// Longer than `contact_ms`, for which the operator reads the configuration.
const READ_MS: u64 = 10_000;

/// Changes of the configuration before, and the routes that it has grown by.
const CHANGES: u64 = 25;
/// Pause between them.
const CHANGE_GAP_MS: u64 = 60;
const ROUTES: u64 = 350;
/// The last version.
const LAST: u64 = 8 + CHANGES;
/// From when the added machine asks to join until it is lost.
const JOIN_MS: u64 = 30;

/// One more route.
fn route(number: u64) -> String {
    format!(
        ",{{\"name\":\"r-{number:07x}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/p{number}/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":1500,\"goal_ms\":60,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"max_attempts\":4,\"stretch\":1.6}}"
    )
}

fn main() {
    let record = Record::create();
    let mut cluster = Cluster::new(&record, 3, 1);
    for role in FIRST {
        cluster.start(role, true);
    }
    let agents: Vec<Role> = (0..3).map(Role::Agent).collect();
    for role in ENTRIES.iter().chain(&agents) {
        cluster.start(*role, true);
    }
    let minions: Vec<Minion> =
        agents.iter().map(|agent| Minion::start(&cluster, *agent, CAPACITY, true)).collect();
    if !cluster.put_config(&FIRST, &config(7, true), ms(15_000))
        || !cluster.wait_ready(&ENTRIES, ms(10_000))
    {
        cluster.give_up("the system does not start");
    }
    // The history of a busy day: changes of a configuration with many routes.
    let routes: String = (0..ROUTES).map(route).collect();
    for change in 0..CHANGES {
        if !cluster.put_config(&FIRST, &config_with(8 + change, true, &routes), ms(4_000)) {
            cluster.give_up("a change is not acknowledged");
        }
        sleep_ms(CHANGE_GAP_MS);
    }
    sleep_ms(2_000);
    let leads = |role: &Role| cluster.log(*role).matches("leading=true").count() > 0;
    let leaders: Vec<Role> = FIRST.into_iter().filter(leads).collect();
    let [leader] = leaders[..] else { cluster.give_up("the leader has changed already") };
    let others: Vec<Role> = FIRST.into_iter().filter(|role| *role != leader).collect();
    let (b, c) = (others[0], others[1]);
    record.line(format!("leader {}, B {}, C {}", leader.name(), b.name(), c.name()));
    // A job that is stored, and at work all the time.
    let body = "{\"spec\":\"ms=100000 cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\
                \"mem_mb\":64,\"estimate_ms\":100000}]}";
    let accepted = cluster.client_call(ENTRIES[0], "POST", JOB, body, ms(1_500));
    if accepted.is_none_or(|response| response.status != 200) {
        cluster.give_up("the job is not accepted");
    }

    record.line("D is added at a new address, to take the place of C");
    cluster.start(D, false);
    let mut successor = D;
    if has_trouble() {
        if !cluster.wait_for_log(D, "group_join_requested", ms(10_000)) {
            cluster.give_up("the machine that is added does not ask to join");
        }
        sleep_ms(JOIN_MS);
        record.line("D is lost for good while it joins, E takes its place");
        cluster.kill(D);
        sleep_ms(1_000);
        cluster.start(E, false);
        successor = E;
    }
    sleep_ms(CALM_MS);
    record.line(format!("C is stopped and removed for good, {} has its place", successor.name()));
    cluster.signal(c, SIGTERM);
    let until = std::time::Instant::now() + ms(6_000);
    while !cluster.has_ended(c) && std::time::Instant::now() < until {
        sleep_ms(5);
    }
    cluster.kill(c);
    sleep_ms(CALM_MS);
    if !cluster.put_config(&[leader, b], &config_with(LAST, true, &routes), ms(4_000)) {
        cluster.give_up("the change is not acknowledged");
    }
    record.line("B loses its disk, right after a change was acknowledged");
    cluster.kill(b);
    let _gone = std::fs::remove_dir_all(cluster.folder.join(format!("data-{}", b.name())));
    sleep_ms(DOWN_MS);
    cluster.start(b, false);
    sleep_ms(RECOVER_MS);

    let mut is_read = false;
    let mut is_known = false;
    let until = std::time::Instant::now() + ms(READ_MS);
    while std::time::Instant::now() < until && !(is_read && is_known) {
        for node in [leader, b, successor] {
            let read = cluster.operator_call(node, "GET", "");
            is_read |= read.is_some_and(|response| {
                response.status == 200 && json_number(&response.body, "version") == Some(LAST)
            });
        }
        for entry in ENTRIES {
            let shown = cluster.client_call(entry, "GET", JOB, "", ms(1_500));
            is_known |= shown.is_some_and(|response| response.status == 200);
        }
        sleep_ms(300);
    }
    let log = cluster.log(successor);
    let words = ["group_join_requested", "group_joined"];
    let counts = words.map(|word| format!("{word}: {}", log.matches(word).count()));
    record.line(format!("log of {}: {}", successor.name(), counts.join(", ")));
    drop(minions);
    record.line(format!("the accepted job is shown: {is_known}"));
    if is_read {
        cluster.finish(Ok(()));
    }
    cluster.finish(Err("the configuration that was acknowledged is not read back".to_owned()))
}
