//! Agents that are gone: the next agent of a job's order grants its claim in their place without
//! a question to each entry, and one that comes back runs nothing twice.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::entry_model::{EntryModel, EntryShape};
use crate::schedule_model::{ScheduleModel, job};

/// Large enough for a question to every entry to show.
const LARGE: EntryShape =
    EntryShape { entries: 50, agents: 360, cores: 16, charged: false, seed: 1 };
/// Jobs a second at each entry.
const JOBS_PER_SECOND: f64 = 8.0;
/// Time from which the agents are gone.
const GONE_FROM: Duration = Duration::from_millis(1_500);
/// Time in which entries give an agent up that is silent, and tell the others so.
const GIVE_UP_TIME: Duration = Duration::from_millis(3_500);
/// Time over which jobs are counted.
const COUNTED_TIME: Duration = Duration::from_millis(1_000);
/// Greatest loss of the share of jobs in time.
const MAX_LOSS: f64 = 0.05;

const AGENTS: usize = 4;
const STEP: Duration = Duration::from_millis(15);
/// Longer than any bound on the runs of an entry without contact.
const LONG_RUN: Duration = Duration::from_millis(6_000);
const SHORT_RUN: Duration = Duration::from_millis(150);

fn share_in_time(model: &EntryModel, from: Duration) -> f64 {
    let entries = 0..LARGE.entries;
    let shares = entries.map(|entry| model.in_time_share(entry, from, from + COUNTED_TIME));
    shares.sum::<f64>() / LARGE.entries as f64
}

// Guards against a question to every entry for each job whose first agent has left (SHORT).
#[test]
fn departed_agents_free() {
    let after = GONE_FROM + GIVE_UP_TIME;
    let end = after + COUNTED_TIME;
    let mut model = EntryModel::new(LARGE);
    for entry in 0..LARGE.entries {
        model.add_load(entry, GONE_FROM - COUNTED_TIME, end, JOBS_PER_SECOND);
    }
    model.cut_agents(0..LARGE.agents / 5, GONE_FROM, end * 2);
    model.play(after);
    model.take_counts();
    model.play(end + Duration::from_secs(1));
    let requests: u64 = model.take_counts().iter().map(|counts| counts.confirm_requests).sum();
    let before = share_in_time(&model, GONE_FROM - COUNTED_TIME);
    let after = share_in_time(&model, after);
    println!("in time: {before:.3} before, {after:.3} after, {requests} requests to confirm");
    assert_eq!(requests, 0, "requests to confirm");
    assert!(after >= before - MAX_LOSS, "in time: {before:.3} before, {after:.3} after");
}

fn model(entries: usize) -> ScheduleModel {
    let mut model = ScheduleModel::new(entries, AGENTS);
    model.run_time = LONG_RUN;
    model.caller_wait = Duration::from_millis(10_000);
    model
}

/// Plays for a time in which all that is connected stays so, with heartbeats.
fn play(model: &mut ScheduleModel, time: Duration) {
    let end = model.now + time;
    while model.now < end {
        for agent in (0..AGENTS).filter(|agent| !model.is_frozen(*agent)).collect::<Vec<_>>() {
            for _ in 0..model.calls_in_transit(agent) {
                model.deliver(agent, 0, false);
            }
        }
        model.advance(STEP);
    }
}

/// Ids of jobs, agents, and pauses in which faults follow each other.
fn cases() -> impl Iterator<Item = (usize, usize, Duration)> {
    let agents = (1..=4).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent)));
    let pauses = [0, 30, 150, 450, 900, 2_000].map(Duration::from_millis);
    agents.flat_map(move |(id, agent)| pauses.map(|pause| (id, agent, pause)))
}

// Guards against an agent that comes back to one entry and grants a claim that the next agent has
// granted in its place, without a question to that entry.
#[test]
fn returned_agent_waits() {
    for (id, agent, pause) in cases() {
        let mut model = model(3);
        (1..=3).for_each(|entry| model.lose_link(entry, agent));
        play(&mut model, Duration::from_millis(1_500));
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        model.connect(2, agent);
        play(&mut model, pause);
        model.run_time = SHORT_RUN;
        model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(1_000));
        model.run_fault_free(100);
    }
}

// Guards against the same while entries ask the agent anew, before or after each has learned that
// it is back.
#[test]
fn returning_agent_waits() {
    for (id, agent, pause) in cases() {
        let mut model = model(3);
        (1..=3).for_each(|entry| model.lose_link(entry, agent));
        play(&mut model, Duration::from_millis(1_500));
        model.connect(2, agent);
        play(&mut model, pause);
        model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(30));
        model.run_time = SHORT_RUN;
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(1_000));
        model.run_fault_free(100);
    }
}

// Guards against a grant in place of an agent that one entry alone still asks.
#[test]
fn reached_agent_counts() {
    for (id, agent, pause) in cases() {
        let mut model = model(3);
        model.lose_link(1, agent);
        model.lose_link(2, agent);
        play(&mut model, pause);
        model.submit(3, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        model.run_time = SHORT_RUN;
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(1_000));
        model.run_fault_free(100);
    }
}

// Guards against a restarted entry that asks a returned agent which the others have given up.
#[test]
fn restarted_entry_learns() {
    for (id, agent, pause) in cases() {
        let mut model = model(3);
        (1..=3).for_each(|entry| model.lose_link(entry, agent));
        play(&mut model, Duration::from_millis(1_500));
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        model.restart_entry(2);
        model.connect(2, agent);
        (0..AGENTS).for_each(|other| model.connect(2, other));
        play(&mut model, pause);
        model.run_time = SHORT_RUN;
        model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(1_000));
        model.run_fault_free(100);
    }
}

// Guards against an agent that no entry reached and that grants a claim to a restarted one, while
// others count on what that entry's earlier process has told them.
#[test]
fn isolated_agent_declines() {
    for (id, agent, pause) in cases() {
        let mut model = model(3);
        (1..=3).for_each(|entry| model.lose_link(entry, agent));
        play(&mut model, Duration::from_millis(1_500));
        model.restart_entry(2);
        model.connect(2, agent);
        play(&mut model, Duration::from_millis(240));
        model.submit(2, job(id, 2, true));
        play(&mut model, pause);
        model.run_time = SHORT_RUN;
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(1_000));
        model.run_fault_free(100);
    }
}

// Guards against a running job that is unknown at the agent which others ask next, once the one
// that comes before it is given up.
#[test]
fn kept_jobs_listed() {
    let agents = (0..AGENTS).flat_map(|silent| (0..AGENTS).map(move |late| (silent, late)));
    for (silent, late) in agents.filter(|(silent, late)| silent != late) {
        for id in 1..=8 {
            let mut model = model(2);
            model.lose_link(1, late);
            model.freeze_agent(silent);
            play(&mut model, Duration::from_millis(400));
            model.submit(1, job(id, 2, true));
            play(&mut model, Duration::from_millis(240));
            model.thaw_agent(silent);
            model.connect(1, late);
            play(&mut model, Duration::from_millis(1_200));
            (1..=2).for_each(|entry| model.lose_link(entry, silent));
            play(&mut model, Duration::from_millis(1_200));
            model.run_time = SHORT_RUN;
            model.submit(2, job(id, 2, true));
            play(&mut model, Duration::from_millis(600));
            model.run_fault_free(100);
        }
    }
}

/// Agents lose and find their connections to some entries, and jobs are sent again to any entry.
fn play_departures(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = model(3);
    model.run_time = Duration::from_millis(700);
    for number in 1..=30 {
        let agent = rng.random_range(0..AGENTS);
        let entries: Vec<usize> = (1..=3).filter(|_| rng.random_bool(0.7)).collect();
        for entry in &entries {
            model.lose_link(*entry, agent);
            play(&mut model, STEP * rng.random_range(0..4));
        }
        play(&mut model, STEP * rng.random_range(0..120));
        let tasks = rng.random_range(1..4);
        model.submit(rng.random_range(1..=3), job(number, tasks, true));
        play(&mut model, STEP * rng.random_range(0..6));
        for entry in entries {
            model.connect(entry, agent);
            play(&mut model, STEP * rng.random_range(0..6));
            model.submit(rng.random_range(1..=3), job(number, tasks, true));
            play(&mut model, STEP * rng.random_range(0..6));
        }
        model.run_fault_free(rng.random_range(0..12));
    }
}

// Guards against jobs that are sent again while agents are given up and come back.
#[test]
fn departures_run_once() {
    for seed in 1..=u64::from(crate::support::case_count(20)) {
        println!("seed {seed}");
        play_departures(seed);
    }
}
