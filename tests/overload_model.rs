//! Model of an entry on a small processor: its messages wait in one queue, and
//! each takes processor time, more if the scheduler searches for agents. Agents
//! are always punctual; their backend servers differ in speed only where a test
//! sets it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::agent::heartbeat_interval;
use decisions::schedule::{
    JobDecision, LoadCounts, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind,
};
use model::{
    AgentHeartbeat, AgentMessage, AgentOrder, AgentOrders, AgentReport, ClaimUpdate, EndKind,
    JobCall, JobReply, MAX_UNACKED_REPORTS, NumberedMessage, Precedence, QueueCatalog, QueueId,
    QueueRule, QueuedJob, ResourceAmount, RunUpdate, ServerReport, ServerView, TaskRun,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller_jobs::{CALLER_WAIT, CallerJob, JobOutcome, LONG_KIND, number_of};
use crate::schedule_model::{QUEUE, SERVICE, catalog, schedule_limits};

/// Time that a host with an eighth of a core takes for a caller's job, besides
/// its placement.
pub(crate) const JOB_COST: Duration = Duration::from_micros(1_200);
/// The same for an agent's report or heartbeat, and for a deadline.
pub(crate) const MESSAGE_COST: Duration = Duration::from_micros(350);
/// The same for pricing one agent in a search for one.
pub(crate) const PRICING_COST: Duration = Duration::from_nanos(275);
/// Time of a message between an entry and an agent.
pub(crate) const LINK_DELAY: Duration = Duration::from_millis(1);
/// Capacity of a backend server that other entries leave to this one.
const SERVER_CPU_MILLI: u64 = 6_000;

/// Shares of the kinds of job, in percent.
const KIND_SHARES: [u64; 3] = [24, 5, 71];
/// Priorities of their queues, where they have some: the shortest tasks first.
const KIND_PRIORITIES: [u32; 3] = [0, 2, 1];
/// Standard deviation of the logarithm of the error of estimates, where jobs vary.
const ESTIMATE_SPREAD: f64 = 0.4;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller submits the job of this number.
    Submit(usize),
    /// The run of this name ends at an agent.
    RunEnd(usize, String),
    /// Orders reach an agent.
    Orders(usize, u64),
    /// An agent sends a heartbeat, if this was the number of its latest message.
    Heartbeat(usize, u64),
    /// The connection to an agent breaks, or is there again.
    Link(usize, bool),
    /// The run times at an agent's backend server change, to this percentage.
    Slowness(usize, u64),
    /// A message reaches the entry.
    Arrival(u64),
    /// The entry's host stands still for this time.
    Pause(Duration),
    /// The entry is idle, and its scheduler's deadline has come.
    Tick,
}

enum Message {
    Submit(Arc<QueuedJob>),
    Agent(u64, NumberedMessage),
}

#[derive(Default)]
struct AgentModel {
    connected: bool,
    /// Run times of the backend server, as a percentage of those of the jobs.
    slowness: u64,
    session: u64,
    /// Active runs with their starts.
    runs: BTreeMap<String, (TaskRun, Instant)>,
    updates: Vec<RunUpdate>,
    claim_updates: Vec<ClaimUpdate>,
    /// Number of the latest message of the session, and of the latest acknowledged one.
    sent: u64,
    acked: u64,
}

/// A submitted job.
struct JobEntry {
    at: Instant,
    caller_job: CallerJob,
    outcome: Option<JobOutcome>,
}

/// An entry, its agents and its callers, in virtual time.
pub(crate) struct OverloadModel {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    scheduler: Scheduler,
    agents: Vec<AgentModel>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    event_count: u64,
    in_transit: BTreeMap<u64, Message>,
    /// Session and orders, by message.
    orders_in_transit: BTreeMap<u64, (u64, AgentOrders)>,
    inbox: VecDeque<Message>,
    busy_until: Instant,
    next_id: u64,
    /// Agent of each connection, which has the number of its session.
    links: BTreeMap<u64, usize>,
    /// Submitted jobs, by number.
    jobs: Vec<JobEntry>,
    /// Whether the jobs of each kind have a queue of their own.
    has_queues: bool,
    /// Source of the differences between jobs of a kind; without one there are none.
    spread: Option<StdRng>,
    /// Job number of each open call.
    calls: BTreeMap<u64, usize>,
    /// Longest time that a message waited for the processor.
    pub(crate) max_lag: Duration,
    /// Work of the scheduler so far.
    counts: LoadCounts,
}

impl OverloadModel {
    pub(crate) fn new(agents: usize) -> OverloadModel {
        OverloadModel::of_catalog(agents, None, &catalog(1))
    }

    /// A model in which the jobs of each kind have a queue, of the kind's priority.
    pub(crate) fn with_queues(agents: usize, precedence: Option<Precedence>) -> OverloadModel {
        let catalog = kind_catalog(1, KIND_PRIORITIES);
        let mut model = OverloadModel::of_catalog(agents, precedence, &catalog);
        model.has_queues = true;
        model
    }

    fn of_catalog(
        agents: usize,
        precedence: Option<Precedence>,
        catalog: &Arc<QueueCatalog>,
    ) -> OverloadModel {
        let start = Instant::now();
        let kind = SchedulerKind::Entry;
        let limits = ScheduleLimits { precedence, ..schedule_limits(kind) };
        let mut scheduler = Scheduler::new(start, kind, limits);
        scheduler.on_catalog(catalog);
        let mut model = OverloadModel {
            start,
            now: start,
            scheduler,
            agents: (0..agents)
                .map(|_| AgentModel { slowness: 100, ..AgentModel::default() })
                .collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            in_transit: BTreeMap::new(),
            orders_in_transit: BTreeMap::new(),
            inbox: VecDeque::new(),
            busy_until: start,
            next_id: 0,
            links: BTreeMap::new(),
            jobs: Vec::new(),
            has_queues: false,
            spread: None,
            calls: BTreeMap::new(),
            max_lag: Duration::ZERO,
            counts: LoadCounts::default(),
        };
        for agent in 0..agents {
            model.at(start, Event::Link(agent, true));
        }
        model
    }

    fn at(&mut self, time: Instant, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Submits jobs at an even rate, from and to these times after the start.
    pub(crate) fn add_load(&mut self, from: Duration, to: Duration, jobs_per_second: u32) {
        let interval = Duration::from_secs(1) / jobs_per_second;
        let mut time = self.start + from;
        while time < self.start + to {
            let number = self.jobs.len();
            let mut entry = job_entry(number, time, self.spread.as_mut());
            if self.has_queues {
                entry.caller_job.move_to(kind_queue(entry.caller_job.kind));
            }
            self.jobs.push(entry);
            self.at(time, Event::Submit(number));
            time += interval;
        }
    }

    /// Cuts off every agent from this number on, between these times.
    pub(crate) fn cut_agents(&mut self, first: usize, from: Duration, to: Duration) {
        for agent in first..self.agents.len() {
            self.at(self.start + from, Event::Link(agent, false));
            self.at(self.start + to, Event::Link(agent, true));
        }
    }

    /// Lets the jobs that are added from now on differ in width, run time and the error of
    /// their estimates.
    pub(crate) fn vary_jobs(&mut self, seed: u64) {
        self.spread = Some(StdRng::seed_from_u64(seed));
    }

    /// Sets the run times at an agent's backend server from this time after the start, as
    /// a percentage of those of the jobs.
    pub(crate) fn set_slowness(&mut self, agent: usize, from: Duration, slowness: u64) {
        self.at(self.start + from, Event::Slowness(agent, slowness));
    }

    /// Shares of the long jobs that were completed while their callers waited: of the
    /// largest tenth by work, of the fifth below it, and of all.
    pub(crate) fn served_by_size(&self) -> [f64; 3] {
        let mut long: Vec<&JobEntry> =
            self.jobs.iter().filter(|job| job.caller_job.kind == LONG_KIND).collect();
        long.sort_by_key(|job| Reverse(job.caller_job.work_ms()));
        let (tenth, third) = (long.len() / 10, long.len() * 3 / 10);
        [&long[..tenth], &long[tenth..third], &long[..]].map(served_share)
    }

    /// Share of the jobs of this kind that were completed while their callers waited.
    pub(crate) fn served_kind(&self, kind: usize) -> f64 {
        let jobs: Vec<&JobEntry> =
            self.jobs.iter().filter(|job| job.caller_job.kind == kind).collect();
        served_share(&jobs)
    }

    /// Share of the jobs of this kind that completed within their objective.
    pub(crate) fn in_time_kind(&self, kind: usize) -> f64 {
        let jobs = self.jobs.iter().filter(|job| job.caller_job.kind == kind);
        let (all, in_time) = jobs.fold((0, 0), |(all, in_time), job| {
            (all + 1, in_time + u32::from(job.outcome == Some(JobOutcome::InTime)))
        });
        f64::from(in_time) / f64::from(all.max(1))
    }

    /// Puts a catalog in force in which the queues of the kinds have these priorities.
    pub(crate) fn set_priorities(&mut self, version: u64, priorities: [u32; 3]) {
        self.scheduler.on_catalog(&kind_catalog(version, priorities));
    }

    /// Work of the scheduler so far.
    pub(crate) fn counts(&self) -> LoadCounts {
        self.counts
    }

    /// Lets the entry's host stand still at this time after the start.
    pub(crate) fn pause_entry(&mut self, from: Duration, duration: Duration) {
        self.at(self.start + from, Event::Pause(duration));
    }

    /// Highest slowness that the entry attributes to a backend server now; all of
    /// them run as fast as estimated.
    pub(crate) fn max_slowness(&self) -> f64 {
        self.scheduler.max_slowness().expect("agents are connected")
    }

    /// Share of the jobs submitted between these times that completed within
    /// their objective.
    pub(crate) fn in_time_share(&self, from: Duration, to: Duration) -> f64 {
        let (from, to) = (self.start + from, self.start + to);
        let jobs = self.jobs.iter().filter(|job| (from..to).contains(&job.at));
        let (mut all, mut in_time) = (0_u32, 0_u32);
        for job in jobs {
            all += 1;
            in_time += u32::from(job.outcome == Some(JobOutcome::InTime));
        }
        f64::from(in_time) / f64::from(all.max(1))
    }

    /// Plays all events up to this time after the start.
    pub(crate) fn play(&mut self, until: Duration) {
        let until = self.start + until;
        while let Some(Reverse((time, _, _))) = self.events.peek()
            && *time <= until
        {
            let Some(Reverse((time, _, event))) = self.events.pop() else { return };
            self.now = time;
            self.on_event(event);
            self.run_entry();
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Submit(number) => {
                let job = Arc::clone(&self.jobs[number].caller_job.job);
                self.inbox.push_back(Message::Submit(job));
            }
            Event::RunEnd(agent, name) => self.end_run(agent, &name),
            Event::Orders(agent, id) => self.take_orders(agent, id),
            Event::Heartbeat(agent, number) => self.heartbeat(agent, number),
            Event::Link(agent, connected) => self.set_link(agent, connected),
            Event::Slowness(agent, slowness) => self.agents[agent].slowness = slowness,
            Event::Arrival(id) => {
                if let Some(message) = self.in_transit.remove(&id) {
                    self.inbox.push_back(message);
                }
            }
            Event::Pause(duration) => self.busy_until = self.now + duration,
            Event::Tick => {}
        }
    }

    fn send(&mut self, message: Message) {
        let id = self.new_id();
        self.in_transit.insert(id, message);
        self.at(self.now + LINK_DELAY, Event::Arrival(id));
    }

    /// A cut agent stops its runs, as its grant expires.
    fn set_link(&mut self, agent: usize, connected: bool) {
        let session = self.new_id();
        let state = &mut self.agents[agent];
        let slowness = state.slowness;
        *state = AgentModel { connected, session, slowness, ..AgentModel::default() };
        if connected {
            self.links.insert(session, agent);
            self.report(agent, Some(Vec::new()));
        }
    }

    /// Sends a message of an agent over its connection.
    fn send_message(&mut self, agent: usize, message: AgentMessage) {
        let state = &mut self.agents[agent];
        state.sent += 1;
        let (session, number) = (state.session, state.sent);
        self.send(Message::Agent(session, NumberedMessage { number, message }));
        self.at(self.now + heartbeat_interval(true), Event::Heartbeat(agent, number));
    }

    /// Sends a heartbeat unless another message was sent since.
    fn heartbeat(&mut self, agent: usize, number: u64) {
        let state = &self.agents[agent];
        if !state.connected || state.sent != number {
            return;
        }
        let heartbeat = AgentHeartbeat {
            agent: format!("agent-{agent}").into(),
            incarnation: 1,
            session: state.session,
        };
        self.send_message(agent, AgentMessage::Heartbeat(heartbeat));
    }

    fn report(&mut self, agent: usize, runs: Option<Vec<TaskRun>>) {
        let state = &mut self.agents[agent];
        let nothing_new =
            state.updates.is_empty() && state.claim_updates.is_empty() && runs.is_none();
        let unacked = (state.sent - state.acked) as usize;
        if !state.connected || unacked >= MAX_UNACKED_REPORTS || nothing_new {
            return;
        }
        let server = match runs.is_some() {
            true => ServerReport::Present(server_view(agent)),
            false => ServerReport::Unchanged,
        };
        let report = AgentReport {
            agent: format!("agent-{agent}").into(),
            incarnation: 1,
            session: state.session,
            server,
            runs,
            runs_partial: false,
            unowned: Vec::new(),
            updates: std::mem::take(&mut state.updates),
            claims: std::mem::take(&mut state.claim_updates),
            other_usage: ResourceAmount::default(),
            speed: None,
            pairs: Vec::new(),
            other_kinds: None,
        };
        self.send_message(agent, AgentMessage::Report(Box::new(report)));
    }

    fn take_orders(&mut self, agent: usize, id: u64) {
        let Some((session, orders)) = self.orders_in_transit.remove(&id) else { return };
        let state = &mut self.agents[agent];
        if !state.connected || state.session != session {
            return;
        }
        state.acked = state.acked.max(orders.received);
        let claimed = orders.claims.into_iter().flat_map(|claims| claims.claimed);
        state.claim_updates.extend(claimed.map(|job| ClaimUpdate::Granted { job }));
        for order in orders.orders {
            match order {
                AgentOrder::Start { runs, size, .. } => {
                    for run in runs {
                        self.start_run(agent, run, size);
                    }
                }
                AgentOrder::Stop { run } => self.stop_run(agent, &run),
                AgentOrder::Keep { .. } => {}
            }
        }
        self.report(agent, None);
    }

    fn start_run(&mut self, agent: usize, run: TaskRun, size: ResourceAmount) {
        let now = self.now;
        let run_ms = self.jobs[number_of(&run.task.job)].caller_job.run_ms[run.task.index as usize];
        let state = &mut self.agents[agent];
        let used = state.runs.len() as u64 * size.cpu_milli;
        if used + size.cpu_milli > SERVER_CPU_MILLI {
            let refusal = model::StartRefusal::Room;
            state.updates.push(RunUpdate::Refused { run, refusal });
            return;
        }
        let run_ms = run_ms * state.slowness / 100;
        let name = run.to_string();
        state.runs.insert(name.clone(), (run, now));
        self.at(now + Duration::from_millis(run_ms), Event::RunEnd(agent, name));
    }

    fn stop_run(&mut self, agent: usize, run: &TaskRun) {
        self.remove_run(agent, &run.to_string(), EndKind::Stopped);
    }

    fn end_run(&mut self, agent: usize, name: &str) {
        self.remove_run(agent, name, EndKind::Done);
        self.report(agent, None);
    }

    fn remove_run(&mut self, agent: usize, name: &str, kind: EndKind) {
        let state = &mut self.agents[agent];
        let Some((run, since)) = state.runs.remove(name) else { return };
        let ran_ms = Some((self.now - since).as_millis() as u64);
        state.updates.push(RunUpdate::Ended { number: 0, run, kind, ran_ms });
    }

    /// Lets the entry handle messages while its processor is free; with an empty
    /// inbox, what its scheduler's deadline requires.
    fn run_entry(&mut self) {
        if self.busy_until > self.now {
            return;
        }
        self.scheduler.take_counts();
        let mut cost = MESSAGE_COST;
        match self.inbox.pop_front() {
            Some(message) => {
                if matches!(message, Message::Submit(_)) {
                    cost = JOB_COST;
                }
                self.handle(message);
            }
            None => {
                let due = self.scheduler.next_deadline();
                if due.is_none_or(|due| due > self.now) {
                    if let Some(due) = due {
                        self.at(due, Event::Tick);
                    }
                    return;
                }
                self.scheduler.on_idle(self.now);
            }
        }
        let steps = self.scheduler.settle(self.now);
        let counts = self.scheduler.take_counts();
        self.counts.too_late += counts.too_late;
        self.counts.searches += counts.searches;
        self.counts.placed += counts.placed;
        self.busy_until = self.now + cost + PRICING_COST * counts.agents_priced as u32;
        self.apply(steps);
        let free_at = self.busy_until;
        self.at(free_at, Event::Tick);
    }

    fn handle(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Submit(job) => {
                let number = number_of(&job.id);
                let lag = now.saturating_duration_since(self.jobs[number].at);
                self.max_lag = self.max_lag.max(lag);
                let call = self.new_id();
                let wait = CALLER_WAIT.saturating_sub(lag).as_millis() as u64;
                let job_call = JobCall::Submit { job, wait_ms: wait };
                self.calls.insert(call, number);
                if let JobDecision::Reply(reply) = self.scheduler.on_job_call(now, call, &job_call)
                {
                    self.finish_call(call, &reply);
                }
            }
            Message::Agent(link, message) => self.scheduler.on_agent_message(now, link, &message),
        }
    }

    /// Carries out the scheduler's steps; they leave the entry when its processor
    /// is done with the message.
    fn apply(&mut self, steps: Vec<ScheduleStep>) {
        for step in steps {
            match step {
                ScheduleStep::Orders { link, orders } => {
                    let Some(agent) = self.links.get(&link).copied() else { continue };
                    let id = self.new_id();
                    self.orders_in_transit.insert(id, (link, *orders));
                    self.at(self.busy_until + LINK_DELAY, Event::Orders(agent, id));
                }
                ScheduleStep::JobEnd { call, reply } => self.finish_call(call, &reply),
                ScheduleStep::CloseLink { link } => {
                    self.links.remove(&link);
                }
                ScheduleStep::Propose(_) | ScheduleStep::Log(_) => {}
            }
        }
    }

    fn finish_call(&mut self, call: u64, reply: &JobReply) {
        let Some(number) = self.calls.remove(&call) else { return };
        let entry = &mut self.jobs[number];
        let took = self.now.saturating_duration_since(entry.at);
        entry.outcome = Some(entry.caller_job.outcome(took, reply));
    }
}

/// Queue of a kind of job.
fn kind_queue(kind: usize) -> QueueId {
    format!("kind-{kind}").into()
}

/// A catalog with a queue of one service for each kind of job.
fn kind_catalog(version: u64, priorities: [u32; 3]) -> Arc<QueueCatalog> {
    let mut catalog = QueueCatalog::clone(&catalog(version));
    let rule = catalog.queues.shift_remove(QUEUE).expect("the queue is there");
    for (kind, priority) in priorities.into_iter().enumerate() {
        let path_prefix = format!("/kind-{kind}/").into();
        let rule = QueueRule { path_prefix, priority, ..rule.clone() };
        catalog.queues.insert(kind_queue(kind), rule);
    }
    Arc::new(catalog)
}

fn server_view(agent: usize) -> ServerView {
    ServerView {
        life: format!("i-{agent}/1").into(),
        service: SERVICE.into(),
        domain: "north".into(),
        capacity: ResourceAmount { cpu_milli: SERVER_CPU_MILLI, memory_mb: 1_000, accelerators: 0 },
        labels: vec!["rack-1".into()],
        draining: false,
    }
}

/// Share of the jobs that were completed while their callers waited.
fn served_share(jobs: &[&JobEntry]) -> f64 {
    let served =
        |job: &&&JobEntry| matches!(job.outcome, Some(JobOutcome::InTime | JobOutcome::Late));
    jobs.iter().filter(served).count() as f64 / jobs.len().max(1) as f64
}

/// Kind of the job of this number; kinds alternate by their shares.
fn kind_of(number: usize) -> usize {
    let position = (number as u64 * 37) % 100;
    let mut upto = 0;
    let found = KIND_SHARES.iter().position(|share| {
        upto += share;
        position < upto
    });
    found.expect("the shares are 100 in total")
}

/// The job of this number. All jobs of a kind are equal and last as long as
/// estimated, unless there is a source of differences.
fn job_entry(number: usize, at: Instant, spread: Option<&mut StdRng>) -> JobEntry {
    let kind = kind_of(number);
    let caller_job = match spread {
        None => CallerJob::equal(number, kind),
        Some(random) => CallerJob::varied(number, kind, ESTIMATE_SPREAD, random),
    };
    JobEntry { at, caller_job, outcome: None }
}
