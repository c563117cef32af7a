//! Bounded model checking of the replicated log: breadth-first search over the
//! interleavings of a group of three hosts, with bounds on the states, the
//! messages in transit, the terms and the length of the log.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use crate::log_model::{LogModel, MIN_ELECTION_TIMEOUT};

/// Distinct states after which the search ends.
const MAX_STATES: usize = 12_000;
/// A leader proposes no record while its log has reached this index.
const MAX_LOG_INDEX: u64 = 4;
/// States with more messages in transit are not explored.
const MAX_MESSAGES: usize = 6;

/// The parts of a state that determine its successors, as text.
fn state_key(model: &LogModel) -> String {
    let mut key = String::new();
    for host in &model.hosts {
        let replica = &host.replica;
        let log: Vec<_> = replica.log().slice(1, 99).iter().map(|r| (r.index, r.term)).collect();
        key += &format!(
            "{:?}|{:?}|{}|{}|{:?}|{:?};",
            replica.hard_state(),
            log,
            replica.commit_index(),
            replica.is_leader(),
            replica.progress(),
            host.unsynced,
        );
    }
    let mut network: Vec<String> = model.network.iter().map(|m| format!("{m:?}")).collect();
    network.sort();
    key + &network.join(";")
}

fn successors(model: &LogModel, last_term: u64) -> Vec<LogModel> {
    let mut next = Vec::new();
    for number in 0..model.hosts.len() {
        // An election timeout may expire in any state.
        let mut timed_out = model.clone();
        timed_out.advance(MIN_ELECTION_TIMEOUT * 2 + Duration::from_millis(1));
        timed_out.tick(number);
        next.push(timed_out);
        if !model.hosts[number].unsynced.is_empty() {
            let mut synced = model.clone();
            synced.sync(number, 1);
            next.push(synced);
            let mut crashed = model.clone();
            crashed.restart(number);
            next.push(crashed);
        }
        let log = model.hosts[number].replica.log();
        if model.hosts[number].replica.is_leader() && log.last_index() < MAX_LOG_INDEX {
            let mut proposed = model.clone();
            proposed.propose(number);
            next.push(proposed);
        }
    }
    for position in 0..model.network.len() {
        let mut delivered = model.clone();
        delivered.deliver(position, false);
        next.push(delivered);
        let mut dropped = model.clone();
        dropped.network.remove(position);
        next.push(dropped);
    }
    next.retain(|model| {
        model.network.len() <= MAX_MESSAGES
            && model.hosts.iter().all(|host| host.replica.term() <= last_term)
    });
    next
}

/// Explores the states that are reachable from a start within `max_terms` more
/// terms. Returns the number of distinct states, and of those in which a further
/// record was committed.
fn explore(start: LogModel, max_terms: u64) -> (usize, usize) {
    let highest = start.highest_committed();
    let last_term =
        start.hosts.iter().map(|host| host.replica.term()).max().unwrap_or(0) + max_terms;
    let mut seen = HashSet::new();
    let mut frontier = VecDeque::from([start]);
    let mut committed = 0;
    while let Some(model) = frontier.pop_front() {
        if seen.len() >= MAX_STATES {
            break;
        }
        // The model checks its invariants in every step.
        for next in successors(&model, last_term) {
            if seen.insert(state_key(&next)) {
                committed += usize::from(next.highest_committed() > highest);
                frontier.push_back(next);
            }
        }
    }
    (seen.len(), committed)
}

#[test]
fn elections_explored() {
    let (states, _) = explore(LogModel::formed(3), 1);
    assert!(states > 1_000, "{states} states");
}

#[test]
fn leader_change_explored() {
    let mut start = LogModel::formed(3);
    start.run_fault_free(60);
    start.network.clear();
    let leader = start.leader().expect("the group has a leader");
    // The search starts with two uncommitted proposals.
    start.propose(leader);
    start.propose(leader);
    let (states, committed) = explore(start, 1);
    assert!(states > 1_000 && committed > 10, "{states} states, {committed} with a commit");
}
