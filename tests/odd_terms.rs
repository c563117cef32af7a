//! Messages with terms, log positions and incarnations that no correct process can have
//! reached. Guards against a receiver that believes one, to which all true messages seem
//! older from then on: no election can raise the highest term.

use std::time::{Duration, Instant};

use decisions::control::{Replica, ReplicaLimits, ReplicaStep, StoredReplica};
use decisions::discovery::{LeaderSearch, LearnedGroup};
use decisions::schedule::{ScheduleStep, Scheduler, SchedulerKind};
use model::{
    AgentMessage, AgentOrder, AgentReport, ControlPeer, Incarnation, LeaderHint, LogIndex,
    NumberedMessage, ReplicaEnvelope, ReplicaMessage, ResourceAmount, ServerReport, SnapshotMark,
    Term,
};

use crate::agent_fixture::{AgentFixture, run};
use crate::log_model::peer;
use crate::schedule_model::{catalog, schedule_limits};

/// Term of the group.
const TERM: Term = 5;
const ELECTION_TIMEOUT: Duration = Duration::from_secs(60);

/// A follower of the leader `peer(1)` in a group of three, whose contact with it is over.
fn follower() -> (Instant, Replica) {
    let now = Instant::now();
    let limits = ReplicaLimits {
        min_election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: ELECTION_TIMEOUT / 3,
        max_batch_records: 10,
        max_batch_bytes: 1_000,
    };
    let group: Vec<ControlPeer> = (0..3).map(peer).collect();
    let mut stored = StoredReplica::default();
    stored.hard_state.in_quorum = true;
    stored.hard_state.term = TERM;
    (now + 3 * ELECTION_TIMEOUT, Replica::new(now, peer(0).name, 1, limits, group, stored))
}

fn envelope(term: Term, boot: Incarnation, message: ReplicaMessage) -> ReplicaEnvelope {
    ReplicaEnvelope { from: peer(1).name, term, boot, message }
}

fn vote_request(last_index: LogIndex, last_term: Term) -> ReplicaMessage {
    ReplicaMessage::VoteRequest { pre_vote: false, last_index, last_term }
}

fn heartbeat() -> ReplicaMessage {
    ReplicaMessage::Append {
        prev_index: 0,
        prev_term: 0,
        records: Vec::new(),
        commit: 0,
        round: 1,
        may_join_quorum: false,
    }
}

/// Checks that a message is refused with a line, and changes nothing.
fn refuses(message: ReplicaEnvelope) {
    let (now, mut replica) = follower();
    let steps = replica.on_message(now, message);
    assert!(matches!(steps[..], [ReplicaStep::Log(_)]), "{steps:?}");
    assert_eq!(replica.term(), TERM);
}

#[test]
fn highest_term_refused() {
    refuses(envelope(Term::MAX, 1, vote_request(0, 0)));
    refuses(envelope(Term::MAX, 1, heartbeat()));
    refuses(envelope(Term::MAX, 1, ReplicaMessage::VoteReply { pre_vote: false, granted: false }));
}

#[test]
fn odd_positions_refused() {
    refuses(envelope(TERM + 1, 1, vote_request(LogIndex::MAX, TERM)));
    refuses(envelope(TERM + 1, 1, vote_request(1, TERM + 2)));
    refuses(envelope(TERM, Incarnation::MAX, heartbeat()));
    let mark = SnapshotMark { index: LogIndex::MAX, term: TERM, group: vec![peer(0), peer(1)] };
    refuses(envelope(TERM, 1, ReplicaMessage::Snapshot { mark, state: String::new(), round: 1 }));
}

/// A host that was off, or has no disk left, follows a group that is far ahead.
#[test]
fn later_term_followed() {
    let (now, mut replica) = follower();
    replica.on_message(now, envelope(TERM + (1 << 32), 1, heartbeat()));
    assert_eq!(replica.term(), TERM + (1 << 32));
}

// Guards against a group that no fresh process can follow once it has accepted an odd term.
#[test]
fn fresh_host_follows() {
    let term = TERM + (1 << 32) + 1;
    let (now, _) = follower();
    let limits = ReplicaLimits {
        min_election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: ELECTION_TIMEOUT / 3,
        max_batch_records: 10,
        max_batch_bytes: 1_000,
    };
    let group: Vec<ControlPeer> = (0..3).map(peer).collect();
    let mut fresh = Replica::new(now, peer(0).name, 1, limits, group, StoredReplica::default());
    fresh.on_message(now, envelope(term, 1, heartbeat()));
    assert_eq!(fresh.term(), term);
    let mut agent = AgentFixture::new();
    let size = ResourceAmount { cpu_milli: 100, memory_mb: 1, accelerators: 0 };
    let (life, spec) = ("i-1/7".into(), "work".to_owned());
    agent.order_in_term(
        term,
        vec![AgentOrder::Start {
            life,
            runs: vec![run()],
            spec,
            size,
            estimate_ms: None,
            queue: None,
        }],
    );
    assert!(agent.take_start().is_some(), "the agent carries out an order of this term");
}

/// A host whose journal holds the highest term votes in it once only.
#[test]
fn last_term_reached() {
    let (now, _) = follower();
    let limits = ReplicaLimits {
        min_election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: ELECTION_TIMEOUT / 3,
        max_batch_records: 10,
        max_batch_bytes: 1_000,
    };
    let mut stored = StoredReplica::default();
    stored.hard_state.term = Term::MAX;
    stored.hard_state.voted_for = Some(peer(1).name);
    let mut replica = Replica::new(now, peer(0).name, 1, limits, vec![peer(0)], stored);
    let steps = replica.on_tick(now + 3 * ELECTION_TIMEOUT);
    assert!(!steps.iter().any(|step| matches!(step, ReplicaStep::PersistHardState(_))));
}

fn hint(term: Term, member: u8) -> LeaderHint {
    let members = vec![([10, 0, 0, member], 7_000).into()];
    LeaderHint { leader: None, term, members, group_index: 1 }
}

#[test]
fn search_keeps_members() {
    let seed = ([10, 0, 0, 1], 7_000).into();
    let mut search = LeaderSearch::new(Instant::now(), vec![seed], 0);
    search.on_hint(seed, &hint(Term::MAX, 9));
    search.on_leader(seed, &hint(Term::MAX, 9));
    search.on_hint(seed, &hint(TERM, 2));
    assert_eq!(search.hosts(), vec![([10, 0, 0, 2], 7_000).into(), seed]);
}

#[test]
fn highest_term_forgotten() {
    let mut learned = LearnedGroup::new("c-1".into());
    learned.learn(TERM, &"c-2".into(), hint(Term::MAX, 9));
    assert_eq!(learned.latest(hint(TERM, 2)), hint(TERM, 2));
}

#[test]
fn agent_follows_orders() {
    let mut agent = AgentFixture::new();
    agent.order_in_term(Term::MAX, Vec::new());
    agent.start(100);
    assert!(agent.take_start().is_some(), "an order of the true term is carried out");
}

/// The true report is accepted at once, not only when the odd connection has timed out.
#[test]
fn scheduler_follows_agent() {
    let now = Instant::now();
    let limits = schedule_limits(SchedulerKind::Entry);
    let mut scheduler = Scheduler::new(now, SchedulerKind::Entry, limits);
    scheduler.on_catalog(&catalog(1));
    for (link, incarnation) in [(1, Incarnation::MAX), (2, 1)] {
        let report = AgentReport {
            agent: "agent-1".into(),
            incarnation,
            session: 1,
            server: ServerReport::Absent,
            runs: Some(Vec::new()),
            runs_partial: false,
            unowned: Vec::new(),
            updates: Vec::new(),
            claims: Vec::new(),
            other_usage: ResourceAmount::default(),
            speed: None,
            pairs: Vec::new(),
            other_kinds: None,
        };
        let message = AgentMessage::Report(Box::new(report));
        scheduler.on_agent_message(now, link, &NumberedMessage { number: 1, message });
    }
    let closed = scheduler.settle(now).into_iter().find_map(|step| match step {
        ScheduleStep::CloseLink { link } => Some(link),
        _ => None,
    });
    assert_eq!(closed, Some(1));
}
