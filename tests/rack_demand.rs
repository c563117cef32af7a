//! Racks in high demand. Guards against tasks that end late because their data is in a rack
//! whose capacity is taken by tasks that could run anywhere, and against capacity that stays
//! idle because it is spared for nobody.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::schedule::{
    JobDecision, LoadCounts, RackChange, RackDemand, RackServer, ScheduleLimits, ScheduleStep,
    Scheduler, SchedulerKind,
};
use model::{
    AgentMessage, AgentOrder, AgentOrders, AgentReport, ClaimUpdate, EndKind, JobCall, JobPhase,
    JobReply, JobStep, NumberedMessage, Precedence, QueuedJob, ResourceAmount, RunUpdate,
    ServerReport, ServerView, ServiceId, StartRefusal, TaskRun,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule_model::{OTHER_SERVICE, QUEUE, SERVICE, catalog, schedule_limits};

const TICK: Duration = Duration::from_millis(1);
const SERVERS: usize = 35;
const RACKS: usize = 7;
/// The rack in high demand.
const HOT: usize = 2;
const SLOTS: usize = 10;
const SERVER_CPU_MILLI: u64 = 1_000 * SLOTS as u64;
const REMOTE_FACTOR: u64 = 3;
/// Interval of an agent's reports of others' usage.
const USAGE_INTERVAL: usize = 50;
/// Time after which an entry that has just started asks for claims.
const CONNECT_TICKS: usize = 400;
const WAIT_MS: u64 = 1_500;
/// Tasks, run time in milliseconds and share of the work, in percent, of each kind of job.
const KINDS: [(u32, u64, u64); 3] = [(8, 60, 21), (4, 900, 28), (2, 200, 51)];
/// The kind whose jobs may name a rack.
const SHORT: usize = 0;

fn rack_name(rack: usize) -> String {
    format!("r{rack}")
}

fn rack_of(server: usize) -> usize {
    server % RACKS
}

fn cpu(cpu_milli: u64) -> ResourceAmount {
    ResourceAmount { cpu_milli, memory_mb: 0, accelerators: 0 }
}

fn make_job(number: u64, tasks: u32, estimate_ms: u64, rack: Option<usize>) -> Arc<QueuedJob> {
    let data_rack = rack.map(|rack| rack_name(rack).into());
    let step =
        JobStep { count: tasks, size: cpu(1_000), estimate_ms, data_rack, ..JobStep::default() };
    Arc::new(QueuedJob {
        id: format!("{number:016x}").into(),
        queue: QUEUE.into(),
        spec: String::new(),
        steps: vec![step],
        best_effort: true,
    })
}

/// An entry's scheduler, and what it has sent.
struct EntryModel {
    scheduler: Scheduler,
    /// Number of the latest message of each agent.
    sent: Vec<u64>,
    /// Orders on their way, by agent.
    orders: Vec<(usize, AgentOrders)>,
    lines: Vec<String>,
}

/// A backend server and its agent.
#[derive(Default)]
struct HostModel {
    /// Run time over estimate, in percent.
    slowness: u64,
    /// Entry, run, start and end of each active run.
    runs: Vec<(usize, TaskRun, Instant, Instant)>,
    /// Capacity that is taken by schedulers outside of the model.
    foreign: usize,
    draining: bool,
}

/// A submitted job.
struct JobEntry {
    job: Arc<QueuedJob>,
    at: Instant,
    /// Run time over estimate, in percent.
    error: u64,
    ended: Option<(Instant, JobReply)>,
    /// Backend servers of its started runs.
    starts: Vec<usize>,
}

impl JobEntry {
    fn names_hot(&self) -> bool {
        self.job.steps[0].data_rack.as_deref() == Some(rack_name(HOT).as_str())
    }

    fn is_in_time(&self) -> bool {
        let objective = Duration::from_millis(self.job.steps[0].estimate_ms * 8 / 5 + 60);
        let done = JobReply::Phase(JobPhase::Completed);
        self.ended.as_ref().is_some_and(|(at, reply)| *reply == done && *at <= self.at + objective)
    }
}

/// Entries and backend servers in racks, in virtual time.
struct RackModel {
    now: Instant,
    ticks: usize,
    entries: Vec<EntryModel>,
    hosts: Vec<HostModel>,
    jobs: Vec<JobEntry>,
}

impl RackModel {
    fn new(entries: usize, rack_reserve: bool) -> RackModel {
        RackModel::with_precedence(entries, rack_reserve, None)
    }

    fn with_precedence(
        entries: usize,
        rack_reserve: bool,
        precedence: Option<Precedence>,
    ) -> RackModel {
        let now = Instant::now();
        let kind = SchedulerKind::Entry;
        let limits = ScheduleLimits {
            rack_reserve,
            precedence,
            remote_factor: REMOTE_FACTOR as f64,
            estimate_spread: 0.45,
            ..schedule_limits(kind)
        };
        let entry = |number| {
            let incarnation = number as u64 + 1;
            let limits = ScheduleLimits { incarnation, ..limits };
            let mut scheduler = Scheduler::new(now, kind, limits);
            scheduler.on_catalog(&catalog(1));
            EntryModel { scheduler, sent: vec![0; SERVERS], orders: Vec::new(), lines: Vec::new() }
        };
        let host = |_| HostModel { slowness: 100, ..HostModel::default() };
        let mut model = RackModel {
            now,
            ticks: 0,
            entries: (0..entries).map(entry).collect(),
            hosts: (0..SERVERS).map(host).collect(),
            jobs: Vec::new(),
        };
        for entry in 0..entries {
            for server in 0..SERVERS {
                model.announce(entry, server, Some(Vec::new()));
            }
        }
        model.run(CONNECT_TICKS);
        model
    }

    /// Sends the state of a backend server, with the list of runs if a session begins.
    fn announce(&mut self, entry: usize, server: usize, runs: Option<Vec<TaskRun>>) {
        let view = ServerView {
            life: format!("i-{server}/1").into(),
            service: SERVICE.into(),
            domain: "north".into(),
            capacity: cpu(SERVER_CPU_MILLI),
            labels: vec!["a".into(), rack_name(rack_of(server)).into()],
            draining: self.hosts[server].draining,
        };
        self.report(entry, server, |report| {
            report.server = ServerReport::Present(view);
            report.runs = runs;
        });
    }

    fn report(&mut self, entry: usize, server: usize, change: impl FnOnce(&mut AgentReport)) {
        let host = &self.hosts[server];
        let others = host.runs.iter().filter(|(owner, ..)| *owner != entry).count() + host.foreign;
        let mut report = AgentReport {
            agent: format!("agent-{server}").into(),
            incarnation: 1,
            session: 1,
            server: ServerReport::Unchanged,
            runs: None,
            runs_partial: false,
            unowned: Vec::new(),
            updates: Vec::new(),
            claims: Vec::new(),
            other_usage: cpu(1_000 * others as u64),
            speed: None,
            pairs: Vec::new(),
            other_kinds: None,
        };
        change(&mut report);
        let entry = &mut self.entries[entry];
        entry.sent[server] += 1;
        let message = AgentMessage::Report(Box::new(report));
        let message = NumberedMessage { number: entry.sent[server], message };
        entry.scheduler.on_agent_message(self.now, server as u64, &message);
    }

    /// Submits a job; its call has its number.
    fn submit(&mut self, entry: usize, kind: (u32, u64), rack: Option<usize>, error: u64) -> usize {
        let number = self.jobs.len();
        let job = make_job(number as u64, kind.0, kind.1, rack);
        let call = JobCall::Submit { job: Arc::clone(&job), wait_ms: WAIT_MS };
        let scheduler = &mut self.entries[entry].scheduler;
        let decision = scheduler.on_job_call(self.now, number as u64, &call);
        let ended = match decision {
            JobDecision::Reply(reply) => Some((self.now, reply)),
            _ => None,
        };
        self.jobs.push(JobEntry { job, at: self.now, error, ended, starts: Vec::new() });
        number
    }

    /// Submits a job of one task to the first entry, and returns the backend server of its
    /// start, if there is one as soon as its claim is granted.
    fn start_one(&mut self, rack: Option<usize>, estimate_ms: u64) -> Option<usize> {
        let number = self.submit(0, (1, estimate_ms), rack, 100);
        self.run(6);
        self.jobs[number].starts.first().copied()
    }

    /// Lets schedulers outside of the model take this many slots of each backend server in
    /// the rack in high demand, and of each other, and has entries know it.
    fn fill(&mut self, inside: usize, outside: usize) {
        for (server, host) in self.hosts.iter_mut().enumerate() {
            host.foreign = if rack_of(server) == HOT { inside } else { outside };
        }
        self.run(USAGE_INTERVAL);
    }

    fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            self.ticks += 1;
            self.end_runs();
            self.report_usage();
            self.deliver_orders();
            for entry in 0..self.entries.len() {
                self.settle(entry);
            }
        }
    }

    fn end_runs(&mut self) {
        for server in 0..SERVERS {
            let now = self.now;
            let ended: Vec<_> =
                self.hosts[server].runs.extract_if(.., |(.., end)| *end <= now).collect();
            let mut updates: BTreeMap<usize, Vec<RunUpdate>> = BTreeMap::new();
            for (entry, run, start, _) in ended {
                let ran_ms = Some((now - start).as_millis() as u64);
                let end = RunUpdate::Ended { number: 0, run, kind: EndKind::Done, ran_ms };
                updates.entry(entry).or_default().push(end);
            }
            for (entry, updates) in updates {
                self.report(entry, server, |report| report.updates = updates);
            }
        }
    }

    fn report_usage(&mut self) {
        let ticks = self.ticks;
        for server in (0..SERVERS).filter(|server| (ticks + server).is_multiple_of(USAGE_INTERVAL))
        {
            for entry in 0..self.entries.len() {
                self.report(entry, server, |_| {});
            }
        }
    }

    fn deliver_orders(&mut self) {
        for entry in 0..self.entries.len() {
            for (server, orders) in std::mem::take(&mut self.entries[entry].orders) {
                let claimed = orders.claims.into_iter().flat_map(|claims| claims.claimed);
                let claims: Vec<_> = claimed.map(|job| ClaimUpdate::Granted { job }).collect();
                let mut updates = Vec::new();
                for order in orders.orders {
                    if let AgentOrder::Start { runs, .. } = order {
                        let refused =
                            runs.into_iter().filter_map(|run| self.start(entry, server, run));
                        updates.extend(refused);
                    }
                }
                if !claims.is_empty() || !updates.is_empty() {
                    self.report(entry, server, |report| {
                        report.claims = claims;
                        report.updates = updates;
                    });
                }
            }
        }
    }

    /// Starts a run, or returns its refusal.
    fn start(&mut self, entry: usize, server: usize, run: TaskRun) -> Option<RunUpdate> {
        let number = u64::from_str_radix(&run.task.job, 16).expect("the id is a number");
        let job = &mut self.jobs[number as usize];
        let host = &mut self.hosts[server];
        if host.runs.len() + host.foreign >= SLOTS {
            return Some(RunUpdate::Refused { run, refusal: StartRefusal::Room });
        }
        let step = &job.job.steps[0];
        let is_remote =
            step.data_rack.as_ref().is_some_and(|rack| *rack != rack_name(rack_of(server)));
        let factor = if is_remote { REMOTE_FACTOR } else { 1 };
        let run_us = step.estimate_ms * factor * host.slowness * job.error / 10;
        job.starts.push(server);
        host.runs.push((entry, run, self.now, self.now + Duration::from_micros(run_us)));
        None
    }

    fn settle(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if entry.scheduler.next_deadline().is_some_and(|deadline| deadline <= self.now) {
            entry.scheduler.on_idle(self.now);
        }
        for step in entry.scheduler.settle(self.now) {
            match step {
                ScheduleStep::Orders { link, orders } => {
                    entry.orders.push((link as usize, *orders));
                }
                ScheduleStep::JobEnd { call, reply } => {
                    self.jobs[call as usize].ended = Some((self.now, reply));
                }
                ScheduleStep::Log(line) => {
                    let level = model::LineLevel::Info;
                    entry.lines.push(line.finish(std::time::UNIX_EPOCH, level).text);
                }
                _ => {}
            }
        }
    }

    /// Submits jobs of all kinds for `seconds`, which take this percentage of the capacity.
    /// Of the short ones `named` percent name the rack in high demand.
    fn load(&mut self, seed: u64, seconds: usize, utilization: u64, named: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let cores = (SERVERS * SLOTS) as f64 * utilization as f64 / 100.0;
        for _ in 0..seconds * 1_000 {
            for (kind, (tasks, run_ms, share)) in KINDS.into_iter().enumerate() {
                let job_cores = f64::from(tasks) * run_ms as f64;
                let jobs_per_tick = cores * share as f64 / 100.0 / job_cores;
                if random.random_bool(jobs_per_tick) {
                    let entry = random.random_range(0..self.entries.len());
                    let is_named = kind == SHORT && random.random_range(0..100) < named;
                    // Mean 100.
                    let error = random.random_range(70..=130);
                    self.submit(entry, (tasks, run_ms), is_named.then_some(HOT), error);
                }
            }
            self.run(1);
        }
    }

    /// Submits short jobs that name the rack until it is in high demand, and lets them end.
    fn raise_demand(&mut self) {
        for _ in 0..8 {
            for number in 0..6 {
                self.submit(number % self.entries.len(), (8, 60), Some(HOT), 100);
            }
            self.run(100);
        }
        self.run(60);
        assert_eq!(self.high_racks(), Some(1));
        let running: usize = self.hosts.iter().map(|host| host.runs.len()).sum();
        assert_eq!(running, 0);
    }

    fn high_racks(&self) -> Option<usize> {
        self.entries[0].scheduler.high_racks()
    }

    /// Share of the started runs of jobs that name the rack which are there.
    fn share_in_rack(&self) -> f64 {
        let named = self.jobs.iter().filter(|job| job.names_hot());
        let starts: Vec<usize> = named.flat_map(|job| job.starts.iter().copied()).collect();
        let inside = starts.iter().filter(|server| rack_of(**server) == HOT).count();
        inside as f64 / starts.len() as f64
    }

    /// Share of these jobs that ended within their objective.
    fn in_time(&self, counts: impl Fn(&JobEntry) -> bool) -> f64 {
        let jobs: Vec<&JobEntry> = self.jobs.iter().filter(|job| counts(job)).collect();
        jobs.iter().filter(|job| job.is_in_time()).count() as f64 / jobs.len() as f64
    }

    fn take_counts(&mut self) -> Vec<LoadCounts> {
        self.entries.iter_mut().map(|entry| entry.scheduler.take_counts()).collect()
    }
}

/// Share of the named tasks that run in their rack, share of their jobs in time, and that of
/// all other jobs, with a surge at 0.7 of the total capacity.
fn surge(rack_reserve: bool, seed: u64) -> (f64, f64, f64) {
    let mut model = RackModel::new(4, rack_reserve);
    for (server, host) in model.hosts.iter_mut().enumerate() {
        host.slowness = [80, 100, 125][server % 3];
    }
    model.load(seed, 4, 70, 60);
    model.run(1_500);
    let others = model.in_time(|job| !job.names_hot());
    (model.share_in_rack(), model.in_time(JobEntry::names_hot), others)
}

// Guards against tasks that start in other racks, where they end late, because tasks that
// could run anywhere fill theirs.
#[test]
fn named_tasks_inside() {
    for seed in 1..=2 {
        let (inside, in_time, others) = surge(true, seed);
        let figures = format!("seed {seed}: {inside:.3} inside, {in_time:.3}, {others:.3} in time");
        assert!(inside >= 0.95 && in_time >= 0.9 && others >= 0.98, "{figures}");
        let (inside_before, in_time_before, _) = surge(false, seed);
        let before = format!("without: {inside_before:.3} inside, {in_time_before:.3} in time");
        assert!(inside > inside_before + 0.05, "{figures}; {before}");
        assert!(in_time > in_time_before + 0.05, "{figures}; {before}");
    }
}

// Guards against a setting that changes the placement of jobs without data in a rack, or
// costs searches for them.
#[test]
fn unnamed_jobs_unchanged() {
    let play = |rack_reserve| {
        let mut model = RackModel::new(2, rack_reserve);
        for (server, host) in model.hosts.iter_mut().enumerate() {
            host.slowness = [70, 70, 170][server % 3];
        }
        model.load(7, 2, 80, 0);
        let counts = model.take_counts();
        let starts: Vec<Vec<usize>> = model.jobs.into_iter().map(|job| job.starts).collect();
        (starts, counts)
    };
    assert_eq!(play(true), play(false));
}

// Guards against tasks that fill the rack although others have room too, and against a
// preference that holds without high demand.
#[test]
fn other_racks_preferred() {
    let mut model = RackModel::new(1, true);
    model.fill(0, 3);
    let start = model.start_one(None, 60).expect("a start");
    assert_eq!(rack_of(start), HOT, "its servers are the least busy");
    model.raise_demand();
    for rack in [None, Some(HOT + 1)] {
        let start = model.start_one(rack, 60).expect("a start");
        assert_ne!(rack_of(start), HOT, "{rack:?}");
    }
    let start = model.start_one(Some(HOT), 60).expect("a start");
    assert_eq!(rack_of(start), HOT);
    let counts = model.take_counts();
    assert_eq!((counts[0].spared_starts, counts[0].remote_starts), (0, 0));
}

// Guards against spared capacity that stays idle while work waits.
#[test]
fn rack_used_when_needed() {
    let mut model = RackModel::new(1, true);
    model.raise_demand();
    model.fill(0, SLOTS);
    let start = model.start_one(None, 60).expect("a start");
    assert_eq!(rack_of(start), HOT);
    assert_eq!(model.take_counts()[0].spared_starts, 1);
    model.fill(SLOTS - 1, SLOTS - 1);
    for _ in 0..SERVERS {
        assert!(model.start_one(None, 900).is_some(), "a server has room");
    }
    assert_eq!(model.start_one(None, 900), None, "all are full");
}

// Guards against tasks that end late on slow servers while the rack has room.
#[test]
fn late_tasks_use_rack() {
    let mut model = RackModel::new(1, true);
    for (server, host) in model.hosts.iter_mut().enumerate() {
        host.slowness = if rack_of(server) == HOT { 100 } else { 300 };
    }
    for _ in 0..10 {
        for _ in 0..8 {
            model.submit(0, (SERVERS as u32, 20), None, 100);
        }
        model.run(200);
    }
    model.raise_demand();
    let start = model.start_one(None, 60).expect("a start");
    assert_eq!(rack_of(start), HOT);
}

// Guards against tasks that go to another rack, where they take three times as long, although
// a slot in theirs is about to be free; and against tasks that wait for it for ever.
#[test]
fn full_rack_awaited() {
    let mut model = RackModel::new(1, true);
    model.fill(SLOTS, 0);
    let short = model.submit(0, (1, 60), Some(HOT), 100);
    let freed = model.submit(0, (1, 60), Some(HOT), 100);
    model.run(40);
    assert!(model.jobs[short].starts.is_empty(), "it is late elsewhere");
    model.hosts[HOT].foreign = SLOTS - 1;
    model.run(USAGE_INTERVAL + 10);
    let starts = [&model.jobs[short].starts[..], &model.jobs[freed].starts[..]].concat();
    assert_eq!(starts, [HOT], "one of the two finds the free slot");
    model.hosts[HOT].foreign = SLOTS;
    model.run(200);
    let mut starts = [&model.jobs[short].starts[..], &model.jobs[freed].starts[..]].concat();
    starts.retain(|server| rack_of(*server) != HOT);
    assert_eq!(starts.len(), 1, "the other one has waited for longer than a remote run takes");
    assert_eq!(model.take_counts()[0].remote_starts, 1);
}

// Guards against tasks that leave for another rack as soon as they are late, although the wait
// until then is shorter than what a remote run takes in addition: 400 ms here.
#[test]
fn late_task_awaits_rack() {
    let mut model = RackModel::new(1, true);
    model.fill(SLOTS, 0);
    let number = model.submit(0, (1, 200), Some(HOT), 100);
    model.run(350);
    assert!(model.jobs[number].starts.is_empty(), "it is late since 160 ms");
    model.run(150);
    assert!(model.jobs[number].starts.iter().all(|server| rack_of(*server) != HOT));
    assert_eq!(model.jobs[number].starts.len(), 1);
}

// Guards against tasks that are expected elsewhere just in time, and are late at the first
// error of an estimate; and against those that wait although they have time.
#[test]
fn remote_start_in_time() {
    for (rack_reserve, estimate_ms, starts) in
        [(true, 10, true), (true, 30, false), (false, 30, true)]
    {
        let mut model = RackModel::new(1, rack_reserve);
        model.fill(SLOTS, 0);
        let start = model.start_one(Some(HOT), estimate_ms);
        assert_eq!(start.is_some(), starts, "{rack_reserve}, {estimate_ms} ms");
    }
}

// Guards against tasks that wait for their rack and keep others off the fast servers of all.
#[test]
fn waiting_tasks_reserve_nothing() {
    let mut model = RackModel::with_precedence(1, true, Some(Precedence::Priority));
    for (server, host) in model.hosts.iter_mut().enumerate() {
        host.slowness = if server % 3 == 0 { 50 } else { 100 };
    }
    for _ in 0..10 {
        for _ in 0..8 {
            model.submit(0, (SERVERS as u32, 20), None, 100);
        }
        model.run(100);
    }
    model.fill(SLOTS, SLOTS);
    for (server, host) in model.hosts.iter_mut().enumerate() {
        if rack_of(server) != HOT && server % 3 == 0 {
            host.foreign = SLOTS / 2;
        }
    }
    model.run(USAGE_INTERVAL);
    let named = model.submit(0, (1, 120), Some(HOT), 100);
    model.run(10);
    let unnamed: Vec<usize> = (0..4).map(|_| model.submit(0, (4, 60), None, 100)).collect();
    model.run(10);
    assert!(model.jobs[named].starts.is_empty());
    assert_eq!(model.jobs[named].ended, None);
    assert!(unnamed.iter().all(|number| model.jobs[*number].starts.len() == 4));
}

// Guards against a rack that is spared for good after a surge, and checks the log lines.
#[test]
fn past_demand_forgotten() {
    let mut model = RackModel::new(1, true);
    model.raise_demand();
    model.run(4_000);
    assert_eq!(model.high_racks(), Some(0));
    let lines = model.entries[0].lines.iter().filter(|line| line.contains("event=rack_demand"));
    let lines: Vec<&String> = lines.collect();
    assert!(lines[0].contains("rack=r2 service=stock high=true demand="), "{}", lines[0]);
    assert!(lines[1].contains("rack=r2 service=stock high=false demand="), "{}", lines[1]);
    assert_eq!(lines.len(), 2);
    model.fill(0, 3);
    let start = model.start_one(None, 60).expect("a start");
    assert_eq!(rack_of(start), HOT, "its servers are the least busy");
}

// Guards against tasks that wait for a rack whose servers are gone.
#[test]
fn lost_rack_not_awaited() {
    let mut model = RackModel::new(1, true);
    model.raise_demand();
    for server in (0..SERVERS).filter(|server| rack_of(*server) == HOT) {
        model.hosts[server].draining = true;
        model.announce(0, server, None);
    }
    model.run(110);
    assert_eq!(model.high_racks(), Some(0));
    let start = model.start_one(Some(HOT), 30).expect("a start");
    assert_ne!(rack_of(start), HOT);
}

/// Servers of a service by rack, of which this scheduler uses a ninth of what is used.
fn judge_all(demand: &mut RackDemand, now: Instant, racks: &[String]) -> Vec<RackChange> {
    let service = ServiceId::from(SERVICE);
    let labels: Vec<[model::LabelId; 2]> =
        racks.iter().map(|rack| ["a".into(), rack.as_str().into()]).collect();
    let servers = labels.iter().map(|labels| RackServer {
        service: &service,
        labels,
        cpu_milli: 400_000,
        slowness: 1.0,
        own_cpu_milli: 20_000,
        other_cpu_milli: 160_000,
    });
    demand.judge(now, servers)
}

/// Adds jobs of 1.6 core-seconds, one each `interval_ms` for 3 s, to racks in turn, and
/// returns the changes.
fn add_jobs(demand: &mut RackDemand, interval_ms: u64, racks: &[String]) -> Vec<RackChange> {
    let start = Instant::now();
    let mut changes = Vec::new();
    for number in 0..3_000 / interval_ms {
        let now = start + Duration::from_millis(number * interval_ms);
        let rack = racks[number as usize % racks.len()].as_str().into();
        demand.add_job(now, &SERVICE.into(), &rack, 1_632);
        changes.extend(judge_all(demand, now, &seven_racks()));
    }
    changes
}

fn seven_racks() -> Vec<String> {
    (0..RACKS).map(rack_name).collect()
}

// Guards against an entry that takes its own ninth of the demand for all of it. Fourteen jobs
// a second at each of nine entries need 205 of the rack's 400 cores.
#[test]
fn own_part_scaled() {
    let mut demand = RackDemand::new(Instant::now());
    let changes = add_jobs(&mut demand, 71, &[rack_name(HOT)]);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].is_high && changes[0].rack == rack_name(HOT));
    assert_eq!(changes[0].capacity, 400_000);
    assert!((0.11..0.112).contains(&changes[0].own_share), "{changes:?}");
    assert!(changes[0].demand >= 80_000, "{changes:?}");
}

// Guards against racks that are spared for the same jobs while these name all racks alike.
#[test]
fn even_demand_calm() {
    let mut demand = RackDemand::new(Instant::now());
    assert_eq!(add_jobs(&mut demand, 71, &seven_racks()), []);
}

// Guards against a single job that counts ninefold: a large one is no surge.
#[test]
fn few_jobs_ignored() {
    let mut demand = RackDemand::new(Instant::now());
    let now = Instant::now();
    for _ in 0..2 {
        demand.add_job(now, &SERVICE.into(), &rack_name(HOT).into(), 50_000);
    }
    assert_eq!(judge_all(&mut demand, now, &seven_racks()), []);
}

// Guards against memory that grows with the names that callers send, and against a surge
// that is lost among them.
#[test]
fn tracked_racks_bounded() {
    let mut demand = RackDemand::new(Instant::now());
    let now = Instant::now();
    let (service, hot) = (ServiceId::from(SERVICE), rack_name(HOT).into());
    let names: Vec<String> = (0..5_000).map(|number| format!("name-{number}")).collect();
    for name in &names {
        demand.add_job(now, &service, &name.as_str().into(), 10);
        demand.add_job(now, &service, &hot, 100);
    }
    demand.add_job(now, &service, &"x".repeat(200_000).into(), 1_000_000);
    let all: Vec<String> =
        names.iter().cloned().chain([rack_name(HOT), "x".repeat(200_000)]).collect();
    judge_all(&mut demand, now, &all);
    let tracked = all.iter().filter(|name| demand.has_servers(&service, &name.as_str().into()));
    assert!(tracked.count() <= 64);
    assert!(!demand.has_servers(&service, &"x".repeat(200_000).into()));
    assert!(demand.is_high(&service, &hot));
    judge_all(&mut demand, now, &seven_racks());
    assert!(demand.is_high(&service, &hot), "racks without servers are forgotten, it is not");
    assert!(!demand.has_servers(&service, &"name-4999".into()));
}

// Guards against servers of one service that are spared for jobs of another.
#[test]
fn services_apart() {
    let mut demand = RackDemand::new(Instant::now());
    let now = Instant::now();
    for _ in 0..50 {
        demand.add_job(now, &OTHER_SERVICE.into(), &rack_name(HOT).into(), 1_632);
    }
    assert_eq!(judge_all(&mut demand, now, &seven_racks()), []);
    assert!(!demand.has_servers(&OTHER_SERVICE.into(), &rack_name(HOT).into()));
}
