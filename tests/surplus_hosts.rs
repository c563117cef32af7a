//! A control group that has more hosts than it needs while one of them is replaced. Guards
//! against a group that stands still for good, since a host that was stopped as planned still
//! counted as a member when another lost its disk (review/11, CONFIG).

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use cactuswing::roles::DrainEnd;
use decisions::discovery::{JoinStep, JoinTracker};
use standin::StandinHost;

use crate::seeded_group::SeededGroup;

/// A group of three hosts that a fourth has joined, in a subnet of its own.
fn surplus_group(subnet: u8, host: &StandinHost) -> SeededGroup {
    let mut group = SeededGroup::start(subnet, 3, 3, 1);
    assert!(group.wait_for_size(host, 3), "the group forms");
    group.add_host();
    assert!(group.wait_for_size(host, 4), "the fourth host joins");
    group
}

/// Stops a member as planned, and checks that the group is without it as soon as it has ended.
fn member_leaves(group: &mut SeededGroup, host: &StandinHost, stopped: usize) {
    assert_eq!(group.drain(stopped), DrainEnd::Idle);
    let address = group.addresses[stopped];
    let status = group.wait_until(host, |_| true).expect("the group has a leader");
    let addresses: Vec<_> = status.group.iter().map(|peer| peer.address).collect();
    assert_eq!(addresses.len(), 3, "{addresses:?}");
    assert!(!addresses.contains(&address), "{addresses:?}");
}

#[test]
fn disk_lost_after_replacement() {
    let host = StandinHost::start().expect("runtime starts");
    let mut group = surplus_group(5, &host);
    let leader = group.leader(&host);
    let (stopped, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
    member_leaves(&mut group, &host, stopped);
    group.stop(wiped);
    group.restart_empty(wiped);
    let has_recovered = group.wait_until(&host, |status| {
        let caught_up = status.replicas.iter().filter(|(_, index)| *index >= status.commit);
        status.group.len() == 3 && caught_up.count() == 3
    });
    assert!(has_recovered.is_some(), "the two hosts that are left lead");
}

#[test]
fn leader_leaves() {
    let host = StandinHost::start().expect("runtime starts");
    let mut group = surplus_group(6, &host);
    let leader = group.leader(&host);
    member_leaves(&mut group, &host, leader);
}

// A host that is restarted in place stays a member of a group without a surplus, and is one
// again in a group with one.
#[test]
fn restarted_host_is_member() {
    let host = StandinHost::start().expect("runtime starts");
    let mut group = surplus_group(7, &host);
    let stopped = (group.leader(&host) + 1) % 3;
    member_leaves(&mut group, &host, stopped);
    group.restart(stopped);
    assert!(group.wait_for_size(&host, 4), "it joins again");
    member_leaves(&mut group, &host, 3);
    // Three hosts are left: no one is spare.
    assert_eq!(group.drain(stopped), DrainEnd::Idle);
    let address = group.addresses[stopped];
    let status = group.wait_until(&host, |_| true).expect("the group has a leader");
    assert!(status.group.iter().any(|peer| peer.address == address), "{:?}", status.group);
}

// Two planned replacements in a row.
#[test]
fn hosts_replaced_in_turn() {
    let host = StandinHost::start().expect("runtime starts");
    let mut group = surplus_group(8, &host);
    let first = (group.leader(&host) + 1) % 3;
    member_leaves(&mut group, &host, first);
    group.add_host();
    assert!(group.wait_for_size(&host, 4), "the next host joins");
    let second = (0..3).find(|number| *number != first).expect("there are three");
    member_leaves(&mut group, &host, second);
}

#[test]
fn spare_host_asks_to_leave() {
    let now = Instant::now();
    let mut tracker = JoinTracker::bootstrapping(now);
    tracker.on_leader(now, true);
    tracker.on_surplus(true);
    tracker.on_leave(now);
    let step = tracker.next_step(now);
    assert_matches!(step, JoinStep::AskToLeave(until) if until > now);
    // Without a leader it gives up: the group finds its end out.
    let JoinStep::AskToLeave(until) = step else { return };
    assert_eq!(tracker.next_step(until), JoinStep::End);
    tracker.on_left();
    assert_eq!(tracker.next_step(now), JoinStep::End);
}

#[test]
fn needed_host_ends_at_once() {
    let now = Instant::now();
    let mut tracker = JoinTracker::joining(now);
    tracker.on_surplus(true);
    tracker.on_surplus(false);
    tracker.on_leave(now);
    assert_eq!(tracker.next_step(now), JoinStep::End);
    // A second signal changes nothing.
    tracker.on_surplus(true);
    tracker.on_leave(now + Duration::from_millis(1));
    assert_eq!(tracker.next_step(now), JoinStep::End);
}
