//! Leases: renewed in time, lapsed in silence, fences in force only when every
//! agent knows or can't act.

use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::control::{ControlState, MembershipDesk, MembershipStep};
use model::{Command, LogRecord, MemberRecord, NodeRole, NodeWatch};

const LEASE: Duration = Duration::from_secs(10);

struct Desk {
    now: Instant,
    desk: MembershipDesk,
    state: ControlState,
    calls: u64,
}

fn member(node: &str, role: NodeRole, incarnation: u64) -> MemberRecord {
    let address = ([127, 0, 0, 1], 1).into();
    MemberRecord { node: node.into(), role, incarnation, address, domain: "d".into() }
}

impl Desk {
    fn new() -> Desk {
        let mut desk = MembershipDesk::new(LEASE);
        let now = Instant::now();
        desk.on_leading(now, Some(1));
        Desk { now, desk, state: ControlState::default(), calls: 0 }
    }

    /// Applies what is proposed; gives the calls that were answered.
    fn carry_out(&mut self, steps: Vec<MembershipStep>) -> Vec<u64> {
        let mut answered = Vec::new();
        for step in steps {
            match step {
                MembershipStep::Answer { call, .. } => answered.push(call),
                MembershipStep::NotLeader { .. } => {}
                MembershipStep::Propose(command) => {
                    let index = self.state.versions().applied + 1;
                    self.state.apply(&LogRecord { index, term: 1, at_ms: 0, command });
                    let state = Arc::new(self.state.membership());
                    let steps = self.desk.on_state(self.now, state);
                    answered.extend(self.carry_out(steps));
                }
            }
        }
        answered
    }

    fn watch(&mut self, member: &MemberRecord, members_version: u64) -> (u64, Vec<u64>) {
        self.calls += 1;
        let watch = NodeWatch {
            member: member.clone(),
            config_version: 0,
            members_version,
            leaving: false,
        };
        let steps = self.desk.on_watch(self.now, self.calls, watch);
        (self.calls, self.carry_out(steps))
    }

    fn tick(&mut self, step: Duration) -> Vec<u64> {
        self.now += step;
        let steps = self.desk.on_tick(self.now);
        self.carry_out(steps)
    }

    fn members(&self) -> usize {
        self.state.membership().members.len()
    }
}

#[test]
fn lease_never_gaps() {
    let mut desk = Desk::new();
    let agent = member("a", NodeRole::Agent, 1);
    let mut held_until = desk.now;
    desk.watch(&agent, 0);
    for _ in 0..20 {
        let version = desk.state.versions().members;
        let sent_at = desk.now;
        let (call, answered) = desk.watch(&agent, version);
        let mut waited = answered.contains(&call);
        while !waited {
            waited = desk.tick(Duration::from_millis(100)).contains(&call);
        }
        assert!(
            held_until == sent_at || desk.now < held_until,
            "the lease lapsed between renewals"
        );
        // The holder counts from when it sent, less the drift bound.
        held_until = sent_at + LEASE.mul_f64(0.95);
    }
    assert_eq!(desk.members(), 1);
}

#[test]
fn silent_member_lapses() {
    let mut desk = Desk::new();
    desk.watch(&member("e", NodeRole::Entry, 1), 0);
    desk.tick(Duration::from_secs(10));
    assert_eq!(desk.members(), 1, "its own clock may be slower by the drift bound");
    desk.tick(Duration::from_secs(1));
    assert_eq!(desk.members(), 0);
    desk.watch(&member("e", NodeRole::Entry, 1), 0);
    assert_eq!(desk.members(), 0, "an incarnation that lapsed does not come back");
    desk.watch(&member("e", NodeRole::Entry, 2), 0);
    assert_eq!(desk.members(), 1);
}

#[test]
fn fence_waits_for_agents() {
    let mut desk = Desk::new();
    let agent = member("a", NodeRole::Agent, 1);
    desk.watch(&agent, 0);
    desk.watch(&member("e", NodeRole::Entry, 1), 0);
    let known = desk.state.versions().members;
    desk.watch(&member("e", NodeRole::Entry, 2), known);
    let pending = |desk: &Desk| desk.state.membership().pending_fences.len();
    assert_eq!(pending(&desk), 1, "the first incarnation is fenced, the agent does not know");
    desk.watch(&agent, known);
    assert_eq!(pending(&desk), 1);
    let version = desk.state.versions().members;
    desk.watch(&agent, version);
    assert_eq!(pending(&desk), 0, "the agent has acknowledged");
}

#[test]
fn new_leader_waits() {
    let mut desk = Desk::new();
    desk.watch(&member("a", NodeRole::Agent, 1), 0);
    desk.desk.on_leading(desk.now, None);
    desk.now += Duration::from_secs(60);
    desk.desk.on_leading(desk.now, Some(2));
    desk.tick(Duration::from_secs(9));
    assert_eq!(desk.members(), 1, "everybody gets a whole lease from a new leader");
    let lapse = Command::Lapse { node: "a".into(), incarnation: 7 };
    desk.carry_out(vec![MembershipStep::Propose(lapse)]);
    assert_eq!(desk.members(), 1, "another incarnation's lapse changes nothing");
}
