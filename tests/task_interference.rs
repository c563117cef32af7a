//! Interference between kinds of tasks: what agents learn from runs beside each other, what
//! schedulers make of it, and the messages between both. Errors of estimates have a logarithm
//! with a standard deviation of 0.4 that the tasks of a job share; these differ by 0.15.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::agent::{KindSamples, PresenceMark, RunLimits, RunTime};
use decisions::schedule::{
    KindInterference, PairChange, PairOrigin, ScheduleLimits, ScheduleStep, Scheduler,
    SchedulerKind,
};
use model::{
    AgentMessage, AgentOrder, AgentOrders, AgentReport, ClaimUpdate, EndKind, JobCall, JobId,
    JobStep, LinkId, ListedEnd, NodeId, NumberedMessage, PairReport, QueueCatalog, QueueId,
    QueueRule, QueuedJob, ResourceAmount, RunUpdate, SchedulerKey, ServerAnswer, ServerReport,
    ServerView, TaskName, TaskRun,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::agent_fixture::{AgentFixture, entry, is_start};
use crate::schedule_model::{QUEUE, SERVICE, catalog, run_limits, schedule_limits};

const STEP: Duration = Duration::from_millis(5);
const SECOND: Duration = Duration::from_secs(1);
/// Kinds of jobs: estimated run time, in milliseconds, and jobs per second at one server.
const KINDS: [(&str, u64, f64); 3] =
    [("kind-a", 60, 4.0), ("kind-b", 200, 3.0), ("kind-c", 400, 1.5)];
/// Number of servers that are compared.
const SERVERS: usize = 8;
/// Spread of the error that the tasks of a job share, and that among its tasks.
const JOB_SPREAD: f64 = 0.4;
const TASK_SPREAD: f64 = 0.15;
/// Part of the jobs that take [`TAIL_FACTOR`] times as long.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
/// Seeds of each model.
const SEEDS: u64 = 4;

fn queue(kind: usize) -> QueueId {
    KINDS[kind].0.into()
}

/// A random factor whose logarithm has a mean of 0 and about a normal distribution.
fn random_factor(random: &mut StdRng, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (normal * spread).exp()
}

/// Run time of a job over its estimate on an idle server of speed 1.
fn job_factor(random: &mut StdRng) -> f64 {
    let tail = if random.random_bool(TAIL_SHARE) { TAIL_FACTOR } else { 1.0 };
    random_factor(random, JOB_SPREAD) * tail
}

/// A run at a modelled server.
struct ModelRun {
    run: TaskRun,
    kind: usize,
    /// Time that it still needs if nothing slows it down.
    left: f64,
    estimate: Duration,
    started_at: Instant,
    mark: Option<PresenceMark>,
}

/// A backend server, and what its agent learns. Every run advances more slowly while a run of
/// another kind, or another run of its own, interferes with it.
struct ServerModel {
    samples: KindSamples,
    runs: Vec<ModelRun>,
}

impl ServerModel {
    fn new(now: Instant) -> ServerModel {
        ServerModel { samples: KindSamples::new(now), runs: Vec::new() }
    }

    fn start(&mut self, now: Instant, run: TaskRun, kind: usize, factor: f64) {
        let estimate = Duration::from_millis(KINDS[kind].1);
        let left = estimate.as_secs_f64() * factor;
        self.runs.push(ModelRun { run, kind, left, estimate, started_at: now, mark: None });
    }

    /// Advances the runs and returns those that have ended.
    fn step(
        &mut self,
        now: Instant,
        slowness: f64,
        slowdown: fn(usize, usize, f64) -> f64,
        time: f64,
    ) -> Vec<ModelRun> {
        let kinds: Vec<usize> = self.runs.iter().map(|run| run.kind).collect();
        for (index, run) in self.runs.iter_mut().enumerate() {
            let others = kinds.iter().enumerate().filter(|(other, _)| *other != index);
            let factors = others.map(|(_, other)| slowdown(run.kind, *other, time));
            run.left -= STEP.as_secs_f64() / (slowness * factors.fold(1.0, f64::max));
        }
        let ended: Vec<ModelRun> = self.runs.extract_if(.., |run| run.left <= 0.0).collect();
        for run in &ended {
            let run_time = RunTime { ran: now - run.started_at, estimate: run.estimate };
            if let Some(mark) = run.mark {
                self.samples.add_completed(now, &run.run.task.job, mark, run_time);
            }
        }
        self.update(now);
        ended
    }

    fn update(&mut self, now: Instant) {
        let queues: Vec<QueueId> = (0..KINDS.len()).map(queue).collect();
        let active = self.runs.iter().map(|run| (&run.run.task.job, &queues[run.kind]));
        self.samples.update(now, active);
        for run in &mut self.runs {
            match &mut run.mark {
                Some(mark) => self.samples.observe(now, mark),
                None => run.mark = self.samples.mark(now, &queues[run.kind], run.estimate),
            }
        }
    }
}

/// What differs between models, by time in seconds.
#[derive(Clone, Copy)]
struct Load {
    /// Factor on the run time of the first kind beside the second.
    slowdown: fn(usize, usize, f64) -> f64,
    /// Factor on the jobs per second of a kind.
    rate: fn(usize, f64) -> f64,
    /// Slowness of a server.
    slowness: fn(usize, f64) -> f64,
    /// Constant factor of a kind's run times over its estimates.
    bias: fn(usize, f64) -> f64,
}

/// Nothing interferes and nothing changes.
const CALM: Load =
    Load { slowdown: |_, _, _| 1.0, rate: |_, _| 1.0, slowness: |_, _| 1.0, bias: |_, _| 1.0 };

/// Whether two kinds are the first two.
fn are_first_two(one: usize, other: usize) -> bool {
    one + other == 1
}

/// Servers with random jobs, and a scheduler that pools what their agents report.
struct LearningModel {
    load: Load,
    start: Instant,
    now: Instant,
    random: StdRng,
    servers: Vec<ServerModel>,
    pooled: KindInterference,
    jobs: usize,
    changes: Vec<(f64, PairChange)>,
}

impl LearningModel {
    fn new(seed: u64, load: Load) -> LearningModel {
        let now = Instant::now();
        LearningModel {
            load,
            start: now,
            now,
            random: StdRng::seed_from_u64(seed),
            servers: (0..SERVERS).map(|_| ServerModel::new(now)).collect(),
            pooled: KindInterference::new(now),
            jobs: 0,
            changes: Vec::new(),
        }
    }

    fn time(&self) -> f64 {
        (self.now - self.start).as_secs_f64()
    }

    fn start_jobs(&mut self, server: usize) {
        let time = self.time();
        for (kind, (_, _, rate)) in KINDS.iter().enumerate() {
            let probability = rate * (self.load.rate)(kind, time) * STEP.as_secs_f64();
            if !self.random.random_bool(probability.min(1.0)) {
                continue;
            }
            self.jobs += 1;
            let factor = job_factor(&mut self.random) * (self.load.bias)(kind, time);
            for index in 0..self.random.random_range(1..=3) {
                let task = TaskName { job: job_id(self.jobs), occurrence: 0, step: 0, index };
                let factor = factor * random_factor(&mut self.random, TASK_SPREAD);
                self.servers[server].start(self.now, TaskRun { task, run: 1 }, kind, factor);
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        let until = self.now + SECOND * seconds as u32;
        while self.now < until {
            self.now += STEP;
            let time = self.time();
            for index in 0..SERVERS {
                let slowness = (self.load.slowness)(index, time);
                self.servers[index].step(self.now, slowness, self.load.slowdown, time);
                self.start_jobs(index);
                self.servers[index].update(self.now);
            }
            if time.fract() < STEP.as_secs_f64() {
                self.pool();
            }
        }
    }

    fn pool(&mut self) {
        for (index, server) in self.servers.iter().enumerate() {
            let reports = server.samples.reports(self.now);
            let agent: NodeId = format!("agent-{index}").into();
            self.pooled.on_report(self.now, &agent, origin(1), &reports);
        }
        let time = self.time();
        let changes = self.pooled.check(self.now).into_iter();
        self.changes.extend(changes.map(|change| (time, change)));
    }

    fn learned(&self) -> Vec<(QueueId, QueueId)> {
        let pairs = self.pooled.learned().map(|pair| (pair.first.clone(), pair.second.clone()));
        let mut pairs: Vec<(QueueId, QueueId)> = pairs.collect();
        pairs.sort();
        pairs
    }
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").into()
}

fn origin(incarnation: u64) -> PairOrigin {
    PairOrigin { incarnation, life: "i-1/7".into() }
}

/// Guards against interference that goes unnoticed, and against a third kind that is blamed:
/// the first two kinds slow each other down by a factor of 2. After 2,000 jobs, 250 at each
/// server, that is known of the shorter kind, whose company lasts; of the longer one it may
/// be. A pair keeps both kinds apart, whichever of them it names first.
#[test]
fn pairs_are_learned() {
    let slowdown = |one, other, _| if are_first_two(one, other) { 2.0 } else { 1.0 };
    for seed in 0..SEEDS {
        let mut model = LearningModel::new(seed, Load { slowdown, ..CALM });
        while model.jobs < 2_000 {
            model.run(1);
        }
        let (shorter, longer) = ((queue(0), queue(1)), (queue(1), queue(0)));
        let learned = model.learned();
        assert!(learned.contains(&shorter), "seed {seed}: {:?}", model.changes);
        let is_right = |pair: &(QueueId, QueueId)| *pair == shorter || *pair == longer;
        assert!(learned.iter().all(is_right), "seed {seed}: {:?}", model.changes);
        for pair in model.pooled.learned() {
            // Shorter company lasts for a part of a longer run only.
            let least = if pair.first == queue(0) { 1.3 } else { 1.2 };
            assert!((least..2.5).contains(&pair.factor), "seed {seed}: {pair:?}");
        }
    }
}

/// Guards against a kind that is kept from itself only when other kinds are there: its own
/// runs count as company too.
#[test]
fn own_kind_learned() {
    let slowdown = |one, other, _| if (one, other) == (1, 1) { 2.0 } else { 1.0 };
    for seed in 0..SEEDS {
        let mut model = LearningModel::new(seed, Load { slowdown, ..CALM });
        model.run(60);
        assert_eq!(model.learned(), [(queue(1), queue(1))], "seed {seed}: {:?}", model.changes);
    }
}

/// Runs a model in which nothing interferes.
fn assert_nothing_learned(load: Load) {
    for seed in 0..SEEDS {
        let mut model = LearningModel::new(seed, load);
        model.run(120);
        assert_eq!(model.changes, [], "seed {seed}");
    }
}

/// Guards against chance that is taken for interference: errors of estimates and jobs that take
/// seven times as long, which meet more kinds than short ones do.
#[test]
fn errors_not_blamed() {
    assert_nothing_learned(CALM);
}

/// Guards against busy kinds that are taken for interference: at more than three times the load
/// they are nearly always present, and more so beside long jobs.
#[test]
fn busy_kinds_not_blamed() {
    assert_nothing_learned(Load { rate: |_, _| 3.5, ..CALM });
}

/// Guards against slow servers that are taken for interference, also where one turns slow for
/// a while, and where a kind's estimates are too low throughout.
#[test]
fn slow_servers_not_blamed() {
    let slowness = |server: usize, time: f64| match server {
        0 | 1 => 1.7,
        2 if (40.0..70.0).contains(&time) => 4.0,
        _ => 0.8,
    };
    let bias = |kind: usize, _| if kind == 0 { 1.5 } else { 1.0 };
    assert_nothing_learned(Load { slowness, bias, ..CALM });
}

/// Guards against load that is taken for interference: all kinds come and go together, in
/// waves of relative amplitude 0.55 and a period of 17 s.
#[test]
fn load_not_blamed() {
    let rate = |_, time: f64| 1.0 + 0.55 * (time * std::f64::consts::TAU / 17.0).sin();
    assert_nothing_learned(Load { rate, ..CALM });
}

/// Guards against changed sizes that are taken for interference: run times over estimates of a
/// kind change by half, while another kind comes twice as often.
#[test]
fn sizes_not_blamed() {
    let bias = |kind: usize, time: f64| if kind == 0 && time > 40.0 { 1.5 } else { 1.0 };
    let rate = |kind: usize, time: f64| if kind == 1 && time > 40.0 { 2.0 } else { 1.0 };
    assert_nothing_learned(Load { bias, rate, ..CALM });
}

/// Guards against kinds that are kept apart for good: they interfere for a minute only, and
/// are forgotten two minutes later.
#[test]
fn learned_is_forgotten() {
    let slowdown = |one, other, time: f64| {
        if are_first_two(one, other) && time < 60.0 { 2.0 } else { 1.0 }
    };
    for seed in 0..SEEDS {
        let mut model = LearningModel::new(seed, Load { slowdown, ..CALM });
        model.run(60);
        let is_learned = model.learned().contains(&(queue(0), queue(1)));
        assert!(is_learned, "seed {seed}: {:?}", model.changes);
        model.run(120);
        assert_eq!(model.learned(), [], "seed {seed}: {:?}", model.changes);
    }
}

/// A pair of which an agent has seen enough: the first kind takes twice as long.
fn pair(first: usize, second: usize) -> PairReport {
    PairReport {
        first: queue(first),
        second: queue(second),
        beside: 100,
        alone: 100,
        weight_milli: 50_000,
        excess_milli: 693,
        variance_milli: 180,
    }
}

/// Guards against a pair that no agent can refute: kinds that are kept apart give no samples,
/// and are forgotten after a minute without a report.
#[test]
fn silence_forgets() {
    let start = Instant::now();
    let mut pooled = KindInterference::new(start);
    pooled.on_report(start, &"agent-1".into(), origin(1), &[pair(0, 1)]);
    assert!(matches!(pooled.check(start + SECOND)[..], [PairChange::Learned(_)]));
    assert_eq!(pooled.check(start + 50 * SECOND), []);
    assert!(matches!(pooled.check(start + 61 * SECOND)[..], [PairChange::Forgotten(_)]));
    assert_eq!(pooled.watched_kinds(), Vec::<QueueId>::new());
}

/// Guards against a restart that makes an entry forget at once, or count its samples twice.
#[test]
fn restart_keeps_sums() {
    let start = Instant::now();
    let mut pooled = KindInterference::new(start);
    let agent: NodeId = "agent-1".into();
    pooled.on_report(start, &agent, origin(1), &[pair(0, 1)]);
    pooled.on_report(start, &agent, origin(1), &[pair(0, 1)]);
    pooled.check(start + SECOND);
    let samples = |pooled: &KindInterference| pooled.learned().next().map(|pair| pair.samples);
    assert_eq!(samples(&pooled), Some(195), "200 that have decayed for 1 s");
    let few =
        PairReport { beside: 2, alone: 2, weight_milli: 1_000, excess_milli: 0, ..pair(0, 1) };
    pooled.on_report(start + 2 * SECOND, &agent, origin(2), &[few]);
    pooled.check(start + 2 * SECOND);
    assert_eq!(samples(&pooled), Some(195), "200 that have decayed for 2 s, and 4 more");
}

/// Guards against decisions on few samples, or on samples of one sort.
#[test]
fn few_samples_unused() {
    let start = Instant::now();
    for few in [
        PairReport { beside: 31, ..pair(0, 1) },
        PairReport { alone: 31, ..pair(0, 1) },
        PairReport { alone: 0, ..pair(0, 1) },
        PairReport { excess_milli: 180, variance_milli: 0, ..pair(0, 1) },
        PairReport { variance_milli: 1_500, ..pair(0, 1) },
    ] {
        let mut pooled = KindInterference::new(start);
        pooled.on_report(start, &"agent-1".into(), origin(1), &[few]);
        assert_eq!(pooled.check(start + SECOND), []);
    }
}

/// Guards against a kind that is blamed for its company: one that is often there together with
/// an interfering one seems to interfere less than half as much.
#[test]
fn company_not_blamed() {
    let start = Instant::now();
    let mut pooled = KindInterference::new(start);
    let company = PairReport { excess_milli: 330, variance_milli: 50, ..pair(0, 2) };
    pooled.on_report(start, &"agent-1".into(), origin(1), &[company.clone(), pair(0, 1)]);
    assert_eq!(pooled.check(start + SECOND).len(), 1);
    assert_eq!(pooled.watched_kinds(), [queue(0), queue(1)]);
    let mut pooled = KindInterference::new(start);
    pooled.on_report(start, &"agent-1".into(), origin(1), &[company]);
    assert_eq!(pooled.check(start + SECOND).len(), 1, "alone it is what it seems");
}

/// A catalog with a queue for each kind, all of one service.
fn kinds_catalog() -> QueueCatalog {
    let usual = QueueCatalog::clone(&catalog(1));
    let rule = &usual.queues[QUEUE];
    let rules = (0..KINDS.len()).map(|kind| {
        let path_prefix = format!("/{}/", KINDS[kind].0).into();
        (queue(kind), QueueRule { path_prefix, ..rule.clone() })
    });
    QueueCatalog { queues: rules.collect(), ..usual.clone() }
}

fn size(cpu_milli: u64) -> ResourceAmount {
    ResourceAmount { cpu_milli, memory_mb: 1, accelerators: 0 }
}

fn kind_job(number: usize, kind: usize, tasks: u32) -> QueuedJob {
    let estimate_ms = KINDS[kind].1;
    let step = JobStep { count: tasks, size: size(1_000), estimate_ms, ..JobStep::default() };
    QueuedJob {
        id: job_id(number),
        queue: queue(kind),
        spec: "work".to_owned(),
        steps: vec![step],
        best_effort: true,
    }
}

fn agent_report(link: LinkId) -> AgentReport {
    let server = ServerView {
        life: "i-1/7".into(),
        service: SERVICE.into(),
        domain: "north".into(),
        capacity: ResourceAmount { cpu_milli: 8_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    };
    AgentReport {
        agent: format!("agent-{link}").into(),
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

/// An entry's scheduler with connected agents, numbered by link.
struct EntryFixture {
    now: Instant,
    scheduler: Scheduler,
    messages: u64,
    /// Usage by other entries that each agent has reported last.
    other_usage: HashMap<LinkId, ResourceAmount>,
    /// Lists of watched kinds that were sent.
    watched: Vec<(LinkId, Vec<QueueId>)>,
}

impl EntryFixture {
    fn new(interference: bool, agents: LinkId) -> EntryFixture {
        let now = Instant::now();
        let usual = schedule_limits(SchedulerKind::Entry);
        let limits = ScheduleLimits { interference, ..usual };
        let mut scheduler = Scheduler::new(now, SchedulerKind::Entry, limits);
        scheduler.on_catalog(&Arc::new(kinds_catalog()));
        let (other_usage, watched) = (HashMap::new(), Vec::new());
        let mut entry = EntryFixture { now, scheduler, messages: 0, other_usage, watched };
        for link in 0..agents {
            entry.send(agent_report(link), link);
        }
        entry.now += Duration::from_millis(300);
        entry
    }

    fn send(&mut self, report: AgentReport, link: LinkId) {
        self.messages += 1;
        let message = AgentMessage::Report(Box::new(report));
        let message = NumberedMessage { number: self.messages, message };
        self.scheduler.on_agent_message(self.now, link, &message);
    }

    /// Sends a report of an open session.
    fn send_change(&mut self, link: LinkId, change: AgentReport) {
        let (server, runs) = (ServerReport::Unchanged, None);
        let other_usage = self.other_usage.get(&link).copied().unwrap_or_default();
        self.send(AgentReport { server, runs, other_usage, ..change }, link);
    }

    fn settle(&mut self) -> Vec<(LinkId, AgentOrders)> {
        let steps = self.scheduler.settle(self.now).into_iter();
        let orders = steps.filter_map(|step| match step {
            ScheduleStep::Orders { link, orders } => Some((link, *orders)),
            _ => None,
        });
        let orders: Vec<(LinkId, AgentOrders)> = orders.collect();
        let watched = orders
            .iter()
            .filter_map(|(link, orders)| orders.watched_kinds.clone().map(|kinds| (*link, kinds)));
        self.watched.extend(watched);
        orders
    }

    /// Settles and grants all claims; returns the starts.
    fn settle_granted(&mut self) -> Vec<(LinkId, Vec<TaskRun>, Option<QueueId>)> {
        let mut starts = Vec::new();
        loop {
            let mut is_claimed = false;
            for (link, orders) in self.settle() {
                let claimed = orders.claims.map(|claims| claims.claimed).unwrap_or_default();
                if !claimed.is_empty() {
                    is_claimed = true;
                    let claims = claimed.into_iter().map(|job| ClaimUpdate::Granted { job });
                    let claims = claims.collect();
                    self.send_change(link, AgentReport { claims, ..agent_report(link) });
                }
                for order in orders.orders {
                    if let AgentOrder::Start { runs, queue, .. } = order {
                        starts.push((link, runs, queue));
                    }
                }
            }
            if !is_claimed {
                return starts;
            }
        }
    }

    fn submit(&mut self, job: QueuedJob) {
        let call = u64::from_str_radix(&job.id, 16).expect("a hexadecimal id");
        let submit = JobCall::Submit { job: Arc::new(job), wait_ms: 10_000 };
        self.scheduler.on_job_call(self.now, call, &submit);
    }

    /// Submits a job and returns the agents of its tasks.
    fn place(&mut self, job: QueuedJob) -> Vec<LinkId> {
        self.submit(job);
        let starts = self.settle_granted();
        starts.into_iter().flat_map(|(link, runs, _)| runs.into_iter().map(move |_| link)).collect()
    }

    fn use_others(&mut self, link: LinkId, cpu_milli: u64) {
        self.other_usage.insert(link, size(cpu_milli));
        self.send_change(link, agent_report(link));
    }

    /// Reports pairs, and lets the scheduler decide.
    fn learn(&mut self, pairs: Vec<PairReport>) {
        self.send_change(0, AgentReport { pairs, ..agent_report(0) });
        self.now += SECOND;
        self.settle();
    }
}

/// Guards against interfering kinds on one server while others have room, and against room
/// that isn't used because an interfering kind is there.
#[test]
fn apart_while_possible() {
    for interference in [false, true] {
        let mut entry = EntryFixture::new(interference, 3);
        entry.learn(vec![pair(0, 1)]);
        entry.use_others(0, 2_000);
        entry.use_others(2, 2_000);
        assert_eq!(entry.place(kind_job(1, 0, 1)), [1], "the least used server");
        entry.use_others(0, 4_000);
        entry.use_others(2, 5_000);
        // A kind that interferes with neither takes the least used one.
        assert_eq!(entry.place(kind_job(2, 2, 1)), [1]);
        let expected = if interference { 0 } else { 1 };
        assert_eq!(entry.place(kind_job(3, 1, 1)), [expected], "setting {interference}");
        entry.use_others(0, 8_000);
        entry.use_others(2, 8_000);
        assert_eq!(entry.place(kind_job(4, 1, 1)), [1], "no other has room");
        let counts = entry.scheduler.take_counts();
        assert_eq!(counts.interfering, u64::from(interference));
    }
}

/// Guards against tasks of a step that share a server although they slow each other down.
#[test]
fn own_rivals_spread() {
    for (pairs, servers) in [(vec![], 1), (vec![pair(0, 0)], 3)] {
        let mut entry = EntryFixture::new(true, 3);
        entry.learn(pairs);
        let mut links = entry.place(kind_job(1, 0, 3));
        links.sort_unstable();
        links.dedup();
        assert_eq!(links.len(), servers);
    }
}

/// Guards against interference with what other entries run: agents are asked for the kinds
/// once a pair is learned, and their reports count.
#[test]
fn others_kinds_known() {
    let mut entry = EntryFixture::new(true, 2);
    entry.settle();
    assert_eq!(entry.watched, [], "nothing is learned yet");
    entry.learn(vec![pair(0, 1)]);
    entry.now += SECOND;
    entry.settle();
    let kinds = vec![queue(0), queue(1)];
    entry.watched.sort();
    assert_eq!(entry.watched, [(0, kinds.clone()), (1, kinds)]);
    let other_kinds = Some(vec![queue(1)]);
    entry.send_change(0, AgentReport { other_kinds, ..agent_report(0) });
    entry.use_others(1, 2_000);
    assert_eq!(entry.place(kind_job(1, 0, 1)), [1]);
    entry.send_change(0, AgentReport { other_kinds: Some(Vec::new()), ..agent_report(0) });
    assert_eq!(entry.place(kind_job(2, 0, 1)), [0], "they have ended there");
}

/// Guards against a session that begins without the watched kinds: the agent has forgotten
/// them with the earlier one.
#[test]
fn new_session_watches() {
    let mut entry = EntryFixture::new(true, 2);
    entry.learn(vec![pair(0, 1)]);
    entry.now += SECOND;
    entry.settle();
    entry.watched.clear();
    entry.send(AgentReport { session: 2, ..agent_report(1) }, 7);
    entry.settle();
    assert_eq!(entry.watched, [(7, vec![queue(0), queue(1)])]);
}

/// Without the setting, orders are those of the previous version and reports change nothing.
#[test]
fn orders_name_queue() {
    for interference in [false, true] {
        let mut entry = EntryFixture::new(interference, 1);
        entry.submit(kind_job(1, 0, 1));
        let starts = entry.settle_granted();
        let expected = interference.then(|| queue(0));
        assert_eq!(starts.into_iter().map(|(_, _, queue)| queue).collect::<Vec<_>>(), [expected]);
        entry.learn(vec![pair(0, 1)]);
        assert_eq!(entry.scheduler.learned_pairs().len(), usize::from(interference));
    }
}

/// A scheduler with servers that run what it places.
struct PlacementModel {
    entry: EntryFixture,
    servers: Vec<ServerModel>,
    random: StdRng,
    jobs: usize,
    kind_of: HashMap<JobId, usize>,
    /// Starts of tasks of the first two kinds, and those of them on a server with the other.
    starts: usize,
    together: usize,
}

impl PlacementModel {
    fn new(seed: u64, interference: bool) -> PlacementModel {
        let entry = EntryFixture::new(interference, SERVERS as LinkId);
        PlacementModel {
            servers: (0..SERVERS).map(|_| ServerModel::new(entry.now)).collect(),
            entry,
            random: StdRng::seed_from_u64(seed),
            jobs: 0,
            kind_of: HashMap::new(),
            starts: 0,
            together: 0,
        }
    }

    /// Lets this number of jobs arrive, at this multiple of the usual rates.
    fn run_jobs(&mut self, jobs: usize, rate: f64) {
        let until = self.jobs + jobs;
        let mut steps = 0;
        while self.jobs < until {
            self.entry.now += STEP;
            steps += 1;
            for (kind, (_, _, usual_rate)) in KINDS.iter().enumerate() {
                let probability = usual_rate * SERVERS as f64 * rate * STEP.as_secs_f64();
                if self.random.random_bool(probability.min(1.0)) {
                    self.jobs += 1;
                    self.kind_of.insert(job_id(self.jobs), kind);
                    let tasks = self.random.random_range(1..=3);
                    self.entry.submit(kind_job(self.jobs, kind, tasks));
                }
            }
            for link in 0..SERVERS {
                self.step_server(link, steps % 200 == 0);
            }
            self.entry.scheduler.on_idle(self.entry.now);
            for (link, runs, _) in self.entry.settle_granted() {
                self.start(link as usize, runs);
            }
        }
    }

    fn step_server(&mut self, link: usize, reports_pairs: bool) {
        let now = self.entry.now;
        let slowdown = |one, other, _| if are_first_two(one, other) { 2.0 } else { 1.0 };
        let ended = self.servers[link].step(now, 1.0, slowdown, 0.0);
        let pairs =
            if reports_pairs { self.servers[link].samples.reports(now) } else { Vec::new() };
        let updates = ended.into_iter().map(|ended| {
            let ran_ms = Some((now - ended.started_at).as_millis() as u64);
            RunUpdate::Ended { number: 0, run: ended.run, kind: EndKind::Done, ran_ms }
        });
        let updates: Vec<RunUpdate> = updates.collect();
        if !updates.is_empty() || reports_pairs {
            let link = link as LinkId;
            let usual = agent_report(link);
            self.entry.send_change(link, AgentReport { updates, pairs, ..usual });
        }
    }

    fn start(&mut self, link: usize, runs: Vec<TaskRun>) {
        for run in runs {
            let kind = self.kind_of[&run.task.job];
            if kind < 2 {
                self.starts += 1;
                let mut others = self.servers[link].runs.iter();
                self.together += usize::from(others.any(|other| other.kind == 1 - kind));
            }
            let factor = random_factor(&mut self.random, JOB_SPREAD);
            self.servers[link].start(self.entry.now, run, kind, factor);
        }
        let now = self.entry.now;
        self.servers[link].update(now);
    }

    /// Share of the starts of the first two kinds beside each other while some jobs run.
    fn share_together(&mut self, jobs: usize, rate: f64) -> f64 {
        (self.starts, self.together) = (0, 0);
        self.run_jobs(jobs, rate);
        self.together as f64 / self.starts as f64
    }
}

/// Guards against a decision that is learned and has no effect, or that wastes capacity: after
/// 3,000 jobs the two kinds are mostly placed apart while there is room, and at six times the
/// load, when there is none, together as without the setting.
#[test]
fn model_keeps_apart() {
    let share = |interference: bool, rate: f64| {
        let mut model = PlacementModel::new(1, interference);
        model.run_jobs(3_000, 1.0);
        model.share_together(1_000, rate)
    };
    let (without, with) = (share(false, 1.0), share(true, 1.0));
    assert!(with < 0.5 * without, "{with} with the setting, {without} without");
    let (without, with) = (share(false, 6.0), share(true, 6.0));
    assert!(with > 0.5 * without, "{with} with the setting, {without} without");
}

fn learning_agent() -> AgentFixture {
    AgentFixture::with_limits(RunLimits { interference: true, ..run_limits() })
}

fn start_order(number: usize, kind: usize, has_queue: bool) -> AgentOrder {
    let task = TaskName { job: job_id(number), occurrence: 0, step: 0, index: 0 };
    AgentOrder::Start {
        life: "i-1/7".into(),
        runs: vec![TaskRun { task, run: 1 }],
        spec: "work".to_owned(),
        size: size(500),
        estimate_ms: Some(100),
        queue: has_queue.then(|| queue(kind)),
    }
}

/// Runs a job of the first kind, every second time beside one of the second, and then twice
/// as long.
fn run_pair(agent: &mut AgentFixture, number: u64, has_queue: bool) {
    let is_beside = number.is_multiple_of(2);
    let job = number as usize;
    let mut orders = vec![start_order(2 * job, 0, has_queue)];
    if is_beside {
        orders.push(start_order(2 * job + 1, 1, has_queue));
    }
    agent.order(orders);
    while let Some(call) = agent.take_call(is_start) {
        agent.answer(&call, ServerAnswer::Done);
    }
    agent.advance(Duration::from_millis(if is_beside { 200 } else { 100 }));
    for (position, job) in [2 * job, 2 * job + 1].into_iter().enumerate() {
        if position == 0 || is_beside {
            let task = TaskName { job: job_id(job), occurrence: 0, step: 0, index: 0 };
            let run = TaskRun { task, run: 1 };
            let number = 2 * number + position as u64;
            agent.list_end(ListedEnd { number, run, kind: EndKind::Done });
        }
    }
}

/// The sums go with other reports, at most once a second; a new session gets them anew.
#[test]
fn agent_reports_pairs() {
    let mut agent = learning_agent();
    let start = agent.now;
    for number in 1..=80 {
        run_pair(&mut agent, number, true);
    }
    let seconds = (agent.now - start).as_secs() as usize;
    let reports: Vec<&PairReport> = agent.pairs.iter().flatten().collect();
    assert!(!reports.is_empty() && agent.pairs.len() <= seconds, "{reports:?}");
    let last = reports.last().expect("a report");
    assert_eq!((&last.first, &last.second), (&queue(0), &queue(1)));
    assert!((680..=700).contains(&last.excess_milli), "{last:?}");
    let reported = agent.pairs.len();
    agent.advance(3 * SECOND);
    assert_eq!(agent.pairs.len(), reported, "nothing has changed");
    let steps = agent.table.on_closed(agent.now, &entry(), 1);
    agent.apply_steps(steps);
    let steps = agent.table.on_opened(agent.now, entry(), 2);
    agent.apply_steps(steps);
    assert_eq!(agent.pairs.len(), reported + 1);
}

/// Without the setting, and for schedulers of an earlier version, nothing is learned.
#[test]
fn nothing_without_queues() {
    let mut without_setting = AgentFixture::new();
    let mut without_queues = learning_agent();
    for number in 1..=80 {
        run_pair(&mut without_setting, number, true);
        run_pair(&mut without_queues, number, false);
    }
    assert_eq!(without_setting.pairs.len(), 0);
    assert_eq!(without_queues.pairs.len(), 0);
}

/// A backend server that was started again begins without samples.
#[test]
fn new_life_resets() {
    let mut agent = learning_agent();
    for number in 1..=80 {
        run_pair(&mut agent, number, true);
    }
    agent.pairs.clear();
    let mut next = crate::agent_fixture::heartbeat(1, false);
    next.generation += 1;
    next.view.life = "i-1/8".into();
    let steps = agent.table.on_heartbeat(agent.now, &next);
    agent.apply_steps(steps);
    agent.advance(SECOND);
    assert_eq!(agent.pairs.len(), 0);
}

/// Guards against reports of kinds that nobody asked for, and against old ones: an entry hears
/// of the watched kinds that others run, once for each change.
#[test]
fn watched_kinds_reported() {
    let mut agent = learning_agent();
    let other = SchedulerKey::Entry("entry-2".into());
    let steps = agent.table.on_opened(agent.now, other.clone(), 9);
    agent.apply_steps(steps);
    let orders = |orders, watched_kinds| AgentOrders {
        term: 0,
        received: 1,
        grant_ms: 1_000,
        usage_interval_ms: 50,
        ack: None,
        orders,
        claims: None,
        entries: None,
        controls: None,
        evacuated: None,
        watched_kinds,
    };
    let starts = vec![start_order(1, 0, true), start_order(2, 2, true)];
    let steps = agent.table.on_orders(agent.now, &other, 9, agent.now, orders(starts, None));
    agent.apply_steps(steps);
    agent.advance(Duration::from_millis(100));
    assert_eq!(agent.other_kinds.len(), 0, "none is watched");
    let watched = Some(vec![queue(0), queue(1)]);
    let sent = orders(Vec::new(), watched);
    let steps = agent.table.on_orders(agent.now, &entry(), 1, agent.now, sent);
    agent.apply_steps(steps);
    // They go with the next report: that of a change.
    let sent = orders(vec![start_order(3, 2, true)], None);
    let steps = agent.table.on_orders(agent.now, &other, 9, agent.now, sent);
    agent.apply_steps(steps);
    agent.advance(Duration::from_millis(100));
    assert_eq!(agent.other_kinds, [vec![queue(0)]]);
    let steps = agent.table.on_closed(agent.now, &entry(), 1);
    agent.apply_steps(steps);
    let steps = agent.table.on_opened(agent.now, entry(), 2);
    agent.apply_steps(steps);
    assert_eq!(agent.other_kinds.len(), 1, "the next session has asked for none");
}

/// Messages of the previous version are understood, and those without kinds are the same bytes
/// as before.
#[test]
fn wire_stays_compatible() {
    let report = agent_report(1);
    let text = serde_json::to_string(&report).expect("serializable");
    assert!(!text.contains("pairs") && !text.contains("kinds"), "{text}");
    assert_eq!(serde_json::from_str::<AgentReport>(&text).expect("a report"), report);
    let pairs = vec![pair(0, 1)];
    let text = serde_json::to_string(&AgentReport { pairs, ..report }).expect("serializable");
    let expected = r#","pairs":[{"first":"kind-a","second":"kind-b","beside":100,"alone":100,"weight":50000,"excess":693,"variance":180}]}"#;
    assert!(text.ends_with(expected), "{text}");

    let start = start_order(1, 0, false);
    let text = serde_json::to_string(&start).expect("serializable");
    assert!(!text.contains("queue"), "{text}");
    assert_eq!(serde_json::from_str::<AgentOrder>(&text).expect("an order"), start);
}
