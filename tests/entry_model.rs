//! Model of several entries on small processors that share the backend servers of many
//! agents, in virtual time. Schedulers and run tables are the real ones; each message
//! waits in the queue of its entry and takes processor time there. `entry_links` has the
//! transport between them.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use decisions::agent::{RunStep, RunTable};
use decisions::schedule::{JobDecision, ScheduleStep, Scheduler, SchedulerKind};
use model::{
    CallId, JobCall, JobReply, NodeId, NumberedMessage, ResourceAmount, SchedulerKey, ServerAnswer,
    ServerCall, ServerHeartbeat, ServerRequest, ServerView, SessionId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller_jobs::{CALLER_WAIT, CallerJob, JobOutcome, TASK_CPU_MILLI, number_of};
use crate::entry_links::{AgentLink, STREAM_COST, ToAgent};
use crate::overload_model::{JOB_COST, LINK_DELAY, MESSAGE_COST, PRICING_COST};
use crate::schedule_model::{SERVICE, catalog, run_limits, schedule_limits};
use crate::server_model::ServerModel;

/// Time of a message between an agent and its backend server, on the same host.
const SERVER_DELAY: Duration = Duration::from_micros(500);
/// Interval at which agents look for heartbeats that are due and for messages without an
/// acknowledgement.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long the processes have run when the model begins: no run of earlier ones is active.
const UP_TIME: Duration = Duration::from_secs(3);
/// Time over which the first sessions open, so that agents don't act in step.
const CONNECT_SPREAD_MS: u64 = 60;
/// Delay after which the next deadline of an agent or an idle entry is looked up.
const TIMER_STEP: Duration = Duration::from_millis(1);
/// Jobs of each kind, by their rate at the incident.
const KIND_RATES: [f64; 3] = [206.0, 37.5, 600.0];
/// Estimates are those of the means: what comes too late is due to entries and capacity.
const ESTIMATE_SPREAD: f64 = 0.0;

/// Size of a model.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryShape {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    /// Cores of each backend server.
    pub(crate) cores: usize,
    /// Whether messages take processor time at the entries.
    pub(crate) charged: bool,
    /// Source of sizes, kinds and times of jobs.
    pub(crate) seed: u64,
}

impl EntryShape {
    /// Tasks that a backend server runs at a time.
    fn slots(&self) -> usize {
        self.cores * 1_000 / TASK_CPU_MILLI as usize
    }
}

/// What an entry handled and sent since the counts were last taken.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EntryCounts {
    pub(crate) jobs: u64,
    /// Reports with ended or refused runs.
    pub(crate) end_reports: u64,
    /// Reports with the usage by other entries only.
    pub(crate) usage_reports: u64,
    pub(crate) heartbeats: u64,
    /// Requests of agents to confirm that no run of a job is active.
    pub(crate) confirm_requests: u64,
    /// Messages to agents.
    pub(crate) sent: u64,
    /// Time for which the processor was busy.
    pub(crate) busy: Duration,
    /// Longest time that a job waited for the processor.
    pub(crate) max_lag: Duration,
}

impl EntryCounts {
    /// Messages from and to agents.
    pub(crate) fn messages(&self) -> u64 {
        self.end_reports + self.usage_reports + self.heartbeats + self.sent
    }

    /// Messages from and to agents for each job.
    pub(crate) fn messages_per_job(&self) -> f64 {
        self.messages() as f64 / self.jobs.max(1) as f64
    }
}

/// A message that waits for the processor of an entry.
pub(crate) enum Inbound {
    /// A caller submits the job of this number.
    Submit(usize),
    /// A message of an agent in this session.
    Agent { agent: usize, session: SessionId, message: NumberedMessage },
}

pub(crate) enum Event {
    /// A message reaches an entry.
    AtEntry { entry: usize, message: Inbound },
    /// The processor of an entry may have work.
    EntryDue(usize),
    /// The deadline of an entry's scheduler may have come.
    EntryTick(usize),
    /// A message of an entry reaches an agent.
    AtAgent { agent: usize, entry: usize, session: SessionId, message: ToAgent },
    /// The deadline of an agent's run table may have come.
    AgentTick(usize),
    /// An agent opens a session at an entry.
    Connect { agent: usize, entry: usize },
    /// A call reaches the backend server of an agent.
    AtServer(usize, Box<ServerCall>),
    /// A run ends or a lease renewal times out at the backend server of an agent.
    ServerDue(usize),
    /// An answer reaches an agent, with the server's clock when it was sent.
    ServerAnswer(usize, Box<ServerCall>, Duration, ServerAnswer),
    /// An agent is cut off from all entries, or no longer is.
    Cut(usize, bool),
    /// Agents look for messages without an answer.
    LinkCheck,
}

/// An event at a time; of two at the same time, the one that was added first is first.
struct TimedEvent {
    at: Instant,
    number: u64,
    event: Event,
}

impl Ord for TimedEvent {
    /// Reversed, since a heap returns the greatest first.
    fn cmp(&self, other: &TimedEvent) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &TimedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &TimedEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimedEvent {}

/// An entry with its inbox and processor.
pub(crate) struct EntryNode {
    pub(crate) key: SchedulerKey,
    pub(crate) scheduler: Scheduler,
    inbox: VecDeque<Inbound>,
    busy_until: Instant,
    /// Time of the only valid tick.
    tick_at: Option<Instant>,
    /// Messages that leave once the processor is done with the present one.
    pub(crate) outgoing: Vec<(usize, SessionId, ToAgent)>,
    /// Job number of each open call.
    calls: BTreeMap<CallId, usize>,
    pub(crate) counts: EntryCounts,
}

/// An agent with its backend server.
pub(crate) struct AgentNode {
    pub(crate) table: RunTable,
    server: ServerModel,
    /// Lease renewals that wait for an end, with the time until which they do.
    renewals: Vec<(Box<ServerCall>, Instant)>,
    tick_at: Option<Instant>,
    /// Link to each entry.
    pub(crate) links: Vec<AgentLink>,
    pub(crate) is_cut: bool,
}

/// A submitted job.
struct JobEntry {
    at: Instant,
    entry: usize,
    caller_job: CallerJob,
    outcome: Option<JobOutcome>,
}

/// Entries, their callers, agents and backend servers, in virtual time.
pub(crate) struct EntryModel {
    start: Instant,
    pub(crate) now: Instant,
    shape: EntryShape,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) agents: Vec<AgentNode>,
    jobs: Vec<JobEntry>,
    events: BinaryHeap<TimedEvent>,
    random: StdRng,
    last_id: u64,
}

pub(crate) fn agent_name(agent: usize) -> NodeId {
    format!("agent-{agent}").into()
}

impl EntryModel {
    /// Creates entries and agents; the sessions open over the first moments.
    pub(crate) fn new(shape: EntryShape) -> EntryModel {
        let start = Instant::now();
        let mut model = EntryModel {
            start,
            now: start,
            shape,
            entries: (0..shape.entries).map(|entry| EntryNode::new(start, entry)).collect(),
            agents: (0..shape.agents).map(|agent| AgentNode::new(start, agent, shape)).collect(),
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            random: StdRng::seed_from_u64(shape.seed),
            last_id: 0,
        };
        for agent in 0..shape.agents {
            model.begin_life(agent);
            for entry in 0..shape.entries {
                let delay = model.random.random_range(0..CONNECT_SPREAD_MS);
                model.after(Duration::from_millis(delay), Event::Connect { agent, entry });
            }
        }
        model.after(LINK_CHECK_INTERVAL, Event::LinkCheck);
        model
    }

    /// Sends the first heartbeat of a backend server to its agent.
    fn begin_life(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        let cpu_milli = self.shape.cores as u64 * 1_000;
        let heartbeat = ServerHeartbeat {
            view: ServerView {
                life: format!("{}/{agent}", node.server.instance()).into(),
                service: SERVICE.into(),
                domain: "north".into(),
                capacity: ResourceAmount { cpu_milli, memory_mb: 1_000, accelerators: 0 },
                labels: vec!["rack-1".into()],
                draining: false,
            },
            address: ([127, 0, 0, 1], 9_000).into(),
            instance: node.server.instance().into(),
            generation: node.server.generation,
            sequence: 1,
            clock: Some(node.server.clock(self.now)),
        };
        let steps = node.table.on_heartbeat(self.now, &heartbeat);
        self.apply_run_steps(agent, steps);
    }

    pub(crate) fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn at(&mut self, at: Instant, event: Event) {
        let number = self.new_id();
        self.events.push(TimedEvent { at, number, event });
    }

    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Submits jobs at an even rate to an entry, from and to these times after the start.
    pub(crate) fn add_load(
        &mut self,
        entry: usize,
        from: Duration,
        to: Duration,
        jobs_per_second: f64,
    ) {
        let phase: f64 = self.random.random_range(0.0..1.0);
        let count = ((to - from).as_secs_f64() * jobs_per_second) as u32;
        for position in 0..count {
            let offset = (f64::from(position) + phase) / jobs_per_second;
            let at = self.start + from + Duration::from_secs_f64(offset);
            let number = self.jobs.len();
            let kind = self.draw_kind();
            let caller_job = CallerJob::varied(number, kind, ESTIMATE_SPREAD, &mut self.random);
            self.jobs.push(JobEntry { at, entry, caller_job, outcome: None });
            self.at(at, Event::AtEntry { entry, message: Inbound::Submit(number) });
        }
    }

    fn draw_kind(&mut self) -> usize {
        let drawn = self.random.random_range(0.0..KIND_RATES.iter().sum::<f64>());
        let mut upto = 0.0;
        let found = KIND_RATES.iter().position(|rate| {
            upto += rate;
            drawn < upto
        });
        found.unwrap_or(KIND_RATES.len() - 1)
    }

    /// Cuts these agents off from all entries between these times after the start.
    pub(crate) fn cut_agents(
        &mut self,
        agents: std::ops::Range<usize>,
        from: Duration,
        to: Duration,
    ) {
        for agent in agents {
            self.at(self.start + from, Event::Cut(agent, true));
            self.at(self.start + to, Event::Cut(agent, false));
        }
    }

    /// Share of this many backend servers' time that the jobs submitted between these
    /// times need.
    pub(crate) fn server_load(&self, agents: usize, from: Duration, to: Duration) -> f64 {
        let window = self.start + from..self.start + to;
        let jobs = self.jobs.iter().filter(|job| window.contains(&job.at));
        let work_ms: u64 = jobs.map(|job| job.caller_job.work_ms()).sum();
        let slots = agents * self.shape.slots();
        work_ms as f64 / 1_000.0 / ((to - from).as_secs_f64() * slots as f64)
    }

    /// Share of an entry's jobs submitted between these times that completed within
    /// their objective.
    pub(crate) fn in_time_share(&self, entry: usize, from: Duration, to: Duration) -> f64 {
        let window = self.start + from..self.start + to;
        let jobs = self.jobs.iter().filter(|job| job.entry == entry && window.contains(&job.at));
        let (mut all, mut in_time) = (0_u32, 0_u32);
        for job in jobs {
            all += 1;
            in_time += u32::from(job.outcome == Some(JobOutcome::InTime));
        }
        f64::from(in_time) / f64::from(all.max(1))
    }

    /// Returns the counts of each entry since the last call.
    pub(crate) fn take_counts(&mut self) -> Vec<EntryCounts> {
        self.entries.iter_mut().map(|node| std::mem::take(&mut node.counts)).collect()
    }

    /// Plays all events up to this time after the start.
    pub(crate) fn play(&mut self, until: Duration) {
        let until = self.start + until;
        while self.events.peek().is_some_and(|next| next.at <= until) {
            let Some(TimedEvent { at, event, .. }) = self.events.pop() else { return };
            self.now = at;
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::AtEntry { entry, message } => self.arrive_at_entry(entry, message),
            Event::EntryDue(entry) => self.run_entry(entry),
            Event::EntryTick(entry) => {
                if self.entries[entry].tick_at == Some(self.now) {
                    self.entries[entry].tick_at = None;
                    self.tick_entry(entry);
                }
            }
            Event::AtAgent { agent, entry, session, message } => {
                if !self.agents[agent].is_cut {
                    self.handle_at_agent(agent, entry, session, message);
                }
            }
            Event::AgentTick(agent) => {
                if self.agents[agent].tick_at == Some(self.now) {
                    self.agents[agent].tick_at = None;
                    self.tick_agent(agent);
                }
            }
            Event::Connect { agent, entry } => self.open_session(agent, entry),
            Event::AtServer(agent, call) => self.execute_call(agent, call),
            Event::ServerDue(agent) => {
                self.agents[agent].server.advance(self.now);
                self.answer_renewals(agent);
            }
            Event::ServerAnswer(agent, call, clock, answer) => {
                let clock = Some((clock, self.now));
                let steps = self.agents[agent].table.on_answer(self.now, &call, clock, answer);
                self.apply_run_steps(agent, steps);
            }
            Event::Cut(agent, is_cut) => self.agents[agent].is_cut = is_cut,
            Event::LinkCheck => {
                self.check_links();
                self.after(LINK_CHECK_INTERVAL, Event::LinkCheck);
            }
        }
    }

    fn arrive_at_entry(&mut self, entry: usize, message: Inbound) {
        if let Inbound::Agent { agent, .. } = &message
            && self.agents[*agent].is_cut
        {
            return;
        }
        self.entries[entry].inbox.push_back(message);
        self.run_entry(entry);
    }

    /// Lets an entry handle its next message if its processor is free.
    fn run_entry(&mut self, entry: usize) {
        if self.entries[entry].busy_until > self.now {
            return;
        }
        let (cost, reply) = match self.entries[entry].inbox.pop_front() {
            Some(Inbound::Submit(number)) => (JOB_COST, self.submit(entry, number)),
            Some(Inbound::Agent { agent, session, message }) => {
                self.handle_at_entry(entry, agent, session, &message);
                (STREAM_COST, None)
            }
            None => return self.set_entry_tick(entry, self.now + TIMER_STEP),
        };
        self.end_message(entry, cost, reply);
    }

    /// Lets an idle entry do what is due by now; else sets its tick to its next deadline.
    fn tick_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        if node.busy_until > self.now {
            return;
        }
        match node.scheduler.next_deadline() {
            Some(due) if due <= self.now => {
                node.scheduler.on_idle(self.now);
                self.end_message(entry, MESSAGE_COST, None);
            }
            Some(due) => self.set_entry_tick(entry, due),
            None => {}
        }
    }

    /// Sets the tick of an entry to this time unless it is set to an earlier one.
    fn set_entry_tick(&mut self, entry: usize, at: Instant) {
        let node = &mut self.entries[entry];
        if node.tick_at.is_none_or(|earlier| at < earlier) {
            node.tick_at = Some(at);
            self.at(at, Event::EntryTick(entry));
        }
    }

    /// Charges the entry for a message and what it caused, which is sent once the processor
    /// is done.
    fn end_message(
        &mut self,
        entry: usize,
        message_cost: Duration,
        reply: Option<(CallId, JobReply)>,
    ) {
        let steps = self.entries[entry].scheduler.settle(self.now);
        let mut finished = self.apply_schedule_steps(entry, steps);
        finished.extend(reply);
        let node = &mut self.entries[entry];
        let counts = node.scheduler.take_counts();
        node.counts.confirm_requests += counts.confirm_requests;
        let searches = PRICING_COST * counts.agents_priced as u32;
        let sent = STREAM_COST * node.outgoing.len() as u32;
        let cost = if self.shape.charged { message_cost + searches + sent } else { Duration::ZERO };
        node.counts.busy += cost;
        node.busy_until = self.now + cost;
        self.send_outgoing(entry, finished);
    }

    fn send_outgoing(&mut self, entry: usize, finished: Vec<(CallId, JobReply)>) {
        let done_at = self.entries[entry].busy_until;
        for (call, reply) in finished {
            let Some(number) = self.entries[entry].calls.remove(&call) else { continue };
            let job = &mut self.jobs[number];
            let took = done_at.saturating_duration_since(job.at);
            job.outcome = Some(job.caller_job.outcome(took, &reply));
        }
        for (agent, session, message) in std::mem::take(&mut self.entries[entry].outgoing) {
            self.at(done_at + LINK_DELAY, Event::AtAgent { agent, entry, session, message });
        }
        self.at(done_at, Event::EntryDue(entry));
    }

    /// Submits a job; returns the reply if it is decided at once.
    fn submit(&mut self, entry: usize, number: usize) -> Option<(CallId, JobReply)> {
        let call = self.new_id();
        let lag = self.now.saturating_duration_since(self.jobs[number].at);
        let job = std::sync::Arc::clone(&self.jobs[number].caller_job.job);
        let wait_ms = CALLER_WAIT.saturating_sub(lag).as_millis() as u64;
        let node = &mut self.entries[entry];
        node.counts.jobs += 1;
        node.counts.max_lag = node.counts.max_lag.max(lag);
        node.calls.insert(call, number);
        let decision =
            node.scheduler.on_job_call(self.now, call, &JobCall::Submit { job, wait_ms });
        match decision {
            JobDecision::Reply(reply) => Some((call, reply)),
            _ => None,
        }
    }

    /// Carries out a scheduler's steps; returns the calls that ended.
    fn apply_schedule_steps(
        &mut self,
        entry: usize,
        steps: Vec<ScheduleStep>,
    ) -> Vec<(CallId, JobReply)> {
        let mut finished = Vec::new();
        for step in steps {
            match step {
                ScheduleStep::Orders { link, orders } => self.send_orders(entry, link, *orders),
                ScheduleStep::CloseLink { link } => self.close_link(entry, link),
                ScheduleStep::JobEnd { call, reply } => finished.push((call, reply)),
                ScheduleStep::Propose(_) | ScheduleStep::Log(_) => {}
            }
        }
        finished
    }

    /// Carries out a run table's steps; its deadline may have changed.
    pub(crate) fn apply_run_steps(&mut self, agent: usize, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => {
                    self.after(SERVER_DELAY, Event::AtServer(agent, Box::new(call)));
                }
                RunStep::Report(key, report) => {
                    let entry = self.entries.iter().position(|node| node.key == key);
                    self.send_report(agent, entry.expect("the entry is known"), report);
                }
                RunStep::SetActive(..) | RunStep::Connect(_) | RunStep::Log(_) => {}
            }
        }
        self.set_agent_tick(agent, self.now + TIMER_STEP);
    }

    /// Sets the tick of an agent to this time unless it is set to an earlier one.
    fn set_agent_tick(&mut self, agent: usize, at: Instant) {
        let node = &mut self.agents[agent];
        if node.tick_at.is_none_or(|earlier| at < earlier) {
            node.tick_at = Some(at);
            self.at(at, Event::AgentTick(agent));
        }
    }

    /// Lets an agent do what is due by now; else sets its tick to its next deadline.
    fn tick_agent(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        match node.table.next_deadline() {
            Some(due) if due <= self.now => {
                let steps = node.table.on_tick(self.now);
                self.apply_run_steps(agent, steps);
            }
            Some(due) => self.set_agent_tick(agent, due),
            None => {}
        }
    }

    /// Executes a call at a backend server; a renewal waits for an end if it may.
    fn execute_call(&mut self, agent: usize, call: Box<ServerCall>) {
        let mut run_time = Duration::ZERO;
        if let ServerRequest::Start { run, .. } = &call.request {
            let job = &self.jobs[number_of(&run.task.job)].caller_job;
            run_time = Duration::from_millis(job.run_ms[run.task.index as usize]);
            self.after(run_time, Event::ServerDue(agent));
        }
        let node = &mut self.agents[agent];
        node.server.advance(self.now);
        match &call.request {
            ServerRequest::RenewLease { wait, .. } => {
                let wait = *wait;
                // The lease and the acknowledgement count from now, the lists from the answer.
                node.server.handle_call(self.now, &call, run_time);
                node.renewals.push((call, self.now + wait));
                self.after(wait, Event::ServerDue(agent));
            }
            ServerRequest::Start { .. } | ServerRequest::Stop { .. } => {
                let answer = node.server.handle_call(self.now, &call, run_time);
                self.send_answer(agent, call, answer);
            }
        }
        self.answer_renewals(agent);
    }

    /// Answers the renewals that have waited long enough, and all if a run has ended.
    fn answer_renewals(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        let has_ends = !node.server.unacked_ends.is_empty();
        let waiting = std::mem::take(&mut node.renewals);
        let (due, waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(_, until)| has_ends || *until <= self.now);
        node.renewals = waiting;
        for (call, _) in due {
            let answer = self.agents[agent].server.handle_call(self.now, &call, Duration::ZERO);
            self.send_answer(agent, call, answer);
        }
    }

    fn send_answer(&mut self, agent: usize, call: Box<ServerCall>, answer: ServerAnswer) {
        let clock = self.agents[agent].server.clock(self.now);
        self.after(SERVER_DELAY, Event::ServerAnswer(agent, call, clock, answer));
    }
}

impl EntryNode {
    fn new(now: Instant, entry: usize) -> EntryNode {
        let kind = SchedulerKind::Entry;
        let mut scheduler = Scheduler::new(now - UP_TIME, kind, schedule_limits(kind));
        scheduler.on_catalog(&catalog(1));
        EntryNode {
            key: SchedulerKey::Entry(format!("entry-{entry}").into()),
            scheduler,
            inbox: VecDeque::new(),
            busy_until: now,
            tick_at: None,
            outgoing: Vec::new(),
            calls: BTreeMap::new(),
            counts: EntryCounts::default(),
        }
    }
}

impl AgentNode {
    fn new(now: Instant, agent: usize, shape: EntryShape) -> AgentNode {
        AgentNode {
            table: RunTable::new(now - UP_TIME, agent_name(agent), 1, run_limits()),
            server: ServerModel::new(now, agent as u64 + 1, shape.slots()),
            renewals: Vec::new(),
            tick_at: None,
            links: (0..shape.entries).map(|_| AgentLink::default()).collect(),
            is_cut: false,
        }
    }
}
