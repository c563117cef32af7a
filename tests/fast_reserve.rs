//! Capacity of fast backend servers while tasks wait that need them. Guards against short
//! tasks of lower precedence that fill each fast server up, so that long tasks never find
//! one with enough free capacity.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::schedule::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
use model::{
    AgentMessage, AgentOrder, AgentReport, ClaimUpdate, EndKind, JobCall, JobId, JobStep,
    NumberedMessage, Precedence, QueueCatalog, QueueRule, QueuedJob, ResourceAmount, RunUpdate,
    ServerReport, ServerView, TaskRun,
};

use crate::schedule_model::{QUEUE, SERVICE, catalog, schedule_limits};

const LOW_QUEUE: &str = "low";
const THIRD_QUEUE: &str = "third";
const AGENTS: u64 = 4;
/// Agent of the fast backend server; the others are full.
const FAST: u64 = 1;
const SERVER_CPU_MILLI: u64 = 6_000;
/// What other schedulers use of the fast server: more than the part that is free to all
/// tasks, less than the part from which on it is kept.
const HALF_CPU_MILLI: u64 = 3_000;
/// How long callers wait; a task of [`LONG_MS`] ends by then on the fast server only.
const WAIT_MS: u64 = 1_475;
const LONG_MS: u64 = 1_200;
const SHORT_MS: u64 = 60;
/// Id of the long job and of its call.
const LONG_CALL: u64 = 2;
/// Time after which an entry that has just started asks for claims.
const CONNECT_TIME: Duration = Duration::from_millis(400);

fn cpu(cpu_milli: u64) -> ResourceAmount {
    ResourceAmount { cpu_milli, memory_mb: 0, accelerators: 0 }
}

fn job(id: u64, queue: &str, estimate_ms: u64, cpu_milli: u64) -> Arc<QueuedJob> {
    let step = JobStep { count: 1, size: cpu(cpu_milli), estimate_ms, ..JobStep::default() };
    Arc::new(QueuedJob {
        id: format!("{id:016x}").into(),
        queue: queue.into(),
        spec: String::new(),
        steps: vec![step],
        best_effort: true,
    })
}

fn three_queues() -> QueueCatalog {
    let mut catalog = QueueCatalog::clone(&catalog(1));
    let rule =
        QueueRule { priority: 1, path_prefix: "/low/".into(), ..catalog.queues[QUEUE].clone() };
    let third = QueueRule { priority: 2, path_prefix: "/third/".into(), ..rule.clone() };
    catalog.queues.insert(LOW_QUEUE.into(), rule);
    catalog.queues.insert(THIRD_QUEUE.into(), third);
    catalog
}

/// An entry's scheduler with agents that do as the test says.
struct EntryFixture {
    now: Instant,
    scheduler: Scheduler,
    /// Number of the latest message of each agent.
    sent: BTreeMap<u64, u64>,
    /// Agent that was asked for the claim of each job.
    claims: BTreeMap<JobId, u64>,
    /// Runs that were ordered, with their agents.
    starts: Vec<(u64, TaskRun)>,
    lines: Vec<String>,
}

impl EntryFixture {
    fn new(precedence: Option<Precedence>) -> EntryFixture {
        let now = Instant::now();
        let kind = SchedulerKind::Entry;
        let limits = ScheduleLimits { precedence, ..schedule_limits(kind) };
        let mut scheduler = Scheduler::new(now, kind, limits);
        scheduler.on_catalog(&Arc::new(three_queues()));
        let mut fixture = EntryFixture {
            now,
            scheduler,
            sent: BTreeMap::new(),
            claims: BTreeMap::new(),
            starts: Vec::new(),
            lines: Vec::new(),
        };
        for agent in 1..=AGENTS {
            let used = if agent == FAST { HALF_CPU_MILLI } else { SERVER_CPU_MILLI };
            fixture.report(agent, |report| {
                report.server = ServerReport::Present(server(agent));
                report.runs = Some(Vec::new());
                report.other_usage = cpu(used);
            });
        }
        fixture.settle();
        fixture.now += CONNECT_TIME;
        fixture.settle();
        fixture
    }

    fn report(&mut self, agent: u64, change: impl FnOnce(&mut AgentReport)) {
        let used = if agent == FAST { HALF_CPU_MILLI } else { SERVER_CPU_MILLI };
        let mut report = AgentReport {
            agent: format!("agent-{agent}").into(),
            incarnation: 1,
            session: agent,
            server: ServerReport::Unchanged,
            runs: None,
            runs_partial: false,
            unowned: Vec::new(),
            updates: Vec::new(),
            claims: Vec::new(),
            other_usage: cpu(used),
            speed: None,
            pairs: Vec::new(),
            other_kinds: None,
        };
        change(&mut report);
        let number = self.sent.entry(agent).or_default();
        *number += 1;
        let message = AgentMessage::Report(Box::new(report));
        let message = NumberedMessage { number: *number, message };
        self.scheduler.on_agent_message(self.now, agent, &message);
    }

    fn settle(&mut self) {
        self.now += Duration::from_millis(1);
        for step in self.scheduler.settle(self.now) {
            match step {
                ScheduleStep::Orders { link, orders } => {
                    let claimed = orders.claims.into_iter().flat_map(|claims| claims.claimed);
                    self.claims.extend(claimed.map(|job| (job, link)));
                    for order in orders.orders {
                        if let AgentOrder::Start { runs, .. } = order {
                            self.starts.extend(runs.into_iter().map(|run| (link, run)));
                        }
                    }
                }
                ScheduleStep::Log(line) => {
                    let level = model::LineLevel::Info;
                    self.lines.push(line.finish(std::time::UNIX_EPOCH, level).text);
                }
                _ => {}
            }
        }
    }

    fn submit(&mut self, job: &Arc<QueuedJob>) {
        let call = JobCall::Submit { job: Arc::clone(job), wait_ms: WAIT_MS };
        let call_id = u64::from_str_radix(&job.id, 16).expect("the id is a number");
        let decision = self.scheduler.on_job_call(self.now, call_id, &call);
        assert_eq!(decision, JobDecision::Wait, "{}", job.queue);
        self.settle();
    }

    /// Lets the agent grant the claim of a job, so that its tasks are queued.
    fn grant(&mut self, job: &Arc<QueuedJob>) {
        let agent = self.claims[&job.id];
        let update = ClaimUpdate::Granted { job: job.id.clone() };
        self.report(agent, |report| report.claims = vec![update]);
        self.settle();
    }

    /// Agent at which the job was started.
    fn start_of(&self, job: &Arc<QueuedJob>) -> Option<u64> {
        let start = self.starts.iter().find(|(_, run)| run.task.job == job.id);
        start.map(|(agent, _)| *agent)
    }

    /// Teaches the scheduler that the fast server takes half of the estimates, by a job of
    /// each queue, so that both have their guaranteed shares.
    fn learn_fast(&mut self) {
        for (id, queue) in [(10, QUEUE), (11, LOW_QUEUE)] {
            let sample = job(id, queue, 100, 1_000);
            self.submit(&sample);
            self.grant(&sample);
            assert_eq!(self.start_of(&sample), Some(FAST));
            let (_, run) = self.starts.last().expect("a start").clone();
            let end = RunUpdate::Ended { number: 0, run, kind: EndKind::Done, ran_ms: Some(50) };
            self.report(FAST, |report| report.updates = vec![end]);
            self.settle();
        }
    }
}

fn server(agent: u64) -> ServerView {
    ServerView {
        life: format!("i-{agent}/1").into(),
        service: SERVICE.into(),
        domain: "north".into(),
        capacity: cpu(SERVER_CPU_MILLI),
        labels: Vec::new(),
        draining: false,
    }
}

/// Lets a short task arrive while a long one waits that needs more of the fast server than
/// is free, and returns the agent of the short one. The queues are that of the long task
/// and that of the short one.
fn short_start(precedence: Option<Precedence>, queues: [&str; 2]) -> (EntryFixture, Option<u64>) {
    let mut fixture = EntryFixture::new(precedence);
    fixture.learn_fast();
    let long = job(LONG_CALL, queues[0], LONG_MS, 4_000);
    let short = job(3, queues[1], SHORT_MS, 1_000);
    fixture.submit(&long);
    fixture.submit(&short);
    fixture.grant(&long);
    assert_eq!(fixture.start_of(&long), None, "it does not fit");
    fixture.grant(&short);
    let start = fixture.start_of(&short);
    (fixture, start)
}

#[test]
fn reserve_kept_free() {
    let (_, start) = short_start(Some(Precedence::Priority), [QUEUE, LOW_QUEUE]);
    assert_eq!(start, None, "it waits behind the long task of higher precedence");
    let (_, start) = short_start(None, [QUEUE, LOW_QUEUE]);
    assert_eq!(start, Some(FAST), "as before without the setting");
}

// Guards against a share that decides only on paper: the queue of the short task has had
// nothing, so it comes first whatever its priority.
#[test]
fn share_uses_reserve() {
    let mut fixture = EntryFixture::new(Some(Precedence::Priority));
    fixture.learn_fast();
    let long = job(LONG_CALL, QUEUE, LONG_MS, 4_000);
    let short = job(3, THIRD_QUEUE, SHORT_MS, 1_000);
    fixture.submit(&long);
    fixture.submit(&short);
    fixture.grant(&long);
    fixture.grant(&short);
    assert_eq!(fixture.start_of(&short), Some(FAST));
    let decided = |line: &String| line.contains("queue=third priority=2 decided_by=share");
    assert!(fixture.lines.iter().any(decided), "{:?}", fixture.lines.last());
}

// Guards against a reserve that holds up the work which comes first.
#[test]
fn urgent_uses_reserve() {
    let (fixture, start) = short_start(Some(Precedence::Priority), [LOW_QUEUE, QUEUE]);
    assert_eq!(start, Some(FAST));
    let line = fixture.lines.iter().find(|line| line.contains("decided_by="));
    let line = line.expect("a placement under contention is logged with its cause");
    let expected = format!("queue={QUEUE} priority=0 decided_by=priority");
    assert!(line.contains(&expected), "{line}");
}

// Guards against log lines and counts of queues that nothing is short of.
#[test]
fn calm_counts_nothing() {
    let mut fixture = EntryFixture::new(Some(Precedence::Priority));
    fixture.learn_fast();
    assert!(fixture.lines.iter().any(|line| line.contains("tasks_placed")));
    assert!(!fixture.lines.iter().any(|line| line.contains("decided_by=")));
    assert_eq!(fixture.scheduler.take_queue_counts(), []);
    let (mut contended, _) = short_start(Some(Precedence::Priority), [LOW_QUEUE, QUEUE]);
    let counts = contended.scheduler.take_queue_counts();
    let short = counts.iter().find(|counts| counts.queue == QUEUE).expect("a line for the queue");
    assert_eq!((short.priority, short.placed), (0, 2), "the sample and the short task");
    contended.scheduler.on_abandoned(contended.now, LONG_CALL);
    contended.settle();
    let last = contended.scheduler.take_queue_counts();
    assert!(!last.is_empty() && last.iter().all(|counts| counts.waiting == 0), "{last:?}");
    assert_eq!(contended.scheduler.take_queue_counts(), [], "the contention is over");
}
