//! Speeds of backend servers in the messages between schedulers and agents: what an agent
//! reports and when, which figures a scheduler uses, and peers of an earlier version.

use std::time::{Duration, Instant};

use decisions::agent::RunLimits;
use decisions::schedule::{ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
use model::{
    AgentMessage, AgentOrder, AgentReport, ClaimUpdate, EndKind, JobCall, LinkId, ListedEnd,
    NumberedMessage, ResourceAmount, ServerAnswer, ServerReport, ServerView, SpeedReport, TaskName,
    TaskRun,
};

use crate::agent_fixture::{AgentFixture, heartbeat, is_start};
use crate::schedule_model::{SERVICE, catalog, job, run_limits, schedule_limits};

const ESTIMATE_MS: u64 = 100;
/// Time from its start after which an entry claims jobs: all agents have connected.
const CONNECT_TIME: Duration = Duration::from_millis(300);

fn learning_agent() -> AgentFixture {
    AgentFixture::with_limits(RunLimits { speed_reports: true, ..run_limits() })
}

/// Runs a job of one task that takes `ran_ms`.
fn run_job(agent: &mut AgentFixture, number: u64, estimate_ms: Option<u64>, ran_ms: u64) {
    let task = TaskName { job: format!("{number:016x}").into(), occurrence: 0, step: 0, index: 0 };
    let run = TaskRun { task, run: 1 };
    let size = ResourceAmount { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let (life, runs, spec) = ("i-1/7".into(), vec![run.clone()], "work".to_owned());
    agent.order(vec![AgentOrder::Start { life, runs, spec, size, estimate_ms, queue: None }]);
    let call = agent.take_call(is_start).expect("a start is sent");
    agent.answer(&call, ServerAnswer::Done);
    agent.advance(Duration::from_millis(ran_ms));
    agent.list_end(ListedEnd { number, run, kind: EndKind::Done });
}

/// The figure goes with the report of the end, once for each change.
#[test]
fn speed_goes_along() {
    let mut agent = learning_agent();
    for number in 1..=8 {
        run_job(&mut agent, number, Some(ESTIMATE_MS), 150);
    }
    let reported: Vec<u32> = agent.speeds.iter().map(|speed| speed.jobs).collect();
    assert_eq!(reported, [1, 2, 4, 8], "the number of jobs has doubled");
    assert!(agent.speeds.iter().all(|speed| speed.slowness_milli == 1_500), "{:?}", agent.speeds);
    agent.speeds.clear();
    for number in 9..=40 {
        run_job(&mut agent, number, Some(ESTIMATE_MS), 250);
    }
    assert!(agent.speeds.len() < 16, "{} reports of 32 jobs", agent.speeds.len());
    assert!(agent.speeds.last().is_some_and(|speed| speed.slowness_milli > 2_000));
}

/// Without the setting, and for schedulers of an earlier version, whose orders have no
/// estimates, nothing is learned.
#[test]
fn nothing_without_estimates() {
    let mut without_setting = AgentFixture::new();
    let mut without_estimates = learning_agent();
    for number in 1..=10 {
        run_job(&mut without_setting, number, Some(ESTIMATE_MS), 150);
        run_job(&mut without_estimates, number, None, 150);
    }
    assert_eq!(without_setting.speeds, []);
    assert_eq!(without_estimates.speeds, []);
    run_job(&mut without_estimates, 11, Some(ESTIMATE_MS), 150);
    assert_eq!(without_estimates.speeds, [SpeedReport { slowness_milli: 1_500, jobs: 1 }]);
}

/// A backend server that was started again may have another speed.
#[test]
fn new_life_resets() {
    let mut agent = learning_agent();
    for number in 1..=8 {
        run_job(&mut agent, number, Some(ESTIMATE_MS), 300);
    }
    agent.speeds.clear();
    let mut next = heartbeat(1, false);
    next.generation += 1;
    next.view.life = "i-1/8".into();
    let steps = agent.table.on_heartbeat(agent.now, &next);
    agent.apply_steps(steps);
    agent.advance(Duration::from_millis(50));
    assert_eq!(agent.speeds, [], "no job has run in the new life");
}

/// A scheduler that connects again, or has forgotten the server, learns the figure at once.
#[test]
fn new_session_told() {
    let mut agent = learning_agent();
    for number in 1..=8 {
        run_job(&mut agent, number, Some(ESTIMATE_MS), 150);
    }
    agent.speeds.clear();
    let entry = crate::agent_fixture::entry();
    let steps = agent.table.on_closed(agent.now, &entry, 1);
    agent.apply_steps(steps);
    let steps = agent.table.on_opened(agent.now, entry, 2);
    agent.apply_steps(steps);
    assert_eq!(agent.speeds, [SpeedReport { slowness_milli: 1_500, jobs: 8 }]);
}

/// Tasks that stand still change no report of ends: the figure is reported all the same.
#[test]
fn standstill_reported() {
    let mut agent = learning_agent();
    for number in 1..=20 {
        run_job(&mut agent, number, Some(ESTIMATE_MS), 100);
    }
    agent.speeds.clear();
    for number in 101..=106 {
        let task =
            TaskName { job: format!("{number:016x}").into(), occurrence: 0, step: 0, index: 0 };
        let size = ResourceAmount { cpu_milli: 100, memory_mb: 1, accelerators: 0 };
        let (life, spec) = ("i-1/7".into(), "work".to_owned());
        let (runs, estimate_ms) = (vec![TaskRun { task, run: 1 }], Some(ESTIMATE_MS));
        agent.order(vec![AgentOrder::Start { life, runs, spec, size, estimate_ms, queue: None }]);
        let call = agent.take_call(is_start).expect("a start is sent");
        agent.answer(&call, ServerAnswer::Done);
    }
    agent.advance(Duration::from_millis(900));
    assert!(agent.speeds.last().is_some_and(|speed| speed.slowness_milli > 1_800));
}

fn agent_report(agent: &str) -> AgentReport {
    let server = ServerView {
        life: "i-1/7".into(),
        service: SERVICE.into(),
        domain: "north".into(),
        capacity: ResourceAmount { cpu_milli: 8_000, memory_mb: 1_000, accelerators: 0 },
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

/// An entry's scheduler with connected agents; the link of an agent is its index.
struct EntryFixture {
    now: Instant,
    scheduler: Scheduler,
    messages: u64,
}

const AGENTS: [&str; 3] = ["agent-1", "agent-2", "agent-3"];

impl EntryFixture {
    fn new(speed_reports: bool) -> EntryFixture {
        let usual = schedule_limits(SchedulerKind::Entry);
        EntryFixture::with_limits(ScheduleLimits { speed_reports, ..usual })
    }

    fn with_limits(limits: ScheduleLimits) -> EntryFixture {
        let now = Instant::now();
        let mut scheduler = Scheduler::new(now, SchedulerKind::Entry, limits);
        scheduler.on_catalog(&catalog(1));
        let mut entry = EntryFixture { now, scheduler, messages: 0 };
        for (link, agent) in AGENTS.iter().enumerate() {
            entry.send(link as LinkId, agent_report(agent));
        }
        entry.now += CONNECT_TIME;
        entry
    }

    fn send(&mut self, link: LinkId, report: AgentReport) {
        self.messages += 1;
        let message = AgentMessage::Report(Box::new(report));
        let message = NumberedMessage { number: self.messages, message };
        self.scheduler.on_agent_message(self.now, link, &message);
    }

    /// Sends a report of an open session.
    fn send_change(&mut self, link: LinkId, change: AgentReport) {
        let (server, runs) = (ServerReport::Unchanged, None);
        self.send(link, AgentReport { server, runs, ..change });
    }

    fn report_speed(&mut self, link: LinkId, slowness_milli: u32, jobs: u32) {
        let speed = Some(SpeedReport { slowness_milli, jobs });
        let usual = agent_report(AGENTS[link as usize]);
        self.send_change(link, AgentReport { speed, ..usual });
    }

    /// Submits a job of one task, grants its claim and returns where it is started, and
    /// the estimate in the order.
    fn start_job(&mut self, number: usize) -> Option<(LinkId, Option<u64>)> {
        let job = job(number, 1, true);
        let call = JobCall::Submit { job: job.clone(), wait_ms: 1_500 };
        self.scheduler.on_job_call(self.now, number as u64, &call);
        for (link, orders) in self.settle() {
            if orders.claims.is_some_and(|claims| claims.claimed.contains(&job.id)) {
                let claims = vec![ClaimUpdate::Granted { job: job.id.clone() }];
                let usual = agent_report(AGENTS[link as usize]);
                self.send_change(link, AgentReport { claims, ..usual });
            }
        }
        self.settle().into_iter().find_map(|(link, orders)| {
            orders.orders.iter().find_map(|order| match order {
                AgentOrder::Start { estimate_ms, .. } => Some((link, *estimate_ms)),
                _ => None,
            })
        })
    }

    fn settle(&mut self) -> Vec<(LinkId, model::AgentOrders)> {
        let steps = self.scheduler.settle(self.now).into_iter();
        let orders = steps.filter_map(|step| match step {
            ScheduleStep::Orders { link, orders } => Some((link, *orders)),
            _ => None,
        });
        orders.collect()
    }
}

/// A figure that is based on few jobs is no better than the scheduler's own.
#[test]
fn few_jobs_unused() {
    let mut entry = EntryFixture::new(true);
    entry.report_speed(1, 3_000, 7);
    assert_eq!(entry.scheduler.max_slowness(), Some(1.0));
    entry.report_speed(1, 3_000, 8);
    let slowness = entry.scheduler.max_slowness().expect("three servers");
    assert!((2.7..=3.3).contains(&slowness), "{slowness}");
    assert_eq!(entry.scheduler.reported_speeds(), (1, 0));
}

/// Guards against long tasks on slow servers that they outlast: agents report geometric means,
/// which are lower than the mean run times that deadlines are weighed against.
#[test]
fn mean_time_used() {
    let usual = schedule_limits(SchedulerKind::Entry);
    let max_slowness = |estimate_spread: f64| {
        let limits = ScheduleLimits { estimate_spread, speed_reports: true, ..usual };
        let mut entry = EntryFixture::with_limits(limits);
        entry.report_speed(1, 3_000, 64);
        entry.scheduler.max_slowness().expect("three servers")
    };
    let ratio = max_slowness(0.45) / max_slowness(0.0);
    assert!((1.10..=1.11).contains(&ratio), "{ratio}");
}

/// The task goes to the server that agents report as the fastest.
#[test]
fn fastest_agent_chosen() {
    for fastest in 0..3 {
        let mut entry = EntryFixture::new(true);
        for link in 0..3 {
            entry.report_speed(link, if link == fastest { 800 } else { 1_250 }, 40);
        }
        assert_eq!(entry.start_job(1), Some((fastest, Some(ESTIMATE_MS))));
    }
}

/// Guards against entries that place their next tasks on one server: all get the same figures,
/// and servers of one speed differ by the error of these alone.
#[test]
fn entries_differ() {
    let mut chosen = [0; 3];
    for incarnation in 1..=60 {
        let usual = schedule_limits(SchedulerKind::Entry);
        let limits = ScheduleLimits { incarnation, speed_reports: true, ..usual };
        let mut entry = EntryFixture::with_limits(limits);
        for link in 0..3 {
            entry.report_speed(link, 1_000 + 5 * link as u32, 64);
        }
        let (link, _) = entry.start_job(1).expect("the job is started");
        chosen[link as usize] += 1;
    }
    assert!(chosen.iter().all(|count| *count >= 10), "{chosen:?}");
}

/// Without the setting, orders are those of the previous version and reports change nothing.
#[test]
fn setting_absent() {
    let mut entry = EntryFixture::new(false);
    entry.report_speed(1, 3_000, 64);
    assert_eq!(entry.scheduler.max_slowness(), Some(1.0));
    assert_eq!(entry.start_job(1).map(|(_, estimate_ms)| estimate_ms), Some(None));
}

/// The figure is that of a life: the next one begins without.
#[test]
fn life_forgets_figure() {
    let mut entry = EntryFixture::new(true);
    entry.report_speed(1, 3_000, 64);
    let mut next = agent_report(AGENTS[1]);
    if let ServerReport::Present(server) = &mut next.server {
        server.life = "i-1/8".into();
    }
    entry.send(1, next);
    assert_eq!(entry.scheduler.max_slowness(), Some(1.0));
}

/// The next process of an agent begins to learn anew. If it reports nothing, because it is of
/// an earlier version, the old figure doesn't stay.
#[test]
fn restart_forgets_figure() {
    let mut entry = EntryFixture::new(true);
    entry.report_speed(1, 3_000, 64);
    entry.send(1, AgentReport { incarnation: 2, ..agent_report(AGENTS[1]) });
    assert_eq!(entry.scheduler.max_slowness(), Some(1.0));
}

/// Reports and orders of the previous version are understood, and those without a figure are
/// the same bytes as before.
#[test]
fn wire_stays_compatible() {
    let report = agent_report("agent-1");
    let text = serde_json::to_string(&report).expect("serializable");
    assert!(!text.contains("speed"), "{text}");
    assert_eq!(serde_json::from_str::<AgentReport>(&text).expect("a report"), report);
    let speed = Some(SpeedReport { slowness_milli: 1_250, jobs: 64 });
    let text = serde_json::to_string(&AgentReport { speed, ..report }).expect("serializable");
    assert!(text.ends_with(r#","speed":{"slowness":1250,"jobs":64}}"#), "{text}");

    let size = ResourceAmount::default();
    let (life, runs, spec) = ("i-1/7".into(), Vec::new(), "work".to_owned());
    let start = AgentOrder::Start { life, runs, spec, size, estimate_ms: None, queue: None };
    let text = serde_json::to_string(&start).expect("serializable");
    assert!(!text.contains("estimate"), "{text}");
    assert_eq!(serde_json::from_str::<AgentOrder>(&text).expect("an order"), start);
}
