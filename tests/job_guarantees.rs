//! Guarantees to callers under lost, duplicated and delayed messages, restarts
//! of agents, and entries whose lease expires while their process still runs.
//! The invariants themselves are asserted by `JobModel`.

use std::time::Duration;

use model::CallerAnswer;
use proptest::prelude::*;

use crate::job_model::{AgentCall, JobModel, Packet};

/// One step of a generated schedule. Entries and agents are given by their
/// index, packets by their position in the network.
#[derive(Debug, Clone)]
enum Action {
    /// The entry and the number of the submission.
    Submit(usize, usize),
    /// The entry and the number of the submission.
    Cancel(usize, usize),
    Deliver(usize),
    /// Delivers an order and keeps a copy of it in the network.
    DuplicateOrder(usize),
    /// Loses a packet; a lost command may nevertheless have been applied.
    DropPacket(usize, bool),
    /// The agent, the position of the run and how it ends; two of the five
    /// values complete it.
    EndRun(usize, usize, usize),
    RestartAgent(usize),
    ExpireEntry(usize),
    DistributeFences,
    BroadcastViews,
    Advance(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0_usize..4, 0_usize..4).prop_map(|(e, n)| Action::Submit(e, n)),
        1 => (0_usize..4, 0_usize..4).prop_map(|(e, n)| Action::Cancel(e, n)),
        40 => (0_usize..8).prop_map(Action::Deliver),
        3 => (0_usize..8).prop_map(Action::DuplicateOrder),
        3 => (0_usize..8, any::<bool>()).prop_map(|(p, a)| Action::DropPacket(p, a)),
        8 => (0_usize..2, 0_usize..2, 0_usize..5).prop_map(|(a, p, h)| Action::EndRun(a, p, h)),
        1 => (0_usize..2).prop_map(Action::RestartAgent),
        1 => (0_usize..4).prop_map(Action::ExpireEntry),
        2 => Just(Action::DistributeFences),
        2 => Just(Action::BroadcastViews),
        5 => (1_u64..200).prop_map(Action::Advance),
    ]
}

fn apply_action(model: &mut JobModel, action: &Action) {
    let entries = model.entries.len();
    match action {
        // A submission's content is determined by its number, so that a
        // resubmission never conflicts.
        Action::Submit(entry, number) => model.submit(entry % entries, *number, 1 + number % 3),
        Action::Cancel(entry, number) => model.cancel(entry % entries, *number),
        Action::Deliver(position) => model.deliver(*position, false),
        Action::DuplicateOrder(position) => {
            let order = model.network.get(*position);
            if matches!(order, Some(Packet::Call { agent_call: AgentCall::Order(_), .. })) {
                model.deliver(*position, true);
            }
        }
        Action::DropPacket(position, applied) => model.drop_packet(*position, *applied),
        Action::EndRun(agent, position, result) => {
            model.end_run(*agent, *position, result.saturating_sub(1));
        }
        Action::RestartAgent(agent) => model.restart_agent(*agent),
        Action::ExpireEntry(entry) if entries < 6 => model.expire_entry(entry % entries),
        Action::ExpireEntry(_) => {}
        Action::DistributeFences => model.distribute_fences(),
        Action::BroadcastViews => model.broadcast_views(),
        Action::Advance(ms) => model.advance(Duration::from_millis(*ms)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: crate::support::case_count(300),
        rng_seed: proptest::test_runner::RngSeed::Fixed(4_122_026),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn guarantees_hold(actions in prop::collection::vec(action(), 1..250)) {
        let mut model = JobModel::new(2);
        for action in &actions {
            apply_action(&mut model, action);
        }
        model.run_fault_free();
        prop_assert_eq!(model.unanswered(), 0, "calls without an answer");
    }
}

#[test]
fn fault_free_completes() {
    let mut model = JobModel::new(2);
    for number in 0..4 {
        model.submit(number % 2, number, 1 + number % 3);
    }
    model.run_fault_free();
    let completed = |(_, answer): &&(_, CallerAnswer)| matches!(answer, CallerAnswer::Job { .. });
    assert_eq!(model.answers.iter().filter(completed).count(), 4);
}

#[test]
fn resubmitted_after_failover() {
    let mut model = JobModel::new(2);
    model.submit(0, 2, 3);
    for _ in 0..40 {
        model.deliver(0, false);
    }
    assert!(!model.starts.is_empty(), "no task ran before the owner's lease expired");
    model.expire_entry(0);
    model.submit(1, 2, 3);
    model.run_fault_free();
    let completed =
        model.answers.iter().filter(|(_, a)| matches!(a, CallerAnswer::Job { .. })).count();
    assert!(completed >= 1, "the new owner did not finish the job: {:?}", model.answers);
}
