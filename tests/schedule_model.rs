//! Deterministic model of schedulers, agents and backend servers, in which a
//! test loses, delays and reorders calls.
//!
//! Invariants, checked at every start: no task runs twice at a time, and a task
//! of a stored job doesn't start again once its end is recorded, unless a lease
//! expired with its end unacknowledged. Checked at every call: no task of a stored job
//! has started after a successful end that counts, then or later. Checked at every start too:
//! none is in a failure domain that has been evacuated for [`EVACUATION_TIME`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::agent::{RunLimits, RunStep, RunTable};
use decisions::control::JobStore;
use decisions::schedule::{
    JobDecision, LoadCounts, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind,
};
use model::{
    AdmissionRule, AgentHeartbeat, AgentMessage, AgentOrders, AgentReport, Command, JobCall,
    JobPhase, JobReply, JobStep, LogRecord, NumberedMessage, QueueCatalog, QueueRule, QueuedJob,
    ResourceAmount, SchedulerKey, ServerAnswer, ServerCall, ServerHeartbeat, ServerRequest,
    ServerView, ServiceRule, TaskName, life_id,
};

use crate::link_model::LinkModel;
use crate::server_model::ServerModel;

/// Lease of an agent on its backend server; runs end when it expires.
pub(crate) const LEASE: Duration = Duration::from_millis(1_000);
/// How long an agent keeps an entry's runs active after it sent a message.
const ENTRY_GRANT: Duration = Duration::from_millis(1_000);
/// The same for runs of the control scheduler.
const CONTROL_GRANT: Duration = Duration::from_millis(4_000);
/// Time from the commit of an evacuation after which nothing more may start in the domain
/// (`evac_ms`).
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Usual failure domain of a backend server.
pub(crate) const DOMAIN: &str = "north";
const SERVER_CPU_MILLI: u64 = 4_000;
/// Tasks of one core that a backend server runs at a time.
const SERVER_SLOTS: usize = 4;
/// How long callers usually wait.
const CALLER_WAIT: Duration = Duration::from_millis(1_500);
/// How long an agent waits until an entry acknowledges a message.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Rounds after which agents grant claims: the runs from before their start are over.
const START_ROUNDS: usize = 90;
/// Usual run time of a task.
const RUN_TIME: Duration = Duration::from_millis(120);
pub(crate) const SERVICE: &str = "stock";
pub(crate) const QUEUE: &str = "lookups";
/// Another service, with its queue. No backend server serves it unless a test says so.
pub(crate) const OTHER_SERVICE: &str = "maps";
pub(crate) const OTHER_QUEUE: &str = "routes";

pub(crate) fn run_limits() -> RunLimits {
    RunLimits {
        lease: LEASE,
        renewal_wait: Duration::from_millis(400),
        renewal_interval: Duration::from_millis(15),
        retry_delay: Duration::from_millis(100),
        claim_wait: Duration::from_millis(300),
        speed_reports: false,
        resend_starts: false,
        interference: false,
    }
}

pub(crate) fn schedule_limits(kind: SchedulerKind) -> ScheduleLimits {
    ScheduleLimits {
        incarnation: 1,
        grant: if kind == SchedulerKind::Entry { ENTRY_GRANT } else { CONTROL_GRANT },
        lease: LEASE,
        reply_wait: Duration::from_millis(200),
        ack_delay: Duration::from_millis(150),
        remote_factor: 1.5,
        estimate_spread: 0.0,
        speed_reports: false,
        interference: false,
        admission: AdmissionRule::Backlog,
        precedence: None,
        guaranteed_share: model::DEFAULT_GUARANTEED_SHARE,
        rack_reserve: false,
    }
}

pub(crate) fn catalog(version: u64) -> Arc<QueueCatalog> {
    let rule = QueueRule {
        host: "lookups.example".into(),
        path_prefix: "/stock/".into(),
        service: SERVICE.into(),
        priority: 0,
        max_attempts: 50,
        critical_path_factor: 1.6,
        base_objective_ms: 60,
        timeout_ms: 60_000,
    };
    let other =
        QueueRule { path_prefix: "/maps/".into(), service: OTHER_SERVICE.into(), ..rule.clone() };
    let services = [SERVICE, OTHER_SERVICE].into_iter();
    Arc::new(QueueCatalog {
        version,
        queues: [(QUEUE.into(), rule), (OTHER_QUEUE.into(), other)].into_iter().collect(),
        services: services
            .map(|service| (service.into(), ServiceRule { enforces_capacity: true }))
            .collect(),
        body_limit_bytes: 1_000,
        request_limits: model::RequestLimits::default(),
        document: format!("{{\"version\":{version}}}"),
    })
}

pub(crate) fn job(id: usize, tasks: u32, best_effort: bool) -> Arc<QueuedJob> {
    let size = ResourceAmount { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
    let step = JobStep { count: tasks, size, estimate_ms: 100, ..JobStep::default() };
    Arc::new(QueuedJob {
        id: format!("{id:016x}").into(),
        queue: QUEUE.into(),
        spec: "work".to_owned(),
        steps: vec![step],
        best_effort,
    })
}

struct AgentModel {
    table: RunTable,
    /// Session of each open connection, by scheduler.
    sessions: BTreeMap<usize, u64>,
    /// Calls in transit to the backend server.
    calls: Vec<ServerCall>,
    /// Heartbeats that its backend servers have sent.
    heartbeats: u64,
}

struct SchedulerModel {
    key: SchedulerKey,
    scheduler: Scheduler,
    /// Agent and connection by link; a link has the number of its session.
    links: BTreeMap<u64, (usize, LinkModel)>,
    /// Agents whose next orders are lost together with the connection.
    lose_orders: BTreeSet<usize>,
    /// Whether messages of agents are lost on their way.
    loses_reports: bool,
}

/// The reply to a job call, if there is one yet.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CallStatus {
    Pending,
    Reply(JobReply),
}

/// A message on its way over an open connection.
enum SentMessage {
    /// Orders of a scheduler, over a link.
    Orders(usize, u64, AgentOrders),
    /// Report of an agent to a scheduler.
    Report(usize, SchedulerKey, AgentReport),
}

/// What waits for an agent that stands still.
enum HeldInput {
    /// Orders of a scheduler, over a link.
    Orders(usize, u64, AgentOrders),
    Heartbeat(ServerHeartbeat),
}

/// What waits for an entry that stands still.
#[derive(Default)]
struct EntryBacklog {
    messages: Vec<(u64, NumberedMessage)>,
    lost_links: Vec<u64>,
}

/// One control scheduler, entry schedulers, and agents with a backend server each.
pub(crate) struct ScheduleModel {
    pub(crate) now: Instant,
    /// Run time of every task; the estimate is 100 ms.
    pub(crate) run_time: Duration,
    /// How long callers of best-effort jobs wait.
    pub(crate) caller_wait: Duration,
    /// Which jobs entries refuse.
    admission: AdmissionRule,
    schedulers: Vec<SchedulerModel>,
    agents: Vec<AgentModel>,
    servers: Vec<ServerModel>,
    /// Backend servers of [`OTHER_SERVICE`].
    other_servers: BTreeSet<usize>,
    /// Failure domains of backend servers that are not in [`DOMAIN`].
    domains: BTreeMap<usize, &'static str>,
    /// Evacuated failure domains, and when that was committed.
    evacuated: BTreeMap<String, Instant>,
    /// Backend servers that drain.
    draining_servers: BTreeSet<usize>,
    /// Backend servers that are gone for good.
    lost_servers: BTreeSet<usize>,
    /// Backend servers whose process has ended; their addresses refuse connections.
    ended_servers: BTreeSet<usize>,
    /// Agents that stand still, and what waits for them.
    frozen_agents: BTreeMap<usize, Vec<HeldInput>>,
    /// Entries that stand still, and what waits for them.
    frozen_entries: BTreeMap<usize, EntryBacklog>,
    /// Messages between schedulers and agents, oldest first.
    in_transit: VecDeque<SentMessage>,
    /// Whether these are being delivered.
    is_delivering: bool,
    /// Calls that timed out at the agent and may still reach the backend server.
    delayed: Vec<(usize, ServerCall)>,
    job_store: JobStore,
    proposals: Vec<Command>,
    /// Index of the last committed record.
    index: u64,
    term: u64,
    /// Last id of a call or session.
    last_call: u64,
    last_generation: u64,
    pub(crate) replies: BTreeMap<u64, CallStatus>,
    /// Number of starts of each task.
    pub(crate) starts: BTreeMap<TaskName, usize>,
    /// Number of starts at each backend server, over all of its lives.
    server_starts: BTreeMap<usize, usize>,
    /// Time of the latest start of each task.
    latest_starts: BTreeMap<TaskName, Instant>,
    /// Time of the first successful end of each task that counts.
    counted_done: BTreeMap<TaskName, Instant>,
    /// Tasks whose successful end is committed.
    done: BTreeSet<TaskName>,
    /// Ids of the submitted jobs that control stores.
    stored: BTreeSet<String>,
    /// Log of the run, printed when a check fails.
    events: Vec<String>,
}

impl ScheduleModel {
    /// Creates control as scheduler 0 and entries from 1 on, and a backend server
    /// for each agent; runs until all are connected and agents grant claims.
    pub(crate) fn new(entries: usize, agents: usize) -> ScheduleModel {
        ScheduleModel::with_admission(entries, agents, AdmissionRule::Backlog)
    }

    /// The same, with entries that refuse jobs by this rule.
    pub(crate) fn with_admission(
        entries: usize,
        agents: usize,
        admission: AdmissionRule,
    ) -> ScheduleModel {
        let now = Instant::now();
        let mut model = ScheduleModel {
            now,
            run_time: RUN_TIME,
            caller_wait: CALLER_WAIT,
            admission,
            schedulers: Vec::new(),
            agents: Vec::new(),
            servers: Vec::new(),
            other_servers: BTreeSet::new(),
            domains: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            draining_servers: BTreeSet::new(),
            lost_servers: BTreeSet::new(),
            ended_servers: BTreeSet::new(),
            frozen_agents: BTreeMap::new(),
            frozen_entries: BTreeMap::new(),
            in_transit: VecDeque::new(),
            is_delivering: false,
            delayed: Vec::new(),
            job_store: JobStore::default(),
            proposals: Vec::new(),
            index: 0,
            term: 1,
            last_call: 0,
            last_generation: 0,
            replies: BTreeMap::new(),
            starts: BTreeMap::new(),
            server_starts: BTreeMap::new(),
            latest_starts: BTreeMap::new(),
            counted_done: BTreeMap::new(),
            done: BTreeSet::new(),
            stored: BTreeSet::new(),
            events: Vec::new(),
        };
        model.add_scheduler(SchedulerKey::Control);
        for number in 0..entries {
            model.add_scheduler(SchedulerKey::Entry(format!("entry-{number}").into()));
        }
        for number in 0..agents {
            model.last_generation += 1;
            model.servers.push(ServerModel::new(now, model.last_generation, SERVER_SLOTS));
            model.agents.push(AgentModel {
                table: RunTable::new(now, format!("agent-{number}").into(), 1, run_limits()),
                sessions: BTreeMap::new(),
                calls: Vec::new(),
                heartbeats: 0,
            });
        }
        model.propose(vec![Command::SetCatalog { catalog: catalog(1) }]);
        model.commit();
        model.become_leader();
        for agent in 0..agents {
            model.heartbeat(agent);
        }
        model.run_fault_free(START_ROUNDS);
        model
    }

    fn add_scheduler(&mut self, key: SchedulerKey) {
        let kind = match key {
            SchedulerKey::Control => SchedulerKind::Control,
            SchedulerKey::Entry(_) => SchedulerKind::Entry,
        };
        let limits = ScheduleLimits { admission: self.admission, ..schedule_limits(kind) };
        let mut scheduler = Scheduler::new(self.now, kind, limits);
        if kind == SchedulerKind::Entry {
            scheduler.on_catalog(&catalog(1));
        }
        let (links, lose_orders) = (BTreeMap::new(), BTreeSet::new());
        let loses_reports = false;
        let node = SchedulerModel { key, scheduler, links, lose_orders, loses_reports };
        self.schedulers.push(node);
    }

    fn propose(&mut self, commands: Vec<Command>) {
        self.proposals.extend(commands);
    }

    /// Commits and applies all pending proposals.
    pub(crate) fn commit(&mut self) {
        let commands = std::mem::take(&mut self.proposals);
        let mut records = Vec::new();
        for command in commands {
            self.index += 1;
            let record = LogRecord { index: self.index, term: self.term, at_ms: 0, command };
            self.job_store.apply(&record);
            match &record.command {
                Command::SetEvacuation { domain, is_evacuated: true } => {
                    self.evacuated.entry(domain.to_string()).or_insert(self.now);
                }
                Command::SetEvacuation { domain, is_evacuated: false } => {
                    self.evacuated.remove(domain.as_str());
                }
                _ => {}
            }
            self.events.push(format!("{:?} committed {:?}", self.now, record.command));
            records.push(record);
        }
        let now = self.now;
        self.schedulers[0].scheduler.on_applied(now, &records);
        self.settle_scheduler(0);
    }

    /// Carries out what follows from a scheduler's inputs.
    fn settle_scheduler(&mut self, number: usize) {
        let steps = self.schedulers[number].scheduler.settle(self.now);
        self.apply_schedule_steps(number, steps);
    }

    /// Commits a command at once, as the log of an earlier version may hold it.
    pub(crate) fn commit_command(&mut self, command: Command) {
        self.propose(vec![command]);
        self.commit();
    }

    /// Commits a catalog, which the entries learn of at once.
    pub(crate) fn change_catalog(&mut self, catalog: QueueCatalog) {
        let catalog = Arc::new(catalog);
        self.commit_command(Command::SetCatalog { catalog: catalog.clone() });
        for number in 1..self.schedulers.len() {
            self.schedulers[number].scheduler.on_catalog(&catalog);
            self.settle_scheduler(number);
        }
    }

    /// Calls a scheduler about a job that it answers at once.
    pub(crate) fn ask(&mut self, scheduler: usize, call: &JobCall) -> JobReply {
        self.last_call += 1;
        let id = self.last_call;
        match self.schedulers[scheduler].scheduler.on_job_call(self.now, id, call) {
            JobDecision::Reply(reply) => reply,
            decision => panic!("{call:?} is not answered: {decision:?}"),
        }
    }

    /// Elects another leader, which knows only the committed state. Pending
    /// proposals are lost.
    pub(crate) fn change_leader(&mut self) {
        self.proposals.clear();
        self.term += 1;
        let limits = schedule_limits(SchedulerKind::Control);
        let mut scheduler = Scheduler::new(self.now, SchedulerKind::Control, limits);
        scheduler.on_restored(self.job_store.state());
        self.schedulers[0].scheduler = scheduler;
        self.schedulers[0].links.clear();
        for agent in 0..self.agents.len() {
            self.disconnect(0, agent);
        }
        self.become_leader();
    }

    fn become_leader(&mut self) {
        let (now, term) = (self.now, self.term);
        self.schedulers[0].scheduler.on_leadership(now, Some(term));
        self.settle_scheduler(0);
    }

    /// Restarts an entry without its state; its callers' calls are lost.
    pub(crate) fn restart_entry(&mut self, number: usize) {
        self.last_generation += 1;
        let incarnation = self.last_generation;
        let limits = ScheduleLimits {
            incarnation,
            admission: self.admission,
            ..schedule_limits(SchedulerKind::Entry)
        };
        let mut scheduler = Scheduler::new(self.now, SchedulerKind::Entry, limits);
        scheduler.on_catalog(&catalog(1));
        self.schedulers[number].scheduler = scheduler;
        self.schedulers[number].links.clear();
        for agent in 0..self.agents.len() {
            self.disconnect(number, agent);
        }
    }

    /// Restarts an agent without its state; its calls stay in transit.
    pub(crate) fn restart_agent(&mut self, agent: usize) {
        self.frozen_agents.remove(&agent);
        let incarnation = self.agents[agent].heartbeats + 2;
        let name = format!("agent-{agent}").into();
        let calls = std::mem::take(&mut self.agents[agent].calls);
        self.delayed.extend(calls.into_iter().map(|call| (agent, call)));
        for number in 0..self.schedulers.len() {
            self.schedulers[number].links.retain(|_, (owner, _)| *owner != agent);
        }
        self.agents[agent].table = RunTable::new(self.now, name, incarnation, run_limits());
        self.agents[agent].sessions.clear();
    }

    /// Tells an agent that its backend server leaves. The server goes on as before.
    pub(crate) fn leave_server(&mut self, server: usize) {
        let instance = self.servers[server].instance().into();
        let steps = self.agents[server].table.on_leave(self.now, &instance);
        self.apply_run_steps(server, steps);
    }

    /// Ends the process of a backend server, with its runs; connections to it are refused
    /// until [`ScheduleModel::crash_server`] starts the next one.
    pub(crate) fn end_server(&mut self, server: usize) {
        self.servers[server].runs.clear();
        self.ended_servers.insert(server);
    }

    /// Crashes a backend server, which restarts at once as a new generation.
    pub(crate) fn crash_server(&mut self, server: usize) {
        self.ended_servers.remove(&server);
        self.last_generation += 1;
        self.servers[server] = ServerModel::new(self.now, self.last_generation, SERVER_SLOTS);
        self.record_life(server);
    }

    fn record_life(&mut self, server: usize) {
        let generation = self.servers[server].generation;
        self.events
            .push(format!("{:?} server{server} starts as generation {generation}", self.now));
    }

    /// Ends a backend server for good, with its runs; nothing reaches it any more, and its
    /// agent runs on.
    pub(crate) fn lose_server(&mut self, server: usize) {
        self.servers[server].runs.clear();
        self.lost_servers.insert(server);
    }

    /// Crashes a backend server, which starts again at once under its id.
    pub(crate) fn restart_server(&mut self, server: usize) {
        self.last_generation += 1;
        self.servers[server] = self.servers[server].reborn(self.now, self.last_generation);
        self.record_life(server);
    }

    /// Sends the heartbeat of a backend server to its agent.
    pub(crate) fn heartbeat(&mut self, agent: usize) {
        if self.lost_servers.contains(&agent) || self.ended_servers.contains(&agent) {
            return;
        }
        self.agents[agent].heartbeats += 1;
        let heartbeat = self.heartbeat_of(agent);
        if let Some(held) = self.frozen_agents.get_mut(&agent) {
            return held.push(HeldInput::Heartbeat(heartbeat));
        }
        let steps = self.agents[agent].table.on_heartbeat(self.now, &heartbeat);
        self.apply_run_steps(agent, steps);
    }

    /// Lets a backend server take any number of runs at a time.
    pub(crate) fn lift_slots(&mut self, server: usize) {
        self.servers[server].slots = usize::MAX;
    }

    /// Makes a backend server refuse all starts as unhealthy, or accept them again.
    pub(crate) fn set_shedding(&mut self, server: usize, sheds: bool) {
        self.servers[server].sheds = sheds;
    }

    /// Lets a backend server serve [`OTHER_SERVICE`] from now on.
    pub(crate) fn serve_other(&mut self, agent: usize) {
        self.other_servers.insert(agent);
        self.heartbeat(agent);
        self.run_fault_free(10);
    }

    /// Moves a backend server to another failure domain.
    pub(crate) fn set_domain(&mut self, agent: usize, domain: &'static str) {
        self.domains.insert(agent, domain);
        self.heartbeat(agent);
        self.run_fault_free(1);
    }

    /// Makes a backend server drain.
    pub(crate) fn drain_server(&mut self, server: usize) {
        self.draining_servers.insert(server);
        self.heartbeat(server);
        self.run_fault_free(1);
    }

    /// Tells the entries which domains are evacuated, as their watch at control does.
    pub(crate) fn tell_entries(&mut self) {
        let list = self.schedulers[0].scheduler.evacuation_since(0);
        for number in 1..self.schedulers.len() {
            if let Some(list) = &list {
                self.schedulers[number].scheduler.on_evacuation(list);
            }
            self.settle_scheduler(number);
        }
    }

    /// Makes an agent stand still. Its calls stay in transit.
    pub(crate) fn freeze_agent(&mut self, agent: usize) {
        self.frozen_agents.entry(agent).or_default();
    }

    /// Suspends the host of an agent, and its backend server with it. Calls between the two
    /// stay in transit.
    pub(crate) fn suspend_host(&mut self, agent: usize) {
        self.servers[agent].suspend(self.now);
        self.freeze_agent(agent);
    }

    /// Lets the host of an agent go on. The agent handles its timeouts first.
    pub(crate) fn resume_host(&mut self, agent: usize) {
        self.servers[agent].resume(self.now);
        let held = self.frozen_agents.remove(&agent).unwrap_or_default();
        let steps = self.agents[agent].table.on_tick(self.now);
        self.apply_run_steps(agent, steps);
        self.handle_held(agent, held);
    }

    /// Lets an agent go on; what waited for it is handled in order.
    pub(crate) fn thaw_agent(&mut self, agent: usize) {
        let held = self.frozen_agents.remove(&agent).unwrap_or_default();
        self.handle_held(agent, held);
    }

    fn handle_held(&mut self, agent: usize, held: Vec<HeldInput>) {
        for input in held {
            match input {
                HeldInput::Orders(number, link, orders) => {
                    self.deliver_orders(number, link, orders);
                }
                HeldInput::Heartbeat(heartbeat) => {
                    let steps = self.agents[agent].table.on_heartbeat(self.now, &heartbeat);
                    self.apply_run_steps(agent, steps);
                }
            }
        }
    }

    /// Makes an entry stand still. Agents whose messages it leaves unanswered close their
    /// connections.
    pub(crate) fn freeze_entry(&mut self, number: usize) {
        self.frozen_entries.entry(number).or_default();
    }

    /// Lets an entry go on. It handles what has arrived over open connections before it
    /// learns which others were closed: they are read in any order.
    pub(crate) fn thaw_entry(&mut self, number: usize) {
        let backlog = self.frozen_entries.remove(&number).unwrap_or_default();
        let now = self.now;
        for (link, message) in backlog.messages {
            if self.schedulers[number].links.contains_key(&link) {
                self.schedulers[number].scheduler.on_agent_message(now, link, &message);
            }
        }
        self.settle_scheduler(number);
        for link in backlog.lost_links {
            self.schedulers[number].scheduler.on_link_lost(now, link);
        }
        self.settle_scheduler(number);
    }

    /// Closes the connections whose messages an entry that stands still leaves unanswered.
    fn close_silent_links(&mut self, number: usize) {
        let links = self.schedulers[number].links.values();
        let is_silent = |open: &LinkModel| {
            open.unacked_since().is_some_and(|since| since + ACK_TIMEOUT <= self.now)
        };
        let silent: Vec<usize> =
            links.filter(|(_, open)| is_silent(open)).map(|(agent, _)| *agent).collect();
        for agent in silent {
            self.disconnect(number, agent);
        }
    }

    pub(crate) fn is_frozen(&self, agent: usize) -> bool {
        self.frozen_agents.contains_key(&agent)
    }

    /// Sends the agent a heartbeat of an instance that does not run there.
    pub(crate) fn foreign_heartbeat(&mut self, agent: usize, generation: u64) {
        let mut heartbeat = self.heartbeat_of(agent);
        heartbeat.instance = "i-foreign".into();
        heartbeat.generation = generation;
        heartbeat.view.life = format!("i-foreign/{generation}").into();
        let steps = self.agents[agent].table.on_heartbeat(self.now, &heartbeat);
        self.apply_run_steps(agent, steps);
    }

    fn heartbeat_of(&self, agent: usize) -> ServerHeartbeat {
        let server = &self.servers[agent];
        let service = if self.other_servers.contains(&agent) { OTHER_SERVICE } else { SERVICE };
        ServerHeartbeat {
            view: ServerView {
                life: life_id(&server.instance().into(), server.generation),
                service: service.into(),
                domain: self.domains.get(&agent).copied().unwrap_or(DOMAIN).into(),
                capacity: ResourceAmount {
                    cpu_milli: SERVER_CPU_MILLI,
                    memory_mb: 1_000,
                    accelerators: 0,
                },
                labels: vec!["rack-1".into()],
                draining: self.draining_servers.contains(&agent),
            },
            address: ([127, 0, 0, 1], 9_000).into(),
            instance: server.instance().into(),
            generation: server.generation,
            sequence: self.agents[agent].heartbeats,
            clock: Some(server.clock(self.now)),
        }
    }

    /// Opens a connection unless there is one.
    pub(crate) fn connect(&mut self, scheduler: usize, agent: usize) {
        if self.agents[agent].sessions.contains_key(&scheduler) {
            return;
        }
        self.last_call += 1;
        self.agents[agent].sessions.insert(scheduler, self.last_call);
        let link = LinkModel::new(self.now);
        self.schedulers[scheduler].links.insert(self.last_call, (agent, link));
        let key = self.schedulers[scheduler].key.clone();
        let steps = self.agents[agent].table.on_opened(self.now, key, self.last_call);
        self.apply_run_steps(agent, steps);
    }

    /// Breaks a connection; messages in transit are lost.
    pub(crate) fn disconnect(&mut self, scheduler: usize, agent: usize) {
        let Some(session) = self.agents[agent].sessions.remove(&scheduler) else { return };
        self.schedulers[scheduler].links.remove(&session);
        if let Some(backlog) = self.frozen_entries.get_mut(&scheduler) {
            backlog.lost_links.push(session);
        }
        let key = self.schedulers[scheduler].key.clone();
        let steps = self.agents[agent].table.on_closed(self.now, &key, session);
        self.apply_run_steps(agent, steps);
    }

    /// Breaks a connection, and tells the scheduler.
    pub(crate) fn lose_link(&mut self, scheduler: usize, agent: usize) {
        let session = self.agents[agent].sessions.get(&scheduler).copied();
        self.disconnect(scheduler, agent);
        if let Some(link) = session {
            self.schedulers[scheduler].scheduler.on_link_lost(self.now, link);
        }
    }

    /// Loses the next orders to an agent together with the connection.
    pub(crate) fn lose_orders(&mut self, scheduler: usize, agent: usize) {
        self.schedulers[scheduler].lose_orders.insert(agent);
    }

    /// Loses the messages of agents to a scheduler on their way.
    pub(crate) fn lose_reports(&mut self, scheduler: usize) {
        self.schedulers[scheduler].loses_reports = true;
    }

    /// Delivers the messages of agents to a scheduler again.
    pub(crate) fn receive_reports(&mut self, scheduler: usize) {
        self.schedulers[scheduler].loses_reports = false;
    }

    /// Submits a job to a scheduler, with a caller that waits 1.5 s; returns the id of
    /// the call.
    pub(crate) fn submit(&mut self, scheduler: usize, job: Arc<QueuedJob>) -> u64 {
        self.last_call += 1;
        let call = self.last_call;
        if !job.best_effort {
            self.stored.insert(job.id.to_string());
        }
        let job_call = JobCall::Submit { job, wait_ms: self.caller_wait.as_millis() as u64 };
        let decision = self.schedulers[scheduler].scheduler.on_job_call(self.now, call, &job_call);
        let reply = match decision {
            JobDecision::Reply(reply) => CallStatus::Reply(reply),
            JobDecision::Wait | JobDecision::NotLeader => CallStatus::Pending,
            JobDecision::Commit(command) => {
                self.propose(vec![command]);
                CallStatus::Pending
            }
        };
        self.replies.insert(call, reply);
        self.settle_scheduler(scheduler);
        call
    }

    /// Disconnects the caller of a best-effort job, which submits it again at once: the
    /// scheduler learns of both together. Returns the id of the call.
    pub(crate) fn abandon_and_submit(
        &mut self,
        scheduler: usize,
        call: u64,
        job: Arc<QueuedJob>,
    ) -> u64 {
        self.schedulers[scheduler].scheduler.on_abandoned(self.now, call);
        self.submit(scheduler, job)
    }

    /// Disconnects the caller of a best-effort job.
    pub(crate) fn abandon(&mut self, scheduler: usize, call: u64) {
        self.schedulers[scheduler].scheduler.on_abandoned(self.now, call);
        self.settle_scheduler(scheduler);
    }

    fn apply_schedule_steps(&mut self, number: usize, steps: Vec<ScheduleStep>) {
        for step in steps {
            match step {
                ScheduleStep::Propose(commands) => self.propose(commands),
                ScheduleStep::Orders { link, orders } => {
                    self.in_transit.push_back(SentMessage::Orders(number, link, *orders));
                }
                ScheduleStep::CloseLink { link } => {
                    let open = self.schedulers[number].links.get(&link);
                    if let Some(agent) = open.map(|(agent, _)| *agent) {
                        self.disconnect(number, agent);
                    }
                }
                ScheduleStep::JobEnd { call, reply } => {
                    self.replies.insert(call, CallStatus::Reply(reply));
                }
                ScheduleStep::Log(line) => {
                    self.events.push(format!("{:?} s{number} {line:?}", self.now))
                }
            }
        }
        self.deliver_sent();
    }

    /// Delivers the messages in transit, in the order in which they were sent.
    fn deliver_sent(&mut self) {
        if std::mem::replace(&mut self.is_delivering, true) {
            return;
        }
        while let Some(message) = self.in_transit.pop_front() {
            match message {
                SentMessage::Orders(number, link, orders) => {
                    self.deliver_orders(number, link, orders);
                }
                SentMessage::Report(agent, key, report) => {
                    self.deliver_report(agent, &key, report);
                }
            }
        }
        self.is_delivering = false;
    }

    /// Delivers orders over a connection; they are lost if it is closed.
    fn deliver_orders(&mut self, number: usize, link: u64, orders: AgentOrders) {
        let scheduler = &mut self.schedulers[number];
        let Some((agent, open)) = scheduler.links.get_mut(&link) else { return };
        let agent = *agent;
        if scheduler.lose_orders.remove(&agent) {
            return self.disconnect(number, agent);
        }
        if let Some(held) = self.frozen_agents.get_mut(&agent) {
            return held.push(HeldInput::Orders(number, link, orders));
        }
        let reports = open.on_ack(orders.received);
        let (key, sent_at) = (scheduler.key.clone(), open.acked_at());
        let table = &mut self.agents[agent].table;
        let mut steps = table.on_reports_acked(self.now, &key, link, reports);
        steps.extend(table.on_orders(self.now, &key, link, sent_at, orders));
        self.apply_run_steps(agent, steps);
    }

    /// Sends a message of an agent over its open connection to a scheduler.
    fn send_message(&mut self, number: usize, link: u64, message: AgentMessage) {
        let now = self.now;
        let Some((_, open)) = self.schedulers[number].links.get_mut(&link) else { return };
        let message = open.send(now, message);
        if self.schedulers[number].loses_reports {
            return;
        }
        if let Some(backlog) = self.frozen_entries.get_mut(&number) {
            return backlog.messages.push((link, message));
        }
        self.schedulers[number].scheduler.on_agent_message(now, link, &message);
        self.settle_scheduler(number);
    }

    fn send_heartbeats(&mut self, number: usize) {
        let node = &self.schedulers[number];
        let links = node.links.iter();
        let due: Vec<(u64, usize)> = links
            .filter(|(_, (agent, open))| {
                !self.is_frozen(*agent)
                    && open.heartbeat_due(self.now, self.agents[*agent].table.is_active(&node.key))
            })
            .map(|(link, (agent, _))| (*link, *agent))
            .collect();
        for (link, agent) in due {
            let heartbeat = AgentHeartbeat {
                agent: format!("agent-{agent}").into(),
                incarnation: self.incarnation(agent),
                session: link,
            };
            self.send_message(number, link, AgentMessage::Heartbeat(heartbeat));
        }
    }

    fn incarnation(&self, agent: usize) -> u64 {
        self.agents[agent].table.incarnation()
    }

    fn apply_run_steps(&mut self, agent: usize, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => self.agents[agent].calls.push(call),
                RunStep::Report(key, report) => {
                    self.in_transit.push_back(SentMessage::Report(agent, key, report));
                }
                RunStep::Log(line) => self.events.push(format!("{:?} a{agent} {line:?}", self.now)),
                RunStep::SetActive(..) | RunStep::Connect(_) => {}
            }
        }
        self.deliver_sent();
    }

    fn deliver_report(&mut self, agent: usize, key: &SchedulerKey, report: AgentReport) {
        let position = self.schedulers.iter().position(|scheduler| scheduler.key == *key);
        let Some(number) = position else { return };
        if self.agents[agent].sessions.get(&number) != Some(&report.session) {
            return;
        }
        let link = report.session;
        self.send_message(number, link, AgentMessage::Report(Box::new(report)));
    }

    /// Executes a call at the backend server; the agent gets the answer unless it
    /// is lost.
    pub(crate) fn deliver(&mut self, agent: usize, position: usize, lose_answer: bool) {
        if position >= self.agents[agent].calls.len() {
            return;
        }
        if self.lost_servers.contains(&agent) {
            return self.delay(agent, position);
        }
        let call = self.agents[agent].calls.remove(position);
        if self.ended_servers.contains(&agent) {
            return self.deliver_answer(agent, &call, None, ServerAnswer::ConnectionRefused);
        }
        let answer = self.execute_call(agent, &call);
        let clock = Some((self.servers[agent].clock(self.now), self.now));
        let (answer, clock) =
            if lose_answer { (ServerAnswer::NoAnswer, None) } else { (answer, clock) };
        // Only lists name the life that they are of.
        if let (ServerAnswer::Lists { .. }, Some(_)) = (&answer, clock) {
            let generation = Some(self.servers[agent].generation);
            let table = &mut self.agents[agent].table;
            let steps = table.on_generation(self.now, &call, clock, generation);
            self.apply_run_steps(agent, steps);
        }
        self.deliver_answer(agent, &call, clock, answer);
    }

    /// Whether an agent's call in transit is to stop a run.
    pub(crate) fn is_stop(&self, agent: usize, position: usize) -> bool {
        let call = self.agents[agent].calls.get(position);
        call.is_some_and(|call| matches!(call.request, ServerRequest::Stop { .. }))
    }

    /// Times a call out at the agent; it may be executed later.
    pub(crate) fn delay(&mut self, agent: usize, position: usize) {
        if position >= self.agents[agent].calls.len() {
            return;
        }
        let call = self.agents[agent].calls.remove(position);
        self.delayed.push((agent, call.clone()));
        self.deliver_answer(agent, &call, None, ServerAnswer::NoAnswer);
    }

    /// Executes a call that has timed out at the agent.
    pub(crate) fn deliver_delayed(&mut self, position: usize) {
        if position < self.delayed.len() {
            let (server, call) = self.delayed.remove(position);
            if self.ended_servers.contains(&server) {
                return;
            }
            self.execute_call(server, &call);
        }
    }

    fn deliver_answer(
        &mut self,
        agent: usize,
        call: &ServerCall,
        clock: Option<(Duration, Instant)>,
        answer: ServerAnswer,
    ) {
        let steps = self.agents[agent].table.on_answer(self.now, call, clock, answer);
        self.apply_run_steps(agent, steps);
    }

    fn execute_call(&mut self, server: usize, call: &ServerCall) -> ServerAnswer {
        let before = self.servers[server].runs.len();
        self.events.push(format!(
            "{:?} server{server} {:?} fence {} of {}",
            self.now, call.request, call.fence, self.servers[server].fence
        ));
        let answer = self.servers[server].handle_call(self.now, call, self.run_time);
        if self.servers[server].runs.len() > before
            && let ServerRequest::Start { run, .. } = &call.request
        {
            *self.server_starts.entry(server).or_insert(0) += 1;
            self.check_domain(server, &run.task);
            self.check_start(&run.task);
        }
        self.check_counted(server);
        answer
    }

    /// Checks that no task of a stored job has started after a successful end that counts: it
    /// was acknowledged under the lease in which the run ended, then or later.
    fn check_counted(&mut self, server: usize) {
        for (task, ended_at) in std::mem::take(&mut self.servers[server].counted_done) {
            let earliest = self.counted_done.entry(task).or_insert(ended_at);
            *earliest = ended_at.min(*earliest);
        }
        for (task, ended_at) in &self.counted_done {
            let started = self.latest_starts.get(task);
            assert!(
                !self.stored.contains(task.job.as_str())
                    || started.is_none_or(|started| started <= ended_at),
                "{task} started after an end that counts\n{}",
                self.event_trace(&task.job)
            );
        }
    }

    /// Checks that a task which has just started is not in an evacuated domain.
    fn check_domain(&self, server: usize, task: &TaskName) {
        let domain = self.domains.get(&server).copied().unwrap_or(DOMAIN);
        let since = self.evacuated.get(domain);
        assert!(
            since.is_none_or(|since| self.now < *since + EVACUATION_TIME),
            "{task} started at server{server} in the evacuated domain {domain}\n{}",
            self.event_trace(&task.job)
        );
    }

    /// Checks that a task that has just started runs once at a time, and that a
    /// stored job's task doesn't start once its end is recorded.
    fn check_start(&mut self, task: &TaskName) {
        *self.starts.entry(task.clone()).or_insert(0) += 1;
        self.latest_starts.insert(task.clone(), self.now);
        let runs = self.servers.iter().flat_map(|server| server.runs.values());
        let running = runs.filter(|(run, _)| run.task == *task).count();
        assert!(
            running <= 1,
            "{task} runs {running} times at once\n{}",
            self.event_trace(&task.job)
        );
        let lapsed = self.servers.iter().any(|server| server.lapsed_tasks.contains(task));
        if self.stored.contains(task.job.as_str()) && !lapsed {
            assert!(
                !self.done.contains(task),
                "{task} started after its end was recorded\n{}",
                self.event_trace(&task.job)
            );
        }
    }

    /// The events that concern a job, with all takeovers and sessions.
    pub(crate) fn event_trace(&self, job: &str) -> String {
        let related = self.events.iter().filter(|event| {
            event.contains(job)
                || event.contains("takeover")
                || event.contains("session")
                || event.contains("agent_lost")
                || event.contains("generation")
        });
        related.cloned().collect::<Vec<_>>().join("\n")
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
        for server in &mut self.servers {
            server.advance(self.now);
        }
        for agent in
            (0..self.agents.len()).filter(|agent| !self.is_frozen(*agent)).collect::<Vec<_>>()
        {
            let steps = self.agents[agent].table.on_tick(self.now);
            self.apply_run_steps(agent, steps);
        }
        for number in 0..self.schedulers.len() {
            self.send_heartbeats(number);
            if self.frozen_entries.contains_key(&number) {
                self.close_silent_links(number);
                continue;
            }
            self.schedulers[number].scheduler.on_idle(self.now);
            self.settle_scheduler(number);
        }
        self.record_done();
    }

    fn record_done(&mut self) {
        for (id, record) in self.job_store.jobs() {
            for (step, index) in &record.done {
                let task = TaskName { job: id.clone(), occurrence: 0, step: *step, index: *index };
                self.done.insert(task);
            }
        }
    }

    /// Runs a round of 30 ms without faults, but that an agent is cut off from control.
    pub(crate) fn step_cut(&mut self, cut: usize) {
        self.disconnect(0, cut);
        self.run_round_with(|_| false, |scheduler, agent| scheduler == 0 && agent == cut);
    }

    /// Runs rounds of 30 ms in which all are connected and every call arrives.
    pub(crate) fn run_fault_free(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.run_round(|_| false);
        }
    }

    /// Runs a round of 30 ms without faults, but that an agent's host is suspended.
    pub(crate) fn step_suspended(&mut self, suspended: usize) {
        self.run_round(|agent| agent == suspended);
    }

    fn run_round(&mut self, is_suspended: impl Fn(usize) -> bool) {
        self.run_round_with(is_suspended, |_, _| false);
    }

    /// Runs a round. `is_suspended` is of an agent's host, `is_cut` of the connection between a
    /// scheduler and an agent.
    fn run_round_with(
        &mut self,
        is_suspended: impl Fn(usize) -> bool,
        is_cut: impl Fn(usize, usize) -> bool,
    ) {
        for agent in (0..self.agents.len()).filter(|agent| !is_suspended(*agent)) {
            for scheduler in 0..self.schedulers.len() {
                if !is_cut(scheduler, agent) {
                    self.connect(scheduler, agent);
                }
            }
            self.heartbeat(agent);
            for _ in 0..self.agents[agent].calls.len() {
                self.deliver(agent, 0, false);
            }
        }
        self.commit();
        self.advance(Duration::from_millis(30));
    }

    /// Delivers all delayed calls, then runs without faults until every lease and
    /// grant from before has expired.
    pub(crate) fn settle(&mut self) {
        while !self.delayed.is_empty() {
            self.deliver_delayed(0);
        }
        for server in &mut self.servers {
            server.advance(self.now);
        }
        self.run_fault_free(400);
    }

    /// How a stored job ended, by the committed state.
    pub(crate) fn stored_phase(&self, job: &QueuedJob) -> Option<JobPhase> {
        self.job_store.job(&job.id).and_then(|record| record.ended)
    }

    pub(crate) fn is_stored(&self, job: &QueuedJob) -> bool {
        self.job_store.job(&job.id).is_some()
    }

    /// The number of an agent's calls in transit to its backend server.
    pub(crate) fn calls_in_transit(&self, agent: usize) -> usize {
        self.agents[agent].calls.len()
    }

    /// The number of calls that have timed out and may still be executed.
    pub(crate) fn delayed_calls(&self) -> usize {
        self.delayed.len()
    }

    /// The number of steps with tasks that wait at a scheduler.
    pub(crate) fn waiting_steps(&self, scheduler: usize) -> usize {
        self.schedulers[scheduler].scheduler.waiting_steps()
    }

    /// The work of a scheduler since the last call.
    pub(crate) fn take_counts(&mut self, scheduler: usize) -> LoadCounts {
        self.schedulers[scheduler].scheduler.take_counts()
    }

    /// The number of ends that backend servers still list, since they were not
    /// acknowledged.
    pub(crate) fn unacked_ends(&self) -> usize {
        self.servers.iter().map(|server| server.unacked_ends.len()).sum()
    }

    /// The number of running tasks on all backend servers.
    pub(crate) fn running(&self) -> usize {
        self.servers.iter().map(|server| server.runs.len()).sum()
    }

    /// The number of starts at a backend server, over all of its lives.
    pub(crate) fn starts_at(&self, server: usize) -> usize {
        self.server_starts.get(&server).copied().unwrap_or_default()
    }

    /// The number of running tasks on a backend server.
    pub(crate) fn running_at(&self, server: usize) -> usize {
        self.servers[server].runs.len()
    }

    /// The number of evacuated agents that the control scheduler counts.
    pub(crate) fn evacuated_agents(&self) -> usize {
        self.schedulers[0].scheduler.evacuated_agents()
    }

    /// The number of backend servers with running tasks.
    pub(crate) fn servers_in_use(&self) -> usize {
        self.servers.iter().filter(|server| !server.runs.is_empty()).count()
    }
}
