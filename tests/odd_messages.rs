//! Messages between our own processes with numbers beyond any real one, as a faulty or
//! another version may send them. None ends the receiver, and it follows the true ones.

use std::time::{Duration, Instant};

use decisions::agent::RunLimits;
use decisions::schedule::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
use model::{
    AgentHeartbeat, AgentMessage, AgentOrder, AgentOrders, AgentReport, ClaimUpdate, EndAck,
    EndKind, JobCall, JobReply, LinkId, NumberedMessage, PairReport, ResourceAmount, RunUpdate,
    ServerReport, ServerView, SpeedReport, StartRefusal, TaskName, TaskRun,
};
use proptest::prelude::*;

use crate::agent_fixture::{AgentFixture, entry, is_start, run_of};
use crate::schedule_model::{QUEUE, SERVICE, catalog, job, run_limits, schedule_limits};
use crate::support::case_count;

fn odd_number() -> impl Strategy<Value = u64> {
    prop_oneof![
        0_u64..4,
        (0_u32..64).prop_map(|shift| u64::MAX >> shift),
        any::<u64>(),
        Just(u64::MAX),
        Just(i64::MAX as u64),
    ]
}

fn odd_amount() -> impl Strategy<Value = ResourceAmount> {
    (odd_number(), odd_number(), odd_number()).prop_map(|(cpu_milli, memory_mb, accelerators)| {
        ResourceAmount { cpu_milli, memory_mb, accelerators }
    })
}

/// A run of one of the first jobs, often of a task that the job does not have.
fn odd_run() -> impl Strategy<Value = TaskRun> {
    let numbers = (0_u64..2, prop_oneof![0_u32..2, Just(u32::MAX)]);
    let index = prop_oneof![0_u32..3, Just(u32::MAX)];
    (0_usize..4, numbers, index, odd_number()).prop_map(|(id, (occurrence, step), index, run)| {
        let task = TaskName { job: job(id, 1, true).id.clone(), occurrence, step, index };
        TaskRun { task, run }
    })
}

fn odd_update() -> impl Strategy<Value = RunUpdate> {
    let kind = prop_oneof![
        Just(EndKind::Done),
        Just(EndKind::Failed),
        Just(EndKind::Stopped),
        Just(EndKind::Lapsed)
    ];
    let refusal = prop_oneof![Just(StartRefusal::Room), Just(StartRefusal::Unhealthy)];
    prop_oneof![
        (odd_run(), refusal).prop_map(|(run, refusal)| RunUpdate::Refused { run, refusal }),
        (odd_number(), odd_run(), kind, prop::option::of(odd_number()))
            .prop_map(|(number, run, kind, ran_ms)| RunUpdate::Ended { number, run, kind, ran_ms }),
    ]
}

fn report(agent: &str, capacity: ResourceAmount) -> AgentReport {
    let server = ServerView {
        life: "i-1/7".into(),
        service: SERVICE.into(),
        domain: "north".into(),
        capacity,
        labels: Vec::new(),
        draining: false,
    };
    AgentReport {
        agent: agent.into(),
        incarnation: 1,
        session: 1,
        server: ServerReport::Present(server),
        runs: Some(Vec::new()),
        runs_partial: false,
        unowned: Vec::new(),
        updates: Vec::new(),
        claims: Vec::new(),
        other_usage: ResourceAmount::default(),
        speed: None,
        pairs: Vec::new(),
        other_kinds: None,
    }
}

fn odd_speed() -> impl Strategy<Value = Option<SpeedReport>> {
    let number = || odd_number().prop_map(|number| number as u32);
    let speed = (number(), number())
        .prop_map(|(slowness_milli, jobs)| SpeedReport { slowness_milli, jobs });
    prop::option::of(speed)
}

/// Pairs of kinds whose sums can't be true, and kinds that no queue has.
fn odd_pairs() -> impl Strategy<Value = Vec<PairReport>> {
    let kind = || prop_oneof![Just(QUEUE), Just("no-queue"), Just("")];
    let number = || odd_number().prop_map(|number| number as u32);
    let pair = (kind(), kind(), number(), number(), number(), number(), number());
    let pair =
        pair.prop_map(|(first, second, beside, alone, weight, excess, variance)| PairReport {
            first: first.into(),
            second: second.into(),
            beside,
            alone,
            weight_milli: weight,
            excess_milli: excess as i32,
            variance_milli: variance,
        });
    prop::collection::vec(pair, 0..3)
}

fn odd_report() -> impl Strategy<Value = AgentReport> {
    let runs = || prop::collection::vec(odd_run(), 0..3);
    let updates = prop::collection::vec(odd_update(), 0..4);
    let agent = prop_oneof![Just("agent-1"), Just("agent-2"), Just("agent-3")];
    let session = (odd_number(), odd_number());
    let amounts = (odd_amount(), odd_amount());
    let learned = (odd_speed(), odd_pairs());
    (agent, session, amounts, prop::option::of(runs()), runs(), updates, learned).prop_map(
        |(agent, session, (capacity, other_usage), runs, unowned, updates, (speed, pairs))| {
            let (incarnation, session) = session;
            let usual = AgentReport { incarnation, session, ..report(agent, capacity) };
            let other_kinds = Some(pairs.iter().map(|pair| pair.second.clone()).collect());
            let usual = AgentReport { pairs, other_kinds, ..usual };
            AgentReport { runs, unowned, updates, other_usage, speed, ..usual }
        },
    )
}

/// Sends a report as the first message of a connection.
fn send(scheduler: &mut Scheduler, now: Instant, link: LinkId, report: &AgentReport) {
    let message = AgentMessage::Report(Box::new(report.clone()));
    scheduler.on_agent_message(now, link, &NumberedMessage { number: 1, message });
}

fn submit(scheduler: &mut Scheduler, now: Instant, number: usize, wait_ms: u64) -> JobDecision {
    let call = JobCall::Submit { job: job(number, 3, true), wait_ms };
    scheduler.on_job_call(now, number as u64, &call)
}

fn starts(steps: &[ScheduleStep]) -> usize {
    let orders = steps.iter().filter_map(|step| match step {
        ScheduleStep::Orders { orders, .. } => Some(&orders.orders),
        _ => None,
    });
    orders.flatten().filter(|order| matches!(order, AgentOrder::Start { .. })).count()
}

/// Link of the agent at which a job is claimed.
fn claim_link(steps: &[ScheduleStep]) -> Option<LinkId> {
    steps.iter().find_map(|step| match step {
        ScheduleStep::Orders { link, orders } => {
            let claims = orders.claims.as_ref()?;
            (!claims.claimed.is_empty()).then_some(*link)
        }
        _ => None,
    })
}

/// Grants the claim to a job, as the agent with this link.
fn grant_claim(scheduler: &mut Scheduler, now: Instant, link: LinkId, number: usize) {
    let agents = ["agent-1", "agent-2", "agent-3"];
    let claims = vec![ClaimUpdate::Granted { job: job(number, 3, true).id.clone() }];
    let agent = agents[link as usize - 1_000];
    let usual = report(agent, ResourceAmount::default());
    let granted = AgentReport { server: ServerReport::Unchanged, runs: None, claims, ..usual };
    let message = AgentMessage::Report(Box::new(granted));
    scheduler.on_agent_message(now, link, &NumberedMessage { number: 2, message });
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: case_count(256),
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Sums over agents, run numbers, measured run times and the waits of callers.
    #[test]
    fn odd_reports_survived(
        reports in prop::collection::vec((odd_report(), odd_number(), 0_u64..200), 1..12),
    ) {
        let mut now = Instant::now();
        let limits = schedule_limits(SchedulerKind::Entry);
        let limits = ScheduleLimits { speed_reports: true, interference: true, ..limits };
        let mut scheduler = Scheduler::new(now, SchedulerKind::Entry, limits);
        scheduler.on_catalog(&catalog(1));
        for (number, (odd, wait_ms, step_ms)) in reports.iter().enumerate() {
            submit(&mut scheduler, now, number, *wait_ms);
            scheduler.settle(now);
            let link = number as u64;
            send(&mut scheduler, now, link, odd);
            scheduler.settle(now);
            let AgentReport { agent, incarnation, session, .. } = odd.clone();
            let heartbeat = AgentHeartbeat { agent, incarnation, session };
            let message = AgentMessage::Heartbeat(heartbeat);
            scheduler.on_agent_message(now, link, &NumberedMessage { number: u64::MAX, message });
            scheduler.settle(now);
            now += Duration::from_millis(*step_ms);
            scheduler.on_idle(now);
            scheduler.settle(now);
        }
        // Longer than the contact timeout of the agents that sent odd reports.
        now += Duration::from_secs(5);
        scheduler.on_idle(now);
        scheduler.settle(now);
        let capacity = ResourceAmount { cpu_milli: 64_000, memory_mb: 64_000, accelerators: 0 };
        for (number, agent) in ["agent-1", "agent-2", "agent-3"].into_iter().enumerate() {
            send(&mut scheduler, now, 1_000 + number as u64, &report(agent, capacity));
        }
        let refused = scheduler
            .settle(now)
            .into_iter()
            .filter(|step| matches!(step, ScheduleStep::CloseLink { link } if *link >= 1_000));
        prop_assert_eq!(refused.count(), 0, "all agents are followed again");
        let decision = submit(&mut scheduler, now, 100, 1_000);
        prop_assert_eq!(decision, JobDecision::Wait);
        // Time for all agents to connect.
        now += Duration::from_millis(300);
        let steps = scheduler.settle(now);
        let claimed = claim_link(&steps);
        prop_assert!(claimed.is_some(), "the job is claimed");
        grant_claim(&mut scheduler, now, claimed.unwrap_or_default(), 100);
        let steps = scheduler.settle(now);
        prop_assert!(starts(&steps) > 0, "tasks are started");
    }

    // Grants, intervals, acknowledgements and sizes of a scheduler's orders.
    #[test]
    fn odd_orders_survived(
        orders in prop::collection::vec(
            (odd_number(), odd_number(), odd_number(), odd_amount(), odd_run()), 1..8),
    ) {
        let (speed_reports, interference) = (true, true);
        let limits = RunLimits { speed_reports, interference, ..run_limits() };
        let mut agent = AgentFixture::with_limits(limits);
        for (grant_ms, usage_interval_ms, upto, size, run) in orders {
            let ack = Some(EndAck { life: "i-1/7".into(), upto });
            let start = AgentOrder::Start {
                life: "i-1/7".into(),
                runs: vec![run.clone(), TaskRun { run: run.run ^ 1, ..run.clone() }],
                spec: "work".to_owned(),
                size,
                estimate_ms: Some(grant_ms),
                queue: Some("work".into()),
            };
            let orders = vec![start, AgentOrder::Keep { run: run.clone() }, AgentOrder::Stop { run }];
            let (term, received) = (0, 1);
            let orders = AgentOrders {
                term,
                received,
                grant_ms,
                usage_interval_ms,
                ack,
                orders,
                claims: None,
                entries: None,
                controls: None,
                evacuated: None,
                watched_kinds: Some(vec!["work".into(), "".into()]),
            };
            let steps = agent.table.on_orders(agent.now, &entry(), 1, agent.now, orders);
            agent.apply_steps(steps);
            agent.advance(Duration::from_millis(30));
        }
        agent.answer_renewal();
        agent.advance(Duration::from_millis(100));
        while agent.take_call(is_start).is_some() {}
        agent.answer_renewal();
        agent.start_run(run_of(7), 0);
        prop_assert!(agent.take_start().is_some(), "a usual order is carried out");
    }
}

// A sum of capacity over agents, in an overload.
#[test]
fn largest_usage_summed() {
    let now = Instant::now();
    let limits = schedule_limits(SchedulerKind::Entry);
    let mut scheduler = Scheduler::new(now, SchedulerKind::Entry, limits);
    scheduler.on_catalog(&catalog(1));
    let most = ResourceAmount { cpu_milli: u64::MAX, memory_mb: u64::MAX, accelerators: u64::MAX };
    for (link, agent) in ["agent-1", "agent-2", "agent-3"].into_iter().enumerate() {
        let odd = AgentReport { other_usage: most, ..report(agent, most) };
        send(&mut scheduler, now, link as u64, &odd);
    }
    let decisions: Vec<JobDecision> =
        (0..50).map(|number| submit(&mut scheduler, now, number, 1_000)).collect();
    let is_answered = |decision: &JobDecision| {
        matches!(decision, JobDecision::Wait | JobDecision::Reply(JobReply::Refused { .. }))
    };
    assert!(decisions.iter().all(is_answered), "{decisions:?}");
}
