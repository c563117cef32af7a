//! What a control host passes on of its group while its replica knows no leader.

use std::net::SocketAddr;

use decisions::discovery::LearnedGroup;
use model::LeaderHint;

fn host(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn hint(leader: Option<u8>, term: u64) -> LeaderHint {
    LeaderHint { leader: leader.map(host), term, members: vec![host(1), host(2)], group_index: 4 }
}

// Guards against a former leader that names itself: after a restart it was elected and asked
// itself for the group, and without the lead it passed that answer on.
#[test]
fn own_answer_ignored() {
    let mut learned = LearnedGroup::new("c-1".into());
    learned.learn(0, &"c-1".into(), hint(Some(1), 3));
    assert_eq!(learned.latest(hint(None, 3)), hint(None, 3));
}

// Guards against a host outside the group that can't tell others where the group is.
#[test]
fn leader_passed_on() {
    let mut learned = LearnedGroup::new("c-1".into());
    learned.learn(0, &"c-2".into(), hint(Some(2), 3));
    assert_eq!(learned.latest(hint(None, 0)), hint(Some(2), 3));
    learned.learn(0, &"c-1".into(), hint(Some(1), 3));
    assert_eq!(learned.latest(hint(None, 3)), hint(Some(2), 3));
}

#[test]
fn own_knowledge_first() {
    let mut learned = LearnedGroup::new("c-1".into());
    learned.learn(0, &"c-2".into(), hint(Some(2), 3));
    assert_eq!(learned.latest(hint(Some(1), 2)), hint(Some(1), 2), "it has a leader");
    assert_eq!(learned.latest(hint(None, 4)), hint(None, 4), "it knows a later term");
    learned.forget();
    assert_eq!(learned.latest(hint(None, 2)), hint(None, 2));
}
