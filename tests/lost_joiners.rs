//! A control host that is lost while it joins the group. Guards against a group that takes no
//! host in and lets none go for as long as its leader leads (review/12, CONFIG).

use model::ControlPeer;

use crate::log_model::{LogModel, MIN_ELECTION_TIMEOUT, peer};

/// Rounds of [`LogModel::run_fault_free`] after which a host without progress is given up.
const GIVE_UP_ROUNDS: usize = 1_600;

/// A group of three whose leader waits for a host that was lost while it joins; returns the
/// numbers of both.
fn waiting_group() -> (LogModel, usize, usize) {
    let mut model = LogModel::formed(3);
    model.run_fault_free(60);
    let leader = model.leader().expect("the group has a leader");
    for _ in 0..5 {
        model.propose(leader);
    }
    model.run_fault_free(10);
    let lost = model.add_host();
    assert!(request_join(&mut model, leader, lost));
    model.hosts[lost].down = true;
    model.run_fault_free(20);
    (model, leader, lost)
}

fn request_join(model: &mut LogModel, leader: usize, joining: usize) -> bool {
    let group: Vec<ControlPeer> =
        model.hosts[leader].replica.group().into_iter().chain([peer(joining)]).collect();
    model.change_group(leader, group)
}

fn request_leave(model: &mut LogModel, leader: usize, leaving: usize) -> bool {
    let group = model.hosts[leader].replica.group();
    let rest = group.into_iter().filter(|member| *member != peer(leaving)).collect();
    model.change_group(leader, rest)
}

fn is_member(model: &LogModel, leader: usize, number: usize) -> bool {
    model.hosts[leader].replica.group().contains(&peer(number))
}

#[test]
fn next_host_joins() {
    let (mut model, leader, lost) = waiting_group();
    let next = model.add_host();
    assert!(request_join(&mut model, leader, next));
    model.run_fault_free(60);
    assert!(is_member(&model, leader, next));
    assert!(!is_member(&model, leader, lost));
    // The one that is replaced goes, and the group bears another loss.
    let replaced = (leader + 1) % 3;
    model.hosts[replaced].down = true;
    assert!(request_leave(&mut model, leader, replaced));
    model.run_fault_free(30);
    assert!(!is_member(&model, leader, replaced));
    model.lose_disk((leader + 2) % 3);
    model.run_fault_free(150);
    let leader = model.leader().expect("two hosts that kept their disks lead");
    assert!(model.propose(leader));
}

// A removal doesn't wait for a host that catches up.
#[test]
fn removal_goes_first() {
    let (mut model, leader, lost) = waiting_group();
    assert!(request_leave(&mut model, leader, (leader + 1) % 3));
    model.run_fault_free(30);
    assert_eq!(model.hosts[leader].replica.group().len(), 2);
    // The host that joins is added to the group as it is then.
    model.hosts[lost].down = false;
    model.run_fault_free(600);
    assert!(is_member(&model, leader, lost));
    assert_eq!(model.hosts[leader].replica.group().len(), 3);
}

#[test]
fn unreachable_member_replaced() {
    let (mut model, leader, _) = waiting_group();
    let next = model.add_host();
    assert!(request_join(&mut model, leader, next));
    model.run_fault_free(60);
    model.hosts[(leader + 1) % 3].down = true;
    model.run_fault_free(100);
    let replica = &model.hosts[leader].replica;
    let rest = replica.group_without_unreachable(model.now, 3, MIN_ELECTION_TIMEOUT);
    let rest = rest.expect("a host that joins doesn't keep the lost one in the group");
    assert!(!rest.contains(&peer((leader + 1) % 3)));
}

#[test]
fn stalled_host_given_up() {
    let (mut model, leader, lost) = waiting_group();
    assert!(!request_join(&mut model, leader, lost), "it is catching up already");
    model.run_fault_free(GIVE_UP_ROUNDS);
    assert_eq!(model.hosts[leader].replica.joining().count(), 0);
    // It comes back later and asks again.
    model.hosts[lost].down = false;
    assert!(request_join(&mut model, leader, lost));
    model.run_fault_free(600);
    assert!(is_member(&model, leader, lost));
}

#[test]
fn returned_host_goes_on() {
    let (mut model, leader, lost) = waiting_group();
    model.hosts[lost].down = false;
    model.lose_disk(lost);
    model.run_fault_free(600);
    assert!(is_member(&model, leader, lost));
}

// It comes back at another address, before it was given up.
#[test]
fn moved_host_asks_again() {
    let (mut model, leader, lost) = waiting_group();
    let moved = ControlPeer { address: peer(9).address, ..peer(lost) };
    let group = model.hosts[leader].replica.group().into_iter().chain([moved.clone()]).collect();
    assert!(model.change_group(leader, group));
    let joining: Vec<ControlPeer> =
        model.hosts[leader].replica.joining().map(|joining| joining.peer.clone()).collect();
    assert_eq!(joining, [moved]);
}

// One name at two addresses would count twice.
#[test]
fn doubled_name_refused() {
    let mut model = LogModel::formed(3);
    model.run_fault_free(60);
    let leader = model.leader().expect("the group has a leader");
    let mut group = model.hosts[leader].replica.group();
    let moved = ControlPeer { address: peer(9).address, ..group[0].clone() };
    group.push(moved);
    assert!(!model.change_group(leader, group));
}
