//! Leases of members: renewal before expiry, expiry without contact, and fences
//! that are in force only once every agent has acknowledged them or has lost its
//! lease. A fence in force too early lets a new owner take over while an agent still
//! starts tasks for the old one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::control::{ControlState, MembershipStep, MembershipTracker};
use model::{Command, LogRecord, MemberRecord, NodeRole, NodeWatch};

const LEASE: Duration = Duration::from_secs(10);

/// The membership tracker with a control state that applies its proposals at once.
struct MembershipModel {
    now: Instant,
    tracker: MembershipTracker,
    state: ControlState,
    calls: u64,
}

fn member(node: &str, role: NodeRole, incarnation: u64) -> MemberRecord {
    let address = ([127, 0, 0, 1], 1).into();
    MemberRecord { node: node.into(), role, incarnation, address, domain: "d".into() }
}

impl MembershipModel {
    fn new() -> MembershipModel {
        let mut tracker = MembershipTracker::new(LEASE);
        let now = Instant::now();
        tracker.on_leadership(now, Some(1));
        MembershipModel { now, tracker, state: ControlState::default(), calls: 0 }
    }

    /// Applies the proposed commands and returns the answered calls.
    fn apply_steps(&mut self, steps: Vec<MembershipStep>) -> Vec<u64> {
        let mut answered = Vec::new();
        for step in steps {
            match step {
                MembershipStep::Reply { call, .. } => answered.push(call),
                MembershipStep::NotLeader { .. } => {}
                MembershipStep::Propose(command) => {
                    let index = self.state.versions().applied + 1;
                    self.state.apply(&LogRecord { index, term: 1, at_ms: 0, command });
                    let state = Arc::new(self.state.membership());
                    let steps = self.tracker.on_state(self.now, state);
                    answered.extend(self.apply_steps(steps));
                }
            }
        }
        answered
    }

    /// Sends a member's watch, which renews its lease and acknowledges the fences up to
    /// `members_version`; returns the call and the answered calls.
    fn watch(&mut self, member: &MemberRecord, members_version: u64) -> (u64, Vec<u64>) {
        self.calls += 1;
        let watch = NodeWatch {
            member: member.clone(),
            config_version: 0,
            members_version,
            leaving: false,
        };
        let steps = self.tracker.on_watch(self.now, self.calls, watch);
        (self.calls, self.apply_steps(steps))
    }

    /// Advances the time and returns the answered calls.
    fn tick(&mut self, step: Duration) -> Vec<u64> {
        self.now += step;
        let steps = self.tracker.on_tick(self.now);
        self.apply_steps(steps)
    }

    fn members(&self) -> usize {
        self.state.membership().members.len()
    }
}

#[test]
fn renewal_precedes_expiry() {
    let mut model = MembershipModel::new();
    let agent = member("a", NodeRole::Agent, 1);
    let mut lease_until = model.now;
    model.watch(&agent, 0);
    for _ in 0..20 {
        let version = model.state.versions().members;
        let sent_at = model.now;
        let (call, answered) = model.watch(&agent, version);
        let mut renewed = answered.contains(&call);
        while !renewed {
            renewed = model.tick(Duration::from_millis(100)).contains(&call);
        }
        assert!(
            lease_until == sent_at || model.now < lease_until,
            "the lease expired between renewals"
        );
        // The holder counts from when it sent the renewal, less the drift bound.
        lease_until = sent_at + LEASE.mul_f64(0.95);
    }
    assert_eq!(model.members(), 1);
}

#[test]
fn silent_member_expires() {
    let mut model = MembershipModel::new();
    model.watch(&member("e", NodeRole::Entry, 1), 0);
    model.tick(Duration::from_secs(10));
    assert_eq!(model.members(), 1, "the member's clock may be slower by the drift bound");
    model.tick(Duration::from_secs(1));
    assert_eq!(model.members(), 0);
    model.watch(&member("e", NodeRole::Entry, 1), 0);
    assert_eq!(model.members(), 0, "an expired incarnation must not rejoin");
    model.watch(&member("e", NodeRole::Entry, 2), 0);
    assert_eq!(model.members(), 1);
}

#[test]
fn fence_waits_for_agents() {
    let mut model = MembershipModel::new();
    let agent = member("a", NodeRole::Agent, 1);
    model.watch(&agent, 0);
    model.watch(&member("e", NodeRole::Entry, 1), 0);
    let known = model.state.versions().members;
    model.watch(&member("e", NodeRole::Entry, 2), known);
    let pending = |model: &MembershipModel| model.state.membership().pending_fences.len();
    assert_eq!(
        pending(&model),
        1,
        "the agent has not acknowledged the fence of the first incarnation"
    );
    model.watch(&agent, known);
    assert_eq!(pending(&model), 1);
    let version = model.state.versions().members;
    model.watch(&agent, version);
    assert_eq!(pending(&model), 0, "the agent has acknowledged");
}

#[test]
fn new_leader_extends_leases() {
    let mut model = MembershipModel::new();
    model.watch(&member("a", NodeRole::Agent, 1), 0);
    model.tracker.on_leadership(model.now, None);
    model.now += Duration::from_secs(60);
    model.tracker.on_leadership(model.now, Some(2));
    model.tick(Duration::from_secs(9));
    assert_eq!(model.members(), 1, "a new leader grants every member a full lease");
    let expiry = Command::ExpireMember { node: "a".into(), incarnation: 7 };
    model.apply_steps(vec![MembershipStep::Propose(expiry)]);
    assert_eq!(model.members(), 1, "the expiry of another incarnation must be ignored");
}
