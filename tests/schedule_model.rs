//! Schedulers, agents and backend servers as pure state, with calls that a
//! test loses, delays and doubles, and the checks that hold after every step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::agent::{RunLimits, RunStep, RunTable};
use decisions::control::JobBook;
use decisions::schedule::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
use model::{
    AgentPoll, Command, EndKind, JobCall, JobPhase, JobReply, JobStep, ListedEnd, LogRecord,
    QueueCatalog, QueueRule, QueuedJob, RoomSize, RunNumber, SchedulerKey, ServerAnswer,
    ServerBeat, ServerCall, ServerView, ServerWish, ServiceRule, StartRefusal, TaskName, TaskRun,
};

pub(crate) const LEASE: Duration = Duration::from_millis(1_000);
const ENTRY_GRANT: Duration = Duration::from_millis(1_000);
const CONTROL_GRANT: Duration = Duration::from_millis(4_000);
const SERVER_CORES: u64 = 4_000;
const RUN_TIME: Duration = Duration::from_millis(120);
pub(crate) const SERVICE: &str = "stock";
pub(crate) const QUEUE: &str = "lookups";

pub(crate) fn run_limits() -> RunLimits {
    RunLimits {
        lease: LEASE,
        hold_wait: Duration::from_millis(400),
        hold_gap: Duration::from_millis(15),
        retry_gap: Duration::from_millis(100),
        claim_wait: Duration::from_millis(1_500),
    }
}

pub(crate) fn schedule_limits(kind: SchedulerKind) -> ScheduleLimits {
    ScheduleLimits {
        grant: if kind == SchedulerKind::Entry { ENTRY_GRANT } else { CONTROL_GRANT },
        lease: LEASE,
        poll_wait: Duration::from_millis(350),
        noted_wait: Duration::from_millis(150),
        remote_factor: 1.5,
    }
}

pub(crate) fn catalog(version: u64) -> Arc<QueueCatalog> {
    let rule = QueueRule {
        host: "lookups.example".into(),
        path_prefix: "/stock/".into(),
        service: SERVICE.into(),
        priority: 0,
        most_attempts: 50,
        stretch: 1.6,
        goal_ms: 60,
        timeout_ms: 60_000,
    };
    Arc::new(QueueCatalog {
        version,
        queues: [(QUEUE.into(), rule)].into_iter().collect(),
        services: [(SERVICE.into(), ServiceRule { guards_room: true })].into_iter().collect(),
        body_limit_bytes: 1_000,
        document: format!("{{\"version\":{version}}}"),
    })
}

pub(crate) fn job(id: usize, tasks: u32, best_effort: bool) -> Arc<QueuedJob> {
    let size = RoomSize { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
    let step = JobStep { count: tasks, size, estimate_ms: 100, ..JobStep::default() };
    Arc::new(QueuedJob {
        id: format!("{id:016x}").into(),
        queue: QUEUE.into(),
        spec: "work".to_owned(),
        steps: vec![step],
        best_effort,
    })
}

/// A backend server: what the platform's page says of one, and no more.
struct ServerModel {
    born: Instant,
    life: u64,
    fence: u64,
    lease_until: Duration,
    /// When each run ends by itself.
    runs: BTreeMap<String, (TaskRun, Instant)>,
    highest_over: BTreeMap<TaskName, RunNumber>,
    ended: Vec<ListedEnd>,
    count: u64,
    /// Tasks with an end that was listed when the lease lapsed: by the
    /// platform's rules such an end counts for nothing.
    lapsed_ends: BTreeSet<TaskName>,
}

impl ServerModel {
    fn new(now: Instant, life: u64) -> ServerModel {
        ServerModel {
            born: now,
            life,
            fence: 0,
            lease_until: Duration::ZERO,
            runs: BTreeMap::new(),
            highest_over: BTreeMap::new(),
            ended: Vec::new(),
            count: 0,
            lapsed_ends: BTreeSet::new(),
        }
    }

    fn clock(&self, now: Instant) -> Duration {
        now - self.born
    }

    fn instance(&self) -> String {
        format!("i-{}", self.life)
    }

    fn end(&mut self, name: &str, kind: EndKind) {
        let Some((run, _)) = self.runs.remove(name) else { return };
        self.count += 1;
        let over = self.highest_over.entry(run.task.clone()).or_insert(0);
        *over = (*over).max(run.run);
        self.ended.push(ListedEnd { number: self.count, run, kind });
    }

    fn advance(&mut self, now: Instant) {
        let lapse = self.born + self.lease_until;
        let over: Vec<(String, EndKind)> = self
            .runs
            .iter()
            .filter_map(|(name, (_, at))| match (*at <= now.min(lapse), lapse <= now) {
                (true, _) => Some((name.clone(), EndKind::Done)),
                (false, true) => Some((name.clone(), EndKind::Lapsed)),
                (false, false) => None,
            })
            .collect();
        for (name, kind) in over {
            self.end(&name, kind);
        }
        if lapse <= now {
            self.lapsed_ends.extend(self.ended.iter().map(|end| end.run.task.clone()));
        }
    }

    fn take(&mut self, now: Instant, call: &ServerCall) -> ServerAnswer {
        if call.instance != self.instance() {
            return ServerAnswer::Refused(StartRefusal::Gone);
        }
        if call.fence < self.fence {
            return ServerAnswer::Refused(StartRefusal::Fence);
        }
        self.fence = call.fence;
        let clock = self.clock(now);
        let most = call.lease_until.map(|until| until.min(clock + LEASE));
        self.lease_until = self.lease_until.max(most.unwrap_or_default());
        match &call.wish {
            ServerWish::Start { run, .. } => self.start(now, run, call.lease_until),
            ServerWish::Stop { run } => {
                self.end(&run.to_string(), EndKind::Stopped);
                let over = self.highest_over.entry(run.task.clone()).or_insert(0);
                *over = (*over).max(run.run);
                ServerAnswer::Done
            }
            ServerWish::Hold { noted, .. } => {
                self.ended.retain(|end| end.number > *noted);
                let running = self.runs.values().map(|(run, _)| run.clone()).collect();
                ServerAnswer::Lists { running, ended: self.ended.clone() }
            }
        }
    }

    fn start(&mut self, now: Instant, run: &TaskRun, until: Option<Duration>) -> ServerAnswer {
        let name = run.to_string();
        if self.runs.contains_key(&name) {
            return ServerAnswer::Done;
        }
        if self.highest_over.get(&run.task).is_some_and(|over| run.run <= *over) {
            return ServerAnswer::Refused(StartRefusal::OldRun);
        }
        if until.is_none_or(|until| until <= self.clock(now)) {
            return ServerAnswer::Refused(StartRefusal::Late);
        }
        if (self.runs.len() as u64 + 1) * 1_000 > SERVER_CORES {
            return ServerAnswer::Refused(StartRefusal::Room);
        }
        self.runs.insert(name, (run.clone(), now + RUN_TIME));
        ServerAnswer::Done
    }
}

struct AgentModel {
    table: RunTable,
    sessions: BTreeMap<usize, u64>,
    /// Calls that have not reached the server.
    calls: Vec<ServerCall>,
    beats: u64,
}

struct SchedulerModel {
    key: SchedulerKey,
    scheduler: Scheduler,
    /// Polls that wait: call, agent, when it was asked.
    polls: BTreeMap<u64, (usize, u64, Instant)>,
    /// Orders to this agent are lost with their connection.
    lose_orders: BTreeSet<usize>,
}

/// What a caller was told of a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Told {
    Nothing,
    Reply(JobReply),
}

/// The whole system.
pub(crate) struct ScheduleModel {
    pub(crate) now: Instant,
    schedulers: Vec<SchedulerModel>,
    agents: Vec<AgentModel>,
    servers: Vec<ServerModel>,
    /// Calls whose caller gave up on them; they may yet be carried out.
    late: Vec<(usize, ServerCall)>,
    book: JobBook,
    proposals: Vec<Command>,
    index: u64,
    term: u64,
    calls: u64,
    lives: u64,
    pub(crate) told: BTreeMap<u64, Told>,
    pub(crate) starts: BTreeMap<TaskName, usize>,
    done: BTreeSet<TaskName>,
    stored: BTreeSet<String>,
    notes: Vec<String>,
}

impl ScheduleModel {
    /// Control first, then entries; one backend server for each agent.
    pub(crate) fn new(entries: usize, agents: usize) -> ScheduleModel {
        let now = Instant::now();
        let mut model = ScheduleModel {
            now,
            schedulers: Vec::new(),
            agents: Vec::new(),
            servers: Vec::new(),
            late: Vec::new(),
            book: JobBook::default(),
            proposals: Vec::new(),
            index: 0,
            term: 1,
            calls: 0,
            lives: 0,
            told: BTreeMap::new(),
            starts: BTreeMap::new(),
            done: BTreeSet::new(),
            stored: BTreeSet::new(),
            notes: Vec::new(),
        };
        model.add_scheduler(SchedulerKey::Control);
        for number in 0..entries {
            model.add_scheduler(SchedulerKey::Entry(format!("entry-{number}").into()));
        }
        for number in 0..agents {
            model.lives += 1;
            model.servers.push(ServerModel::new(now, model.lives));
            model.agents.push(AgentModel {
                table: RunTable::new(now, format!("agent-{number}").into(), 1, run_limits()),
                sessions: BTreeMap::new(),
                calls: Vec::new(),
                beats: 0,
            });
        }
        model.propose(vec![Command::SetCatalog { catalog: catalog(1) }]);
        model.commit();
        model.lead();
        for agent in 0..agents {
            model.beat(agent);
        }
        model.calm(40);
        model
    }

    fn add_scheduler(&mut self, key: SchedulerKey) {
        let kind = match key {
            SchedulerKey::Control => SchedulerKind::Control,
            SchedulerKey::Entry(_) => SchedulerKind::Entry,
        };
        let mut scheduler = Scheduler::new(self.now, kind, schedule_limits(kind));
        if kind == SchedulerKind::Entry {
            scheduler.on_catalog(&catalog(1));
        }
        let (polls, lose_orders) = (BTreeMap::new(), BTreeSet::new());
        self.schedulers.push(SchedulerModel { key, scheduler, polls, lose_orders });
    }

    fn propose(&mut self, commands: Vec<Command>) {
        self.proposals.extend(commands);
    }

    /// Commits what was proposed.
    pub(crate) fn commit(&mut self) {
        let commands = std::mem::take(&mut self.proposals);
        let mut records = Vec::new();
        for command in commands {
            self.index += 1;
            let record = LogRecord { index: self.index, term: self.term, at_ms: 0, command };
            self.book.apply(&record);
            self.notes.push(format!("{:?} committed {:?}", self.now, record.command));
            records.push(record);
        }
        let now = self.now;
        let steps = self.schedulers[0].scheduler.on_applied(now, &records);
        self.carry_schedule(0, steps);
    }

    /// The group elects another host: it knows what was committed, nothing
    /// else. What was proposed is lost.
    pub(crate) fn change_leader(&mut self) {
        self.proposals.clear();
        self.term += 1;
        let limits = schedule_limits(SchedulerKind::Control);
        let mut scheduler = Scheduler::new(self.now, SchedulerKind::Control, limits);
        scheduler.on_restored(self.book.state());
        self.schedulers[0].scheduler = scheduler;
        self.schedulers[0].polls.clear();
        for agent in 0..self.agents.len() {
            self.close(0, agent);
        }
        self.lead();
    }

    fn lead(&mut self) {
        let (now, term) = (self.now, self.term);
        let steps = self.schedulers[0].scheduler.on_leading(now, Some(term));
        self.carry_schedule(0, steps);
    }

    /// An entry starts again and knows nothing; its callers' calls are lost.
    pub(crate) fn restart_entry(&mut self, number: usize) {
        let limits = schedule_limits(SchedulerKind::Entry);
        let mut scheduler = Scheduler::new(self.now, SchedulerKind::Entry, limits);
        scheduler.on_catalog(&catalog(1));
        self.schedulers[number].scheduler = scheduler;
        self.schedulers[number].polls.clear();
        for agent in 0..self.agents.len() {
            self.close(number, agent);
        }
    }

    /// An agent starts again and knows nothing; its calls are on their way.
    pub(crate) fn restart_agent(&mut self, agent: usize) {
        let incarnation = self.agents[agent].beats + 2;
        let name = format!("agent-{agent}").into();
        let calls = std::mem::take(&mut self.agents[agent].calls);
        self.late.extend(calls.into_iter().map(|call| (agent, call)));
        for number in 0..self.schedulers.len() {
            self.schedulers[number].polls.retain(|_, (owner, ..)| *owner != agent);
        }
        self.agents[agent].table = RunTable::new(self.now, name, incarnation, run_limits());
        self.agents[agent].sessions.clear();
    }

    /// A backend server crashes; another life begins at once.
    pub(crate) fn crash_server(&mut self, server: usize) {
        self.lives += 1;
        self.servers[server] = ServerModel::new(self.now, self.lives);
    }

    pub(crate) fn beat(&mut self, agent: usize) {
        let server = &self.servers[agent];
        let beat = ServerBeat {
            view: ServerView {
                life: format!("{}/{}", server.instance(), server.life).into(),
                service: SERVICE.into(),
                domain: "north".into(),
                room: RoomSize { cpu_milli: SERVER_CORES, memory_mb: 1_000, accelerators: 0 },
                labels: vec!["rack-1".into()],
                draining: false,
            },
            address: ([127, 0, 0, 1], 9_000).into(),
            instance: server.instance().into(),
            born: server.life,
            sequence: self.agents[agent].beats + 1,
            clock: Some(server.clock(self.now)),
        };
        self.agents[agent].beats += 1;
        let steps = self.agents[agent].table.on_beat(self.now, &beat);
        self.carry_runs(agent, steps);
    }

    /// Opens a connection where there is none.
    pub(crate) fn open(&mut self, scheduler: usize, agent: usize) {
        if self.agents[agent].sessions.contains_key(&scheduler) {
            return;
        }
        self.calls += 1;
        self.agents[agent].sessions.insert(scheduler, self.calls);
        let key = self.schedulers[scheduler].key.clone();
        let steps = self.agents[agent].table.on_opened(self.now, key, self.calls);
        self.carry_runs(agent, steps);
    }

    /// A connection breaks; what is on its way is lost.
    pub(crate) fn close(&mut self, scheduler: usize, agent: usize) {
        let Some(session) = self.agents[agent].sessions.remove(&scheduler) else { return };
        let key = self.schedulers[scheduler].key.clone();
        let steps = self.agents[agent].table.on_closed(self.now, &key, session);
        self.carry_runs(agent, steps);
    }

    /// The next orders to an agent are lost with their connection.
    pub(crate) fn lose_orders(&mut self, scheduler: usize, agent: usize) {
        self.schedulers[scheduler].lose_orders.insert(agent);
    }

    pub(crate) fn hand_in(&mut self, scheduler: usize, job: Arc<QueuedJob>) -> u64 {
        self.calls += 1;
        let call = self.calls;
        if !job.best_effort {
            self.stored.insert(job.id.to_string());
        }
        let wish = JobCall::Accept { job, wait_ms: 1_500 };
        let decision = self.schedulers[scheduler].scheduler.on_job_call(self.now, call, &wish);
        let told = match decision {
            JobDecision::Reply(reply) => Told::Reply(reply),
            JobDecision::Wait | JobDecision::NotLeader => Told::Nothing,
            JobDecision::Commit(command) => {
                self.propose(vec![command]);
                Told::Nothing
            }
        };
        self.told.insert(call, told);
        let steps = self.schedulers[scheduler].scheduler.after_job_call(self.now);
        self.carry_schedule(scheduler, steps);
        call
    }

    /// The caller of a best-effort job goes away.
    pub(crate) fn abandon(&mut self, scheduler: usize, call: u64) {
        let steps = self.schedulers[scheduler].scheduler.on_abandoned(self.now, call);
        self.carry_schedule(scheduler, steps);
    }

    fn carry_schedule(&mut self, number: usize, steps: Vec<ScheduleStep>) {
        for step in steps {
            match step {
                ScheduleStep::Propose(commands) => self.propose(commands),
                ScheduleStep::Orders { call, orders } => {
                    let Some((agent, session, asked_at)) =
                        self.schedulers[number].polls.remove(&call)
                    else {
                        continue;
                    };
                    if self.schedulers[number].lose_orders.remove(&agent) {
                        self.close(number, agent);
                        continue;
                    }
                    let key = self.schedulers[number].key.clone();
                    let table = &mut self.agents[agent].table;
                    let steps = table.on_orders(self.now, &key, session, asked_at, orders);
                    self.carry_runs(agent, steps);
                    self.poll(number, agent, session);
                }
                ScheduleStep::DropPoll { call } => {
                    if let Some((agent, session, _)) = self.schedulers[number].polls.remove(&call)
                        && self.agents[agent].sessions.get(&number) == Some(&session)
                    {
                        self.close(number, agent);
                    }
                }
                ScheduleStep::JobEnd { call, reply } => {
                    self.told.insert(call, Told::Reply(reply));
                }
                ScheduleStep::Note(line) => {
                    self.notes.push(format!("{:?} s{number} {line:?}", self.now))
                }
            }
        }
    }

    fn poll(&mut self, number: usize, agent: usize, session: u64) {
        if self.agents[agent].sessions.get(&number) != Some(&session) {
            return;
        }
        self.calls += 1;
        let call = self.calls;
        self.schedulers[number].polls.insert(call, (agent, session, self.now));
        let poll = AgentPoll {
            agent: format!("agent-{agent}").into(),
            incarnation: self.incarnation(agent),
            session,
        };
        let steps = self.schedulers[number].scheduler.on_poll(self.now, call, &poll);
        self.carry_schedule(number, steps);
    }

    fn incarnation(&self, agent: usize) -> u64 {
        self.agents[agent].table.incarnation()
    }

    fn carry_runs(&mut self, agent: usize, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => self.agents[agent].calls.push(call),
                RunStep::Report(key, report) => self.report(agent, &key, &report),
                RunStep::Note(line) => self.notes.push(format!("{:?} a{agent} {line:?}", self.now)),
                RunStep::Connect(_) => {}
            }
        }
    }

    fn report(&mut self, agent: usize, key: &SchedulerKey, report: &model::AgentReport) {
        let found = self.schedulers.iter().position(|scheduler| scheduler.key == *key);
        let Some(number) = found else { return };
        if self.agents[agent].sessions.get(&number) != Some(&report.session) {
            return;
        }
        let first = report.runs.is_some();
        let scheduler = &mut self.schedulers[number].scheduler;
        let (taken, steps) = scheduler.on_report(self.now, report);
        self.carry_schedule(number, steps);
        if !taken {
            return self.close(number, agent);
        }
        if self.agents[agent].sessions.get(&number) != Some(&report.session) {
            return;
        }
        let table = &mut self.agents[agent].table;
        let steps = table.on_report_taken(self.now, key, report.session);
        self.carry_runs(agent, steps);
        let polls = self.schedulers[number].polls.values();
        let polled = polls
            .into_iter()
            .any(|(owner, session, _)| *owner == agent && *session == report.session);
        if first && !polled {
            self.poll(number, agent, report.session);
        }
    }

    /// Carries out a call; the agent gets the answer unless it is lost.
    pub(crate) fn deliver(&mut self, agent: usize, position: usize, lose_answer: bool) {
        if position >= self.agents[agent].calls.len() {
            return;
        }
        let call = self.agents[agent].calls.remove(position);
        let answer = self.perform(agent, &call);
        let clock = Some((self.servers[agent].clock(self.now), self.now));
        let (answer, clock) =
            if lose_answer { (ServerAnswer::NoAnswer, None) } else { (answer, clock) };
        self.answer(agent, &call, clock, answer);
    }

    /// The agent gives a call up; it may be carried out later.
    pub(crate) fn delay(&mut self, agent: usize, position: usize) {
        if position >= self.agents[agent].calls.len() {
            return;
        }
        let call = self.agents[agent].calls.remove(position);
        self.late.push((agent, call.clone()));
        self.answer(agent, &call, None, ServerAnswer::NoAnswer);
    }

    /// Carries a call out that its caller gave up on.
    pub(crate) fn deliver_late(&mut self, position: usize) {
        if position < self.late.len() {
            let (server, call) = self.late.remove(position);
            self.perform(server, &call);
        }
    }

    fn answer(
        &mut self,
        agent: usize,
        call: &ServerCall,
        clock: Option<(Duration, Instant)>,
        answer: ServerAnswer,
    ) {
        let steps = self.agents[agent].table.on_answer(self.now, call, clock, answer);
        self.carry_runs(agent, steps);
    }

    fn perform(&mut self, server: usize, call: &ServerCall) -> ServerAnswer {
        let before = self.servers[server].runs.len();
        self.notes.push(format!(
            "{:?} server{server} {:?} fence {} of {}",
            self.now, call.wish, call.fence, self.servers[server].fence
        ));
        let answer = self.servers[server].take(self.now, call);
        if self.servers[server].runs.len() > before
            && let ServerWish::Start { run, .. } = &call.wish
        {
            self.check_start(&run.task);
        }
        answer
    }

    /// No task runs twice at a time, and none starts again once it is done.
    fn check_start(&mut self, task: &TaskName) {
        *self.starts.entry(task.clone()).or_insert(0) += 1;
        let runs = self.servers.iter().flat_map(|server| server.runs.values());
        let running = runs.filter(|(run, _)| run.task == *task).count();
        assert!(running <= 1, "{task} runs {running} times at once\n{}", self.story(&task.job));
        let lapsed = self.servers.iter().any(|server| server.lapsed_ends.contains(task));
        if self.stored.contains(task.job.as_str()) && !lapsed {
            assert!(
                !self.done.contains(task),
                "{task} started after its end was recorded\n{}",
                self.story(&task.job)
            );
        }
    }

    /// What happened that concerns a job.
    pub(crate) fn story(&self, job: &str) -> String {
        let about = self.notes.iter().filter(|note| {
            note.contains(job) || note.contains("takeover") || note.contains("session")
        });
        about.cloned().collect::<Vec<_>>().join("\n")
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
        for server in &mut self.servers {
            server.advance(self.now);
        }
        for agent in 0..self.agents.len() {
            let steps = self.agents[agent].table.on_tick(self.now);
            self.carry_runs(agent, steps);
        }
        for number in 0..self.schedulers.len() {
            let steps = self.schedulers[number].scheduler.on_tick(self.now);
            self.carry_schedule(number, steps);
        }
        self.note_done();
    }

    fn note_done(&mut self) {
        for (id, record) in self.book.jobs() {
            for (step, index) in &record.done {
                let task = TaskName { job: id.clone(), occurrence: 0, step: *step, index: *index };
                self.done.insert(task);
            }
        }
    }

    /// Everything works for a while.
    pub(crate) fn calm(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for agent in 0..self.agents.len() {
                for scheduler in 0..self.schedulers.len() {
                    self.open(scheduler, agent);
                }
                self.beat(agent);
                for _ in 0..self.agents[agent].calls.len() {
                    self.deliver(agent, 0, false);
                }
            }
            self.commit();
            self.advance(Duration::from_millis(30));
        }
    }

    /// Waits until nothing can be open from before.
    pub(crate) fn settle(&mut self) {
        while !self.late.is_empty() {
            self.deliver_late(0);
        }
        for server in &mut self.servers {
            server.advance(self.now);
        }
        self.calm(400);
    }

    /// How a stored job ended, as control knows it.
    pub(crate) fn stored_phase(&self, job: &QueuedJob) -> Option<JobPhase> {
        self.book.job(&job.id).and_then(|record| record.ended)
    }

    pub(crate) fn is_known(&self, job: &QueuedJob) -> bool {
        self.book.job(&job.id).is_some()
    }

    /// Calls of an agent that have not reached its backend server.
    pub(crate) fn calls_of(&self, agent: usize) -> usize {
        self.agents[agent].calls.len()
    }

    /// Runs at work on all backend servers.
    pub(crate) fn running(&self) -> usize {
        self.servers.iter().map(|server| server.runs.len()).sum()
    }

    /// Backend servers on which runs are at work.
    pub(crate) fn servers_in_use(&self) -> usize {
        self.servers.iter().filter(|server| !server.runs.is_empty()).count()
    }
}
