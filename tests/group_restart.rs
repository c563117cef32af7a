//! Restarts in a control group. A restarted replica doesn't know whether its previous
//! process acknowledged the lease of a leader; a vote during that lease could elect a
//! second leader. It therefore doesn't vote for an election timeout, or until all other
//! hosts have denied that there is a leader, which lets a restarted group elect one
//! sooner.

use model::{NodeId, ReplicaEnvelope, ReplicaMessage};

use crate::log_model::{LogModel, MIN_ELECTION_TIMEOUT, peer};

/// Rounds of a tenth of an election timeout: less than one timeout in all.
const SHORT_ROUNDS: usize = 4;

fn group_with_leader() -> (LogModel, usize) {
    let mut model = LogModel::formed(3);
    model.run_fault_free(60);
    model.network.clear();
    let leader = model.leader().expect("the group has a leader");
    (model, leader)
}

fn followers(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Runs all hosts for rounds of a tenth of an election timeout; messages over the
/// given links are lost.
fn run_partitioned(model: &mut LogModel, cut_links: &[(usize, usize)], rounds: usize) {
    for _ in 0..rounds {
        model.advance(MIN_ELECTION_TIMEOUT / 10);
        for number in 0..3 {
            model.tick(number);
            model.sync(number, usize::MAX);
        }
        for _ in 0..60 {
            model.network.retain(|(to, envelope)| !is_cut(cut_links, to, &envelope.from));
            if !model.deliver(0, false) {
                break;
            }
            for number in 0..3 {
                model.sync(number, usize::MAX);
            }
        }
    }
}

fn is_cut(cut_links: &[(usize, usize)], to: &NodeId, from: &NodeId) -> bool {
    let joins = |one: usize, other: usize| peer(one).name == *to && peer(other).name == *from;
    cut_links.iter().any(|(one, other)| joins(*one, *other) || joins(*other, *one))
}

#[test]
fn whole_group_restarts() {
    let (mut model, _) = group_with_leader();
    for number in 0..3 {
        model.restart(number);
    }
    model.network.clear();
    model.run_fault_free(SHORT_ROUNDS);
    assert!(model.leader().is_some(), "no leader within {SHORT_ROUNDS} tenths of a timeout");
}

#[test]
fn restart_with_lost_disk() {
    let (mut model, _) = group_with_leader();
    model.lose_disk(2);
    for number in 0..2 {
        model.restart(number);
    }
    model.network.clear();
    model.run_fault_free(SHORT_ROUNDS);
    assert!(model.leader().is_some(), "no leader within {SHORT_ROUNDS} tenths of a timeout");
}

#[test]
fn restart_keeps_lease() {
    for rounds in 12..40 {
        let (mut model, leader) = group_with_leader();
        let [isolated, follower] = followers(leader);
        // One follower is cut off from the leader and becomes a candidate.
        run_partitioned(&mut model, &[(leader, isolated)], rounds);
        assert_eq!(model.leader(), Some(leader));
        // The other restarts and loses its acknowledgement of the leader's lease.
        model.restart(follower);
        // The acknowledged lease lasts for nearly an election timeout: run for 0.9 of one.
        run_partitioned(&mut model, &[(leader, isolated), (leader, follower)], 9);
        assert!(
            !model.hosts[isolated].replica.is_leader(),
            "a second leader was elected after {rounds} rounds of isolation"
        );
    }
}

#[test]
fn no_denial_with_leader() {
    let (mut model, leader) = group_with_leader();
    let [restarted, _] = followers(leader);
    model.restart(restarted);
    model.tick(restarted);
    while model.deliver(0, false) {
        let denial = |(_, envelope): &(_, ReplicaEnvelope)| {
            matches!(envelope.message, ReplicaMessage::LeaderDenial { .. })
        };
        assert!(!model.network.iter().any(denial), "both other hosts know a leader");
    }
}

#[test]
fn stale_denial_ignored() {
    let (mut model, leader) = group_with_leader();
    let [restarted, follower] = followers(leader);
    model.restart(restarted);
    let earlier_boot = model.hosts[restarted].boot - 1;
    for from in [leader, follower] {
        let message = ReplicaMessage::LeaderDenial {
            denied_to: earlier_boot,
            group_index: 0,
            wants_reply: false,
        };
        let envelope = model.hosts[from].replica.envelope(1, message);
        let steps = model.hosts[restarted].replica.on_message(model.now, envelope);
        assert!(steps.is_empty(), "a denial of a query by an earlier process must be ignored");
    }
    run_partitioned(&mut model, &[(leader, restarted), (leader, follower)], 3);
    assert!(!model.hosts[restarted].replica.is_leader());
}
