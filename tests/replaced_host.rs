//! A control host that the group has replaced while it could not be reached notices
//! that, and asks to be a member again.

use std::time::{Duration, Instant};

use decisions::discovery::{JoinStep, JoinTracker};

#[test]
fn joining_host_asks() {
    let now = Instant::now();
    let mut tracker = JoinTracker::joining(now);
    assert_eq!(tracker.next_step(now), JoinStep::Ask);
    tracker.on_leader(now, true);
    assert_eq!(tracker.next_step(now), JoinStep::Ask);
    tracker.on_member(now);
    assert_eq!(tracker.next_step(now), JoinStep::Wait);
}

/// A host that was replaced after it had joined knew no leader for good, and named none to
/// the entries that asked it.
#[test]
fn replaced_host_asks_again() {
    let now = Instant::now();
    let mut tracker = JoinTracker::joining(now);
    tracker.on_member(now);
    tracker.on_leader(now, true);
    let later = now + Duration::from_secs(60);
    tracker.on_leader(later, false);
    let JoinStep::WaitUntil(at) = tracker.next_step(later) else { panic!("an election may end") };
    tracker.on_leader(later + Duration::from_millis(1), false);
    assert_eq!(tracker.next_step(at), JoinStep::Ask);
    assert_eq!(tracker.next_step(at + Duration::from_secs(1)), JoinStep::Ask);
}

#[test]
fn election_awaited() {
    let now = Instant::now();
    let mut tracker = JoinTracker::bootstrapping(now);
    assert!(matches!(tracker.next_step(now), JoinStep::WaitUntil(_)));
    tracker.on_leader(now, true);
    tracker.on_leader(now, false);
    tracker.on_leader(now + Duration::from_millis(500), true);
    assert_eq!(tracker.next_step(now + Duration::from_secs(60)), JoinStep::Wait);
}
