//! What entries with a small share of a processor spend it on, and whether the callers of
//! the fullest one are served as well as those of the others.

use std::time::Duration;

use crate::entry_links::STREAM_COST;
use crate::entry_model::{EntryCounts, EntryModel, EntryShape};
use crate::overload_model::JOB_COST;

/// Jobs a second of each entry at the usual load of the incident; grown deployments
/// repeat them.
const USUAL_RATES: [u64; 4] = [160, 159, 283, 326];
/// Position of the entry with the most jobs.
const FULLEST: usize = 3;
/// The usual load in percent that the fullest entry must be able to serve.
const TARGET_PERCENT: u64 = 150;

/// Time of the entry's host for each job at that load, in microseconds.
const JOB_TIME_US: u64 = 1_000_000 * 100 / (USUAL_RATES[FULLEST] * TARGET_PERCENT);
/// What the job itself leaves of it for messages from and to agents.
const MESSAGE_TIME_US: u64 = JOB_TIME_US - JOB_COST.as_micros() as u64;
/// Messages from and to agents for each job that fit into that time, rounded down to a
/// tenth.
const MAX_MESSAGES_PER_JOB: f64 =
    (MESSAGE_TIME_US * 10 / STREAM_COST.as_micros() as u64) as f64 / 10.0;
/// Greatest growth of that number with the number of entries and agents.
const MAX_GROWTH: f64 = 1.1;

/// Least share of an entry's jobs in time: the share of the worth owed that the users'
/// target asks for.
const MIN_IN_TIME: f64 = 0.87;
/// Greatest difference of that share between two entries.
const MAX_DIFFERENCE: f64 = 0.05;
/// Greatest share of the backend servers' time that the jobs need, so that the capacity
/// suffices.
const MAX_SERVER_LOAD: f64 = 0.9;

const SEED: u64 = 1;
/// Time until all sessions are open and the agents know how often to report.
const CONNECTED: Duration = Duration::from_millis(450);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Entries with their agents, under this percentage of the usual load from the time that
/// they are connected to this one.
fn loaded_model(shape: EntryShape, to: Duration, percent: u64) -> EntryModel {
    let mut model = EntryModel::new(shape);
    for entry in 0..shape.entries {
        let rate = USUAL_RATES[entry % USUAL_RATES.len()] * percent / 100;
        model.add_load(entry, CONNECTED, to, rate as f64);
    }
    model
}

/// Messages for each job at the entries with the most jobs.
fn fullest_messages(counts: &[EntryCounts]) -> f64 {
    let fullest = counts.iter().skip(FULLEST).step_by(USUAL_RATES.len());
    let (messages, jobs) = fullest.fold((0, 0), |(messages, jobs), counts| {
        (messages + counts.messages(), jobs + counts.jobs)
    });
    messages as f64 / jobs as f64
}

/// The counts of each entry under the usual load between these times.
fn usual_counts(shape: EntryShape, from: Duration, to: Duration) -> Vec<EntryCounts> {
    let mut model = loaded_model(shape, to, 100);
    model.play(from);
    model.take_counts();
    model.play(to);
    let counts = model.take_counts();
    for (entry, counts) in counts.iter().enumerate().take(USUAL_RATES.len()) {
        println!("entry {entry}: {:.2} messages a job, {counts:?}", counts.messages_per_job());
    }
    counts
}

/// Share of each entry's jobs in time, of those submitted between these times.
fn shares_in_time(model: &EntryModel, from: Duration, to: Duration) -> Vec<f64> {
    let shares: Vec<f64> =
        (0..USUAL_RATES.len()).map(|entry| model.in_time_share(entry, from, to)).collect();
    println!("in time from {from:?} to {to:?}, by entry: {shares:.3?}");
    shares
}

/// Whether the callers of each entry are served in time, and none better than others.
fn are_served_alike(shares: &[f64]) -> bool {
    let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
    let most = shares.iter().copied().fold(0.0, f64::max);
    least >= MIN_IN_TIME && most - least <= MAX_DIFFERENCE
}

const SMALL: EntryShape =
    EntryShape { entries: 4, agents: 50, cores: 16, charged: true, seed: SEED };

// Guards against messages that take the share which a busy entry's jobs need.
#[test]
fn messages_leave_room() {
    let counts = usual_counts(SMALL, secs(2), secs(6));
    let messages = fullest_messages(&counts);
    assert!(messages <= MAX_MESSAGES_PER_JOB, "{messages:.2} messages for each job");
}

// Guards against messages that grow with entries and agents instead of an entry's own jobs.
#[test]
fn messages_follow_jobs() {
    // Messages are free: an entry that can't keep up gets fewer.
    let small = EntryShape { charged: false, ..SMALL };
    // As many cores for each entry, so that servers are as busy.
    let grown = EntryShape { entries: 30, agents: 300, cores: 20, ..small };
    // As long as the longest interval of an agent's reports with usage only.
    let to = CONNECTED + secs(1);
    let [few, many] =
        [small, grown].map(|shape| fullest_messages(&usual_counts(shape, CONNECTED, to)));
    assert!(many <= few * MAX_GROWTH, "{few:.2} messages for each job, {many:.2} when grown");
}

// Guards against callers of a full entry served worse than others although there is capacity.
#[test]
fn callers_served_alike() {
    let shape = EntryShape { agents: 67, ..SMALL };
    let (from, to) = (secs(1), secs(11));
    let mut model = loaded_model(shape, to, TARGET_PERCENT);
    let server_load = model.server_load(shape.agents, from, to);
    assert!(server_load <= MAX_SERVER_LOAD, "{server_load:.2} of the servers' time");
    model.play(to + secs(2));
    let shares = shares_in_time(&model, from, to);
    assert!(are_served_alike(&shares), "in time, by entry: {shares:.3?}");
}

// Guards against an entry that falls or stays behind the others when agents are cut off.
#[test]
fn cuts_leave_alike() {
    let shape = EntryShape { agents: 84, ..SMALL };
    let to = secs(17);
    let mut model = loaded_model(shape, to, TARGET_PERCENT);
    let cut = 0..shape.agents / 5;
    for start in [2, 8] {
        model.cut_agents(cut.clone(), secs(start), secs(start + 5));
    }
    let server_load = model.server_load(shape.agents - cut.len(), secs(1), to);
    assert!(server_load <= MAX_SERVER_LOAD, "{server_load:.2} of the servers' time");
    model.play(to + secs(2));
    let before = shares_in_time(&model, secs(1), secs(2));
    let meanwhile = shares_in_time(&model, secs(2), secs(15));
    let after = shares_in_time(&model, secs(15), to);
    assert!(
        [&before, &meanwhile, &after].into_iter().all(|shares| are_served_alike(shares)),
        "in time, by entry: before {before:.3?}, meanwhile {meanwhile:.3?}, after {after:.3?}"
    );
}
