//! Jobs that come to several entries: before an entry starts a job's tasks, it claims the
//! job at an agent. The model checks at each start that the task runs once at a time.

use std::time::Duration;

use model::JobReply;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

const AGENTS: usize = 4;
const STEP: Duration = Duration::from_millis(15);
/// Longer than any bound on the runs of an entry without contact.
const LONG_RUN: Duration = Duration::from_millis(6_000);
/// Run time after an entry that must not have started yet.
const SHORT_RUN: Duration = Duration::from_millis(150);
/// Time after which callers send a job again whose entry was killed.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

fn model(entries: usize) -> ScheduleModel {
    let mut model = ScheduleModel::new(entries, AGENTS);
    model.run_time = Duration::from_millis(300);
    model.caller_wait = Duration::from_millis(10_000);
    model
}

/// Plays for a time in which all that is connected stays so and each call arrives.
fn play(model: &mut ScheduleModel, time: Duration) {
    let end = model.now + time;
    while model.now < end {
        deliver(model);
        model.advance(STEP);
    }
}

fn deliver(model: &mut ScheduleModel) {
    for agent in (0..AGENTS).filter(|agent| !model.is_frozen(*agent)).collect::<Vec<_>>() {
        for _ in 0..model.calls_in_transit(agent) {
            model.deliver(agent, 0, false);
        }
    }
}

fn starts(model: &ScheduleModel) -> usize {
    model.starts.values().sum()
}

fn is_done(model: &ScheduleModel, call: u64) -> bool {
    use model::JobPhase::Completed;
    model.replies[&call] == CallStatus::Reply(JobReply::Phase(Completed))
}

/// Checks that a job that was sent again is done or was refused, and that its caller's
/// next attempt is done.
fn check_ended(model: &mut ScheduleModel, call: u64, id: usize) {
    model.run_time = Duration::from_millis(100);
    model.run_fault_free(200);
    let reply = model.replies[&call].clone();
    let refused = matches!(reply, CallStatus::Reply(JobReply::Refused { .. }));
    assert!(refused || is_done(model, call), "{reply:?}");
    let next = model.submit(2, job(id, 8, true));
    model.run_fault_free(50);
    assert!(is_done(model, next), "{:?}", model.replies[&next]);
}

// Guards against two entries that run one job while the first one doesn't know that its
// caller is gone.
#[test]
fn latest_entry_runs() {
    let mut model = model(2);
    let first = model.submit(1, job(1, 3, true));
    play(&mut model, Duration::from_millis(60));
    assert_eq!(starts(&model), 3);
    let second = model.submit(2, job(1, 3, true));
    play(&mut model, Duration::from_millis(1_000));
    assert_eq!(model.replies[&first], CallStatus::Reply(JobReply::Unclear));
    assert!(is_done(&model, second));
}

// Guards against a job that is started again while an entry that was killed may still have
// active runs of it.
#[test]
fn lost_holder_outwaited() {
    let mut model = model(2);
    model.run_time = LONG_RUN;
    model.submit(1, job(1, 8, true));
    play(&mut model, Duration::from_millis(60));
    (0..AGENTS).for_each(|agent| model.lose_link(1, agent));
    let second = model.submit(2, job(1, 8, true));
    play(&mut model, Duration::from_millis(1_000));
    assert_eq!(starts(&model), 8);
    check_ended(&mut model, second, 1);
}

// Guards against the same with an agent that stands still, be it the one that keeps the
// claim.
#[test]
fn silent_agent_outwaited() {
    for lost_agent in 0..AGENTS {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(1, 8, true));
        play(&mut model, Duration::from_millis(60));
        (0..AGENTS).for_each(|agent| model.lose_link(1, agent));
        model.freeze_agent(lost_agent);
        play(&mut model, RESEND_DELAY);
        let second = model.submit(2, job(1, 8, true));
        play(&mut model, Duration::from_millis(1_000));
        model.thaw_agent(lost_agent);
        check_ended(&mut model, second, 1);
    }
}

// Guards against an entry that, restarted, runs a job again beside the runs that its
// earlier process has ordered.
#[test]
fn restarted_holder_outwaited() {
    for entry in [1, 2] {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(1, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.restart_entry(1);
        let second = model.submit(entry, job(1, 8, true));
        play(&mut model, Duration::from_millis(300));
        check_ended(&mut model, second, 1);
    }
}

// Guards against a claim that is lost with the process of the agent that keeps it.
#[test]
fn restarted_keeper_asks() {
    for keeper in 0..AGENTS {
        let mut model = model(2);
        model.run_time = Duration::from_millis(900);
        model.submit(1, job(1, 2, true));
        play(&mut model, Duration::from_millis(60));
        model.restart_agent(keeper);
        let second = model.submit(2, job(1, 2, true));
        model.run_fault_free(100);
        assert!(is_done(&model, second), "{:?}", model.replies[&second]);
    }
}

// Guards against jobs that wait for an agent that answers nothing.
#[test]
fn silent_keeper_passed() {
    for keeper in 0..AGENTS {
        let mut model = model(1);
        model.freeze_agent(keeper);
        let calls: Vec<u64> = (1..=4).map(|id| model.submit(1, job(id, 1, true))).collect();
        play(&mut model, Duration::from_millis(150));
        assert!(starts(&model) >= 1);
        model.thaw_agent(keeper);
        model.run_fault_free(50);
        assert!(calls.iter().all(|call| is_done(&model, *call)));
    }
}

// Guards against a claim that is unknown at the agent that other entries ask, since that
// agent was away when the job was claimed.
#[test]
fn rejoined_keeper_asks() {
    for (id, keeper) in (1..=8).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent))) {
        let mut model = model(2);
        model.run_time = Duration::from_millis(900);
        (1..=2).for_each(|entry| model.lose_link(entry, keeper));
        play(&mut model, Duration::from_millis(400));
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        (1..=2).for_each(|entry| model.connect(entry, keeper));
        let second = model.submit(2, job(id, 2, true));
        model.run_fault_free(100);
        assert!(is_done(&model, second), "{:?}", model.replies[&second]);
    }
}

// Guards against an agent that grants a claim to two entries after its restart.
#[test]
fn restarted_keeper_grants() {
    for (id, keeper) in (1..=8).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent))) {
        let mut model = model(2);
        model.run_time = Duration::from_millis(900);
        (1..=2).for_each(|entry| model.lose_link(entry, keeper));
        model.restart_agent(keeper);
        (1..=2).for_each(|entry| model.connect(entry, keeper));
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(120));
        let second = model.submit(2, job(id, 2, true));
        model.run_fault_free(100);
        assert!(is_done(&model, second), "{:?}", model.replies[&second]);
    }
}

// Guards against an entry that starts a job without a grant, since its caller left and came
// back while another entry still had active runs.
#[test]
fn returning_caller_waits() {
    let mut model = model(2);
    model.run_time = Duration::from_millis(900);
    model.submit(1, job(1, 3, true));
    play(&mut model, Duration::from_millis(60));
    let second = model.submit(2, job(1, 3, true));
    let third = model.abandon_and_submit(2, second, job(1, 3, true));
    model.run_fault_free(100);
    assert!(is_done(&model, third), "{:?}", model.replies[&third]);
}

// Guards against a second start while the agent that keeps the claim stands still, with runs
// of the job that nobody can stop.
#[test]
fn silent_keeper_outwaited() {
    for (id, lost_agent) in (1..=8).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent))) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        let first = model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.freeze_agent(lost_agent);
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(45));
        model.abandon(1, first);
        play(&mut model, Duration::from_millis(1_000));
        model.thaw_agent(lost_agent);
        check_ended(&mut model, second, id);
    }
}

// Guards against a claim that another entry is granted while its holder tells the next agent
// of it, since the agent that kept it is gone.
#[test]
fn departed_keeper_asks() {
    let cases = (1..=4).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent)));
    for (id, keeper) in cases {
        for steps in (0..30).step_by(4) {
            let mut model = model(2);
            model.run_time = Duration::from_millis(900);
            let first = model.submit(1, job(id, 2, true));
            play(&mut model, Duration::from_millis(60));
            model.lose_link(2, keeper);
            play(&mut model, STEP * (steps % 3));
            model.lose_link(1, keeper);
            play(&mut model, STEP * steps);
            model.submit(2, job(id, 2, true));
            model.abandon(1, first);
            play(&mut model, Duration::from_millis(1_000));
            model.run_fault_free(100);
            let next = model.submit(2, job(id, 2, true));
            model.run_fault_free(50);
            assert!(is_done(&model, next), "{:?}", model.replies[&next]);
        }
    }
}

// Guards against a start by another entry while the holder, which was killed together with the
// agent that kept the claim, may still have active runs.
#[test]
fn killed_pair_outwaited() {
    for (id, keeper) in (1..=2).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent))) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        (0..AGENTS).for_each(|agent| model.lose_link(1, agent));
        model.lose_link(2, keeper);
        model.restart_agent(keeper);
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(1_000));
        check_ended(&mut model, second, id);
    }
}

// Guards against an entry that stood still for longer than the claims that it had were kept,
// and then places tasks of a job that another entry runs.
#[test]
fn paused_holder_asks() {
    for (id, first_agent) in (1..=4).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent))) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        model.freeze_entry(1);
        play(&mut model, Duration::from_millis(4_500));
        let second = model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        assert_eq!(starts(&model), 4, "the claim has passed to the second entry");
        model.connect(1, first_agent);
        model.thaw_entry(1);
        play(&mut model, Duration::from_millis(90));
        check_ended(&mut model, second, id);
    }
}

// Guards against a claim that another entry is granted by an agent which connected to the holder
// while its claim was pending at a later agent.
#[test]
fn late_agent_told() {
    let agents = (0..AGENTS).flat_map(|late| (0..AGENTS).map(move |keeper| (late, keeper)));
    for (late, keeper) in agents.filter(|(late, keeper)| late != keeper) {
        for id in 1..=8 {
            let mut model = model(2);
            model.run_time = LONG_RUN;
            model.lose_link(1, late);
            play(&mut model, Duration::from_millis(400));
            model.freeze_agent(keeper);
            model.submit(1, job(id, 2, true));
            play(&mut model, Duration::from_millis(30));
            model.connect(1, late);
            play(&mut model, Duration::from_millis(30));
            model.thaw_agent(keeper);
            play(&mut model, Duration::from_millis(60));
            let second = model.submit(2, job(id, 2, true));
            play(&mut model, Duration::from_millis(600));
            check_ended(&mut model, second, id);
        }
    }
}

/// Ids of jobs, agents, and pauses in which faults follow each other.
fn fault_cases(pauses: [u64; 4]) -> impl Iterator<Item = (usize, usize, Duration)> {
    let agents = (1..=3).flat_map(|id| (0..AGENTS).map(move |agent| (id, agent)));
    agents.flat_map(move |(id, agent)| {
        pauses.into_iter().map(move |pause| (id, agent, Duration::from_millis(pause)))
    })
}

/// Kills an agent, which starts again at once and connects to the entries.
fn restart_and_connect(model: &mut ScheduleModel, agent: usize, entries: &[usize]) {
    (1..=2).for_each(|entry| model.disconnect(entry, agent));
    model.restart_agent(agent);
    entries.iter().for_each(|entry| model.connect(*entry, agent));
    model.heartbeat(agent);
}

// Guards against an agent that has just started and grants a claim while the runs of its holder,
// which stands still, are active.
#[test]
fn paused_holder_outwaited() {
    for (id, keeper, pause) in fault_cases([0, 150, 600, 1_200]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.freeze_entry(1);
        play(&mut model, pause);
        restart_and_connect(&mut model, keeper, &[1, 2]);
        play(&mut model, Duration::from_millis(30));
        model.run_time = SHORT_RUN;
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(1_000));
        model.thaw_entry(1);
        play(&mut model, Duration::from_millis(90));
        check_ended(&mut model, second, id);
    }
}

// Guards against a holder that never releases its claim: while it stood still, an agent with its
// runs was killed and started again, and the entry that waits for the claim adopted them.
#[test]
fn adopted_runs_end() {
    for (id, agent, pause) in fault_cases([0, 150, 600, 900]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.freeze_entry(1);
        play(&mut model, pause);
        restart_and_connect(&mut model, agent, &[1, 2]);
        model.run_time = SHORT_RUN;
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(1_000));
        model.thaw_entry(1);
        play(&mut model, Duration::from_millis(90));
        check_ended(&mut model, second, id);
    }
}

// Guards against an agent that has just started and grants a claim while the runs of its holder,
// which has died, are active.
#[test]
fn dead_holder_outwaited() {
    for (id, keeper, pause) in fault_cases([0, 150, 600, 1_200]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        (0..AGENTS).for_each(|agent| model.lose_link(1, agent));
        play(&mut model, pause);
        restart_and_connect(&mut model, keeper, &[2]);
        model.run_time = SHORT_RUN;
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(1_000));
        check_ended(&mut model, second, id);
    }
}

// Guards against an agent that has just started and grants a claim while the runs of its holder's
// earlier process are active.
#[test]
fn killed_holder_outwaited() {
    for (id, keeper, pause) in fault_cases([0, 150, 600, 1_200]) {
        for entry in [1, 2] {
            let mut model = model(2);
            model.run_time = LONG_RUN;
            model.submit(1, job(id, 8, true));
            play(&mut model, Duration::from_millis(60));
            model.restart_entry(1);
            (0..AGENTS).for_each(|agent| model.connect(1, agent));
            play(&mut model, pause);
            restart_and_connect(&mut model, keeper, &[1, 2]);
            model.run_time = SHORT_RUN;
            let second = model.submit(entry, job(id, 8, true));
            play(&mut model, Duration::from_millis(1_000));
            check_ended(&mut model, second, id);
        }
    }
}

// Guards against an agent that has just started and grants a claim while its holder, which is cut
// off from this agent, still runs the job.
#[test]
fn cut_holder_outwaited() {
    for (id, keeper, pause) in fault_cases([0, 150, 600, 1_200]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.lose_link(1, keeper);
        play(&mut model, pause);
        model.lose_link(2, keeper);
        restart_and_connect(&mut model, keeper, &[2]);
        model.run_time = SHORT_RUN;
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(1_000));
        check_ended(&mut model, second, id);
    }
}

// Guards against a claim that the next agent grants to another entry, since the agent that kept it
// is gone and the holder, which stood still meanwhile, lists it too late.
#[test]
fn late_holder_lists() {
    for (id, keeper, pause) in fault_cases([150, 240, 510, 1_200]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.freeze_entry(1);
        model.disconnect(1, keeper);
        model.lose_link(2, keeper);
        model.run_time = SHORT_RUN;
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, pause);
        model.thaw_entry(1);
        play(&mut model, Duration::from_millis(1_000));
        check_ended(&mut model, second, id);
    }
}

// Guards against an entry that is cut off from the agent that keeps a claim, and is granted it by
// another agent while the holder runs the job.
#[test]
fn cut_entry_waits() {
    for (id, keeper, pause) in fault_cases([0, 150, 600, 3_000]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.lose_link(2, keeper);
        play(&mut model, pause);
        model.run_time = SHORT_RUN;
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(1_000));
        check_ended(&mut model, second, id);
    }
}

// Guards against an entry that serves no new jobs for as long as it is cut off from an agent.
#[test]
fn cut_entry_serves() {
    for (id, lost_agent, pause) in fault_cases([0, 150, 600, 3_000]) {
        let mut model = model(2);
        model.lose_link(2, lost_agent);
        play(&mut model, pause);
        let call = model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(4_500));
        assert!(is_done(&model, call), "{:?}", model.replies[&call]);
    }
}

// Guards against a claim that the next agent grants to another entry while the one that keeps it
// stands still and its holder runs the job.
#[test]
fn silent_keeper_waits() {
    for (id, keeper, pause) in fault_cases([0, 150, 450, 900]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.submit(1, job(id, 8, true));
        play(&mut model, Duration::from_millis(60));
        model.freeze_agent(keeper);
        play(&mut model, pause);
        model.run_time = SHORT_RUN;
        let second = model.submit(2, job(id, 8, true));
        play(&mut model, Duration::from_millis(900));
        model.thaw_agent(keeper);
        check_ended(&mut model, second, id);
    }
}

// Guards against an agent that is back and recalls a claim for an entry that has released it
// meanwhile, at another agent: the holder is ended although its caller waits.
#[test]
fn returned_keeper_forgets() {
    for (id, keeper, pause) in fault_cases([0, 150, 600, 900]) {
        let mut model = model(2);
        model.run_time = Duration::from_millis(900);
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        (1..=2).for_each(|entry| model.lose_link(entry, keeper));
        play(&mut model, pause);
        let second = model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(600));
        (1..=2).for_each(|entry| model.connect(entry, keeper));
        check_ended(&mut model, second, id);
    }
}

// Guards against an entry that has released a recalled claim, kept in place of a silent agent, and
// is granted it by that one while the claimant runs the job.
#[test]
fn released_holder_asks() {
    for (id, keeper, pause) in fault_cases([30, 90, 300, 900]) {
        let mut model = model(2);
        model.run_time = LONG_RUN;
        model.freeze_agent(keeper);
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(300));
        model.thaw_agent(keeper);
        play(&mut model, pause);
        model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(150));
        let third = model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(300));
        check_ended(&mut model, third, id);
    }
}

// Guards against a claim that passes to the next claimant at a later agent without a question,
// while a restarted entry asks the agent that comes first and is back.
#[test]
fn queued_claim_asks() {
    let pairs = (0..AGENTS).flat_map(|first| (0..AGENTS).map(move |silent| (first, silent)));
    for (first_agent, silent) in pairs.filter(|(first, silent)| first != silent) {
        for id in 1..=8 {
            let mut model = model(3);
            model.run_time = LONG_RUN;
            (1..=3).for_each(|entry| model.lose_link(entry, first_agent));
            play(&mut model, Duration::from_millis(1_500));
            model.submit(1, job(id, 2, true));
            play(&mut model, Duration::from_millis(60));
            model.freeze_agent(silent);
            model.restart_entry(1);
            restart_and_connect(&mut model, first_agent, &[2, 3]);
            play(&mut model, Duration::from_millis(1_800));
            (0..AGENTS).for_each(|agent| model.connect(1, agent));
            play(&mut model, Duration::from_millis(240));
            model.submit(2, job(id, 2, true));
            play(&mut model, Duration::from_millis(510));
            let third = model.submit(1, job(id, 2, true));
            play(&mut model, Duration::from_millis(600));
            model.thaw_agent(silent);
            check_ended(&mut model, third, id);
        }
    }
}

// Guards against an entry that was cut off from all agents until its claims had passed to others,
// and takes them up again at an agent that has restarted.
#[test]
fn returned_holder_asks() {
    for (id, first_agent, pause) in fault_cases([0, 300, 900, 1_500]) {
        let mut model = model(3);
        model.run_time = LONG_RUN;
        (1..=3).for_each(|entry| model.lose_link(entry, first_agent));
        play(&mut model, Duration::from_millis(1_500));
        model.submit(1, job(id, 2, true));
        play(&mut model, Duration::from_millis(60));
        (0..AGENTS).for_each(|agent| model.lose_link(1, agent));
        restart_and_connect(&mut model, first_agent, &[2]);
        model.connect(3, first_agent);
        play(&mut model, pause);
        model.submit(2, job(id, 2, true));
        play(&mut model, Duration::from_millis(3_000));
        let third = model.submit(3, job(id, 2, true));
        play(&mut model, Duration::from_millis(600));
        check_ended(&mut model, third, id);
    }
}

/// Callers send jobs again at once, to any entry, while connections are lost and agents
/// and entries are restarted.
fn play_resends(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = model(3);
    model.run_time = Duration::from_millis(700);
    for number in 1..=60 {
        let entry = rng.random_range(1..=3);
        let tasks = rng.random_range(1..4);
        let call = model.submit(entry, job(number, tasks, true));
        play(&mut model, STEP * rng.random_range(0..6));
        let agent = rng.random_range(0..AGENTS);
        match rng.random_range(0..6) {
            0 => (0..AGENTS).for_each(|agent| model.lose_link(entry, agent)),
            1 => model.lose_link(entry, agent),
            2 => {
                (1..=3).for_each(|entry| model.lose_link(entry, agent));
                model.restart_agent(agent);
            }
            _ => {}
        }
        if rng.random() {
            model.submit(rng.random_range(1..=3), job(number, tasks, true));
        }
        play(&mut model, STEP * rng.random_range(0..4));
        model.abandon(entry, call);
        play(&mut model, STEP * rng.random_range(0..6));
        model.run_fault_free(rng.random_range(0..12));
    }
}

// Guards against resent jobs whose claim is lost with connections or processes.
#[test]
fn resends_run_once() {
    for seed in 1..=u64::from(crate::support::case_count(20)) {
        println!("seed {seed}");
        play_resends(seed);
    }
}

/// Agents stand still for up to 2 s, each at a time when jobs run there, and jobs come again
/// whose callers the first entry knows to be gone within 60 ms.
fn play_silences(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = model(3);
    model.run_time = Duration::from_millis(700);
    for number in 1..=20 {
        let entry = rng.random_range(1..=3);
        let tasks = rng.random_range(1..9);
        let call = model.submit(entry, job(number, tasks, true));
        play(&mut model, STEP * rng.random_range(0..6));
        let silent = rng.random_range(0..AGENTS);
        model.freeze_agent(silent);
        play(&mut model, STEP * rng.random_range(0..4));
        model.submit(rng.random_range(1..=3), job(number, tasks, true));
        play(&mut model, STEP * rng.random_range(0..=4));
        model.abandon(entry, call);
        play(&mut model, STEP * rng.random_range(0..130));
        model.thaw_agent(silent);
        model.run_fault_free(rng.random_range(0..60));
    }
}

// Guards against resent jobs whose keeper stands still while the first runs are stopped.
#[test]
fn silences_run_once() {
    for seed in 1..=u64::from(crate::support::case_count(20)) {
        println!("seed {seed}");
        play_silences(seed);
    }
}
