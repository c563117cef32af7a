//! How soon a group has a leader again after its hosts have started anew, and
//! what keeps the lease of a leader that others have forgotten.

use model::{NodeId, ReplicaEnvelope, ReplicaMessage};

use crate::log_model::{ELECTION, LogModel, peer};

/// Rounds of the model in which less than an election timeout goes by.
const FEW_ROUNDS: usize = 4;

fn led_group() -> (LogModel, usize) {
    let mut model = LogModel::formed(3);
    model.calm(60);
    model.network.clear();
    let leader = model.leader().expect("a leader");
    (model, leader)
}

fn followers(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Lets all hosts work for a while; what passes between two that are cut from
/// each other is lost.
fn calm_cut(model: &mut LogModel, cuts: &[(usize, usize)], rounds: usize) {
    for _ in 0..rounds {
        model.advance(ELECTION / 10);
        for number in 0..3 {
            model.tick(number);
            model.sync(number, usize::MAX);
        }
        for _ in 0..60 {
            model.network.retain(|(to, envelope)| !is_cut(cuts, to, &envelope.from));
            if !model.deliver(0, false) {
                break;
            }
            for number in 0..3 {
                model.sync(number, usize::MAX);
            }
        }
    }
}

fn is_cut(cuts: &[(usize, usize)], to: &NodeId, from: &NodeId) -> bool {
    let joins = |one: usize, other: usize| peer(one).name == *to && peer(other).name == *from;
    cuts.iter().any(|(one, other)| joins(*one, *other) || joins(*other, *one))
}

#[test]
fn whole_group_restarts() {
    let (mut model, _) = led_group();
    for number in 0..3 {
        model.restart(number);
    }
    model.network.clear();
    model.calm(FEW_ROUNDS);
    assert!(model.leader().is_some(), "no leader within {FEW_ROUNDS} tenths of a timeout");
}

#[test]
fn disk_lost_meanwhile() {
    let (mut model, _) = led_group();
    model.lose_disk(2);
    for number in 0..2 {
        model.restart(number);
    }
    model.network.clear();
    model.calm(FEW_ROUNDS);
    assert!(model.leader().is_some(), "no leader within {FEW_ROUNDS} tenths of a timeout");
}

#[test]
fn lease_outlives_restart() {
    for rounds in 12..40 {
        let (mut model, leader) = led_group();
        let [lonely, follower] = followers(leader);
        // One follower hears nothing of the leader and stands for election.
        calm_cut(&mut model, &[(leader, lonely)], rounds);
        assert_eq!(model.leader(), Some(leader));
        // The other forgets that it has just acknowledged the leader's lease.
        model.restart(follower);
        calm_cut(&mut model, &[(leader, lonely), (leader, follower)], 9);
        assert!(!model.hosts[lonely].replica.takes_proposals(), "after {rounds} rounds");
    }
}

#[test]
fn leader_denies_nothing() {
    let (mut model, leader) = led_group();
    let [first, _] = followers(leader);
    model.restart(first);
    model.tick(first);
    while model.deliver(0, false) {
        let denial = |(_, envelope): &(_, ReplicaEnvelope)| {
            matches!(envelope.message, ReplicaMessage::LeadDenial { .. })
        };
        assert!(!model.network.iter().any(denial), "a leader is known to both others");
    }
}

#[test]
fn denial_of_earlier_process() {
    let (mut model, leader) = led_group();
    let [first, second] = followers(leader);
    model.restart(first);
    let asked_by = model.hosts[first].boot - 1;
    for from in [leader, second] {
        let message =
            ReplicaMessage::LeadDenial { denied_to: asked_by, group_index: 0, asks: false };
        let envelope = model.hosts[from].replica.envelope(1, message);
        let steps = model.hosts[first].replica.on_message(model.now, envelope);
        assert!(steps.is_empty(), "it was not asked by this process");
    }
    calm_cut(&mut model, &[(leader, first), (leader, second)], 3);
    assert!(!model.hosts[first].replica.takes_proposals());
}
