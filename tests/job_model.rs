//! Entries, agents and the ledger as pure state, with a network that loses,
//! doubles and delays, and the promises that are checked after every step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::agent::{StartLimits, StartStep, StartTable};
use decisions::control::ControlState;
use decisions::entry::{
    DispatchLimits, DispatchStep, Dispatcher, JobStep, JobTracker, TrackerLimits,
};
use model::{
    AgentAnswer, AgentView, Announcement, CallId, CallerAnswer, CallerWish, Command, CommandResult,
    ConfigInForce, JobAnswer, JobKey, JobOrder, LeaseState, LedgerWord, LinkEvent, LogRecord,
    MemberRecord, NodeRole, OwnerRef, Payload, Ran, RecallOrder, RunEnd, StartOrder, TaskKey,
    TaskOutcome, TaskQuestion, TaskSpec, WorkerSize,
};

const AGENTS: usize = 2;

#[derive(Clone)]
pub(crate) enum ToAgent {
    Order(Box<StartOrder>),
    Attach(TaskQuestion),
    Recall(RecallOrder),
}

#[derive(Clone)]
pub(crate) enum Packet {
    /// A call from an entry to an agent's incarnation.
    Call { entry: usize, agent: usize, incarnation: u64, what: ToAgent },
    /// An event for an entry's dispatch.
    Event { entry: usize, agent: usize, event: LinkEvent },
    /// A ledger command on its way.
    Ledger { entry: usize, key: JobKey, command: Command },
    /// Control's word on its way back.
    Word { entry: usize, key: JobKey, word: LedgerWord },
}

pub(crate) struct Entry {
    pub(crate) tracker: JobTracker,
    pub(crate) dispatch: Dispatcher,
    owner: OwnerRef,
    /// Told that it is fenced.
    pub(crate) fenced: bool,
}

pub(crate) struct Agent {
    pub(crate) table: StartTable,
    pub(crate) incarnation: u64,
    calls: BTreeMap<CallId, (usize, ToAgent)>,
    pub(crate) running: Vec<(TaskKey, std::net::SocketAddr)>,
}

pub(crate) struct JobModel {
    pub(crate) now: Instant,
    pub(crate) entries: Vec<Entry>,
    pub(crate) agents: Vec<Agent>,
    pub(crate) network: Vec<Packet>,
    control: ControlState,
    config: Arc<ConfigInForce>,
    next_call: CallId,
    next_incarnation: u64,
    /// Starts by task key.
    pub(crate) starts: BTreeMap<String, usize>,
    /// What each open call asked for.
    asked: BTreeMap<CallId, (JobKey, usize)>,
    /// Submissions of which the ledger said that nothing ran.
    said_not_run: BTreeSet<JobKey>,
    pub(crate) answers: Vec<(JobKey, CallerAnswer)>,
}

fn config() -> Arc<ConfigInForce> {
    let text = r#"{ "services": { "order": { "idempotent": false, "deadline_ms": 2000, "declared_ms": 20 } },
        "teams": { "north": {} } }"#;
    let text = model::read_operator_text(text).expect("no mistakes");
    Arc::new(ConfigInForce { version: 1, text })
}

fn worker(agent: usize) -> model::WorkerId {
    format!("w{agent}").into()
}

fn backend(agent: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 8_000 + agent as u16).into()
}

impl JobModel {
    pub(crate) fn new(entries: usize) -> JobModel {
        let mut model = JobModel {
            now: Instant::now(),
            entries: Vec::new(),
            agents: Vec::new(),
            network: Vec::new(),
            control: ControlState::default(),
            config: config(),
            next_call: 0,
            next_incarnation: 1,
            starts: BTreeMap::new(),
            asked: BTreeMap::new(),
            said_not_run: BTreeSet::new(),
            answers: Vec::new(),
        };
        for agent in 0..AGENTS {
            let fresh = model.new_agent(agent);
            model.agents.push(fresh);
        }
        for number in 0..entries {
            model.start_entry(number);
        }
        model.views();
        while !model.network.is_empty() {
            model.deliver(0, false);
        }
        model
    }

    fn apply(&mut self, command: Command) -> CommandResult {
        let index = self.control.versions().applied + 1;
        let record = LogRecord { index, term: 1, at_ms: index, command };
        let result = self.control.apply(&record);
        self.check_not_run(&record.command, &result);
        result
    }

    /// "Not run" must be true when the ledger comes to say it.
    fn check_not_run(&mut self, command: &Command, result: &CommandResult) {
        let key = match (command, result) {
            (Command::Peek { key, .. }, CommandResult::Unclaimed) => key,
            (
                Command::Finish { key, answer: JobAnswer::Failed { failure }, .. },
                CommandResult::Done,
            ) if failure.ran() == Ran::No => key,
            _ => return,
        };
        assert!(self.started(key).is_none(), "{key} is recorded as not run, but ran");
        self.said_not_run.insert(key.clone());
    }

    fn started(&self, key: &JobKey) -> Option<&String> {
        let prefix = format!("{key}/");
        self.starts.keys().find(|start| start.starts_with(&prefix))
    }

    fn member(&self, name: &str, role: NodeRole, incarnation: u64) -> MemberRecord {
        let address = ([127, 0, 0, 1], 1).into();
        MemberRecord { node: name.into(), role, incarnation, address, domain: "d".into() }
    }

    fn new_agent(&mut self, agent: usize) -> Agent {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let limits = StartLimits {
            queue_limit: 2,
            retention: Duration::from_secs(600),
            announce_ttl: Duration::from_secs(3_600),
        };
        let mut table = StartTable::new(incarnation, limits);
        table.on_lease(Some(self.now + Duration::from_secs(86_400)));
        let announcement = Announcement {
            service: "order".into(),
            address: backend(agent),
            slots: 2,
            connections: 2,
        };
        table.on_announced(self.now, &announcement);
        let fences = self.control.membership().fences;
        table.on_fences(self.now, &fences);
        let member = self.member(&worker(agent), NodeRole::Agent, incarnation);
        self.apply(Command::Join { member });
        Agent { table, incarnation, calls: BTreeMap::new(), running: Vec::new() }
    }

    fn start_entry(&mut self, number: usize) {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let owner = OwnerRef { entry: format!("e{number}").into(), incarnation };
        let member = self.member(&owner.entry, NodeRole::Entry, incarnation);
        self.apply(Command::Join { member });
        let limits = TrackerLimits { task_limit: 10, keep_ended: Duration::from_secs(5) };
        let mut tracker = JobTracker::new(limits, owner.clone());
        tracker.on_config(Arc::clone(&self.config));
        let mut dispatch = Dispatcher::new(DispatchLimits { queue_limit: 100, seed: 1 });
        dispatch.on_config(Arc::clone(&self.config));
        let lease = LeaseState::HeldUntil(self.now + Duration::from_secs(86_400));
        dispatch.on_lease(self.now, lease);
        self.entries.push(Entry { tracker, dispatch, owner, fenced: false });
        let agents: Vec<MemberRecord> = self.agents_as_members();
        let last = self.entries.len() - 1;
        let steps = self.entries[last].dispatch.on_members(self.now, &agents, 2);
        self.do_dispatch(last, steps);
    }

    fn agents_as_members(&self) -> Vec<MemberRecord> {
        let member = |(number, agent): (usize, &Agent)| {
            self.member(&worker(number), NodeRole::Agent, agent.incarnation)
        };
        self.agents.iter().enumerate().map(member).collect()
    }

    /// Every agent's view arrives at every entry.
    pub(crate) fn views(&mut self) {
        for agent in 0..self.agents.len() {
            let mut view = AgentView {
                worker: worker(agent),
                incarnation: 0,
                version: 0,
                domain: "d".into(),
                rack: "r".into(),
                draining: false,
                size: WorkerSize { cores: 16, memory_mb: 1_000, accelerators: 0 },
                services: Vec::new(),
            };
            self.agents[agent].table.fill_view(&mut view);
            for entry in 0..self.entries.len() {
                let event = LinkEvent::View { view: view.clone() };
                self.network.push(Packet::Event { entry, agent, event });
            }
        }
    }

    pub(crate) fn submit(&mut self, entry: usize, number: usize, tasks: usize) {
        self.next_call += 1;
        let call = self.next_call;
        let payload = |task| Payload::parse(&format!("\"s{number}/{task}\"")).expect("JSON");
        let task = |task| TaskSpec {
            declared_ms: None,
            cores: 1,
            memory_mb: 0,
            accelerators: 0,
            payload: payload(task),
        };
        let order = JobOrder {
            submission: format!("s{number}").into(),
            team: "north".into(),
            service: "order".into(),
            deadline_ms: None,
            tasks: (0..tasks).map(task).collect(),
        };
        self.asked.insert(call, (order.key(), tasks));
        let wish = CallerWish::Job { order, wait: true };
        let steps = self.entries[entry].tracker.on_wish(self.now, call, wish);
        self.do_jobs(entry, steps);
    }

    pub(crate) fn cancel(&mut self, entry: usize, number: usize) {
        self.next_call += 1;
        let key = JobKey { team: "north".into(), submission: format!("s{number}").into() };
        let wish = CallerWish::Cancel { key };
        let steps = self.entries[entry].tracker.on_wish(self.now, self.next_call, wish);
        self.do_jobs(entry, steps);
    }

    fn do_jobs(&mut self, entry: usize, steps: Vec<JobStep>) {
        let mut open = VecDeque::from(steps);
        while let Some(step) = open.pop_front() {
            let owner = self.entries[entry].owner.clone();
            match step {
                JobStep::Admit { request, release } => {
                    let steps = self.entries[entry].dispatch.on_admit(self.now, request, release);
                    self.do_dispatch(entry, steps);
                }
                JobStep::Release { key, order } => {
                    let steps = self.entries[entry].dispatch.on_release(self.now, &key, order);
                    self.do_dispatch(entry, steps);
                }
                JobStep::Withdraw { key } => {
                    let steps = self.entries[entry].dispatch.on_withdraw(&key);
                    self.do_dispatch(entry, steps);
                }
                JobStep::Claim(order) => {
                    let key = order.key.clone();
                    let command = Command::Claim { order };
                    self.network.push(Packet::Ledger { entry, key, command });
                }
                JobStep::Peek { key, fingerprint } => {
                    let command = Command::Peek { key: key.clone(), fingerprint };
                    self.network.push(Packet::Ledger { entry, key, command });
                }
                JobStep::Record { key, epoch, owner: by, answer } => {
                    assert_eq!(by, owner);
                    let command = Command::Finish { key: key.clone(), epoch, owner, answer };
                    self.network.push(Packet::Ledger { entry, key, command });
                }
                JobStep::Answer { call, answer } => self.check_answer(call, answer),
                JobStep::Figure(_) => {}
            }
        }
    }

    fn do_dispatch(&mut self, entry: usize, steps: Vec<DispatchStep>) {
        for step in steps {
            let (worker, what) = match step {
                DispatchStep::Admitted { key } => {
                    let steps = self.entries[entry].tracker.on_admitted(self.now, &key);
                    self.do_jobs(entry, steps);
                    continue;
                }
                DispatchStep::Refused { key, failure } => {
                    let steps = self.entries[entry].tracker.on_refused(self.now, &key, failure);
                    self.do_jobs(entry, steps);
                    continue;
                }
                DispatchStep::End { key, end } => {
                    let steps = self.entries[entry].tracker.on_task_ended(self.now, &key, end);
                    self.do_jobs(entry, steps);
                    continue;
                }
                DispatchStep::Start { worker, order } => (worker, ToAgent::Order(order)),
                DispatchStep::Attach { worker, question } => (worker, ToAgent::Attach(question)),
                DispatchStep::Recall { worker, order } => (worker, ToAgent::Recall(order)),
                DispatchStep::Note { .. }
                | DispatchStep::Health { .. }
                | DispatchStep::Count(_) => continue,
            };
            let agent = (0..AGENTS).find(|agent| self::worker(*agent) == worker).expect("an agent");
            let incarnation = self.agents[agent].incarnation;
            self.network.push(Packet::Call { entry, agent, incarnation, what });
        }
    }

    fn do_starts(&mut self, agent: usize, steps: Vec<StartStep>) {
        for step in steps {
            match step {
                StartStep::Run { address, order } => {
                    *self.starts.entry(order.key.to_string()).or_default() += 1;
                    self.agents[agent].running.push((order.key.clone(), address));
                    let starts = &self.starts;
                    assert!(starts.values().all(|count| *count <= 1), "a task started twice");
                }
                StartStep::Answer(reply) => {
                    let Some((entry, _)) = self.agents[agent].calls.remove(&reply.call) else {
                        continue;
                    };
                    let event = match reply.answer {
                        AgentAnswer::Report(report) => LinkEvent::Report { report },
                        AgentAnswer::Fates(answer) => LinkEvent::Recalled { answer },
                        AgentAnswer::View(view) => LinkEvent::View { view },
                    };
                    self.network.push(Packet::Event { entry, agent, event });
                }
                StartStep::Stop { key } => {
                    let position = self.agents[agent].running.iter().position(|(k, _)| *k == key);
                    if let Some(position) = position {
                        self.end_run(agent, position, 2);
                    }
                }
                StartStep::Announce | StartStep::Count(_) => {}
            }
        }
    }

    /// Ends a run: 0 completes, 1 fails, 2 is unknown, 3 never reached the
    /// backend server.
    pub(crate) fn end_run(&mut self, agent: usize, position: usize, how: usize) {
        if position >= self.agents[agent].running.len() {
            return;
        }
        let (key, address) = self.agents[agent].running.remove(position);
        let echo = format!("\"{}/{}\"", key.job.submission, key.task);
        let end = match how {
            0 => RunEnd::Outcome(TaskOutcome::Completed {
                answer: Payload::parse(&echo).expect("JSON"),
                run_us: 1_000,
            }),
            1 => RunEnd::Outcome(TaskOutcome::Failed { reason: "failed".into(), run_us: 1_000 }),
            2 => RunEnd::Outcome(TaskOutcome::Unknown { reason: "broke off".into() }),
            _ => {
                // It was never sent, so it did not start.
                self.starts.remove(&key.to_string());
                RunEnd::NeverSent { reason: "refused".into() }
            }
        };
        let steps = self.agents[agent].table.on_run_ended(self.now, &key, &address, end);
        self.do_starts(agent, steps);
        let announcement = Announcement {
            service: "order".into(),
            address: backend(agent),
            slots: 2,
            connections: 2,
        };
        let steps = self.agents[agent].table.on_announced(self.now, &announcement);
        self.do_starts(agent, steps);
    }

    pub(crate) fn deliver(&mut self, position: usize, keep: bool) {
        if position >= self.network.len() {
            return;
        }
        let packet = match keep {
            true => self.network[position].clone(),
            false => self.network.remove(position),
        };
        match packet {
            Packet::Call { entry, agent, incarnation, what } => {
                if self.agents[agent].incarnation == incarnation {
                    self.call(entry, agent, what);
                } else {
                    self.call_lost(entry, agent, &what);
                }
            }
            Packet::Event { entry, agent, event } => {
                let entry_state = &mut self.entries[entry];
                let steps = entry_state.dispatch.on_link(self.now, &worker(agent), event);
                self.do_dispatch(entry, steps);
            }
            Packet::Ledger { entry, key, command } => {
                let result = self.apply(command);
                let word = LedgerWord::Applied { result };
                self.network.push(Packet::Word { entry, key, word });
            }
            Packet::Word { entry, key, word } => {
                let steps = self.entries[entry].tracker.on_ledger(self.now, &key, word);
                self.do_jobs(entry, steps);
            }
        }
    }

    fn call(&mut self, entry: usize, agent: usize, what: ToAgent) {
        self.next_call += 1;
        let call = self.next_call;
        self.agents[agent].calls.insert(call, (entry, what.clone()));
        let (now, table) = (self.now, &mut self.agents[agent].table);
        let steps = match what {
            ToAgent::Order(order) => table.on_order(now, call, order),
            ToAgent::Attach(question) => table.on_attach(now, call, &question),
            ToAgent::Recall(order) => table.on_recall(now, call, &order),
        };
        self.do_starts(agent, steps);
    }

    fn call_lost(&mut self, entry: usize, agent: usize, what: &ToAgent) {
        let event = match what {
            ToAgent::Order(order) => {
                LinkEvent::CallLost { key: order.key.clone(), attempt: order.attempt, sent: true }
            }
            ToAgent::Attach(question) => LinkEvent::CallLost {
                key: question.key.clone(),
                attempt: question.attempt,
                sent: true,
            },
            ToAgent::Recall(order) => LinkEvent::RecallLost { questions: order.questions.clone() },
        };
        self.network.push(Packet::Event { entry, agent, event });
    }

    /// Loses a packet. The sender of a call notices; a command may have been
    /// applied or not.
    pub(crate) fn lose(&mut self, position: usize, applied: bool) {
        if position >= self.network.len() {
            return;
        }
        match self.network.remove(position) {
            Packet::Call { entry, agent, what, .. } => self.call_lost(entry, agent, &what),
            Packet::Event { entry, agent, event: LinkEvent::Report { report } } => {
                let (key, attempt) = (report.key, report.attempt);
                let event = LinkEvent::CallLost { key, attempt, sent: true };
                self.network.push(Packet::Event { entry, agent, event });
            }
            Packet::Event { entry, agent, event: LinkEvent::Recalled { answer } } => {
                let questions = answer.fates.into_iter().map(|fate| fate.question).collect();
                let event = LinkEvent::RecallLost { questions };
                self.network.push(Packet::Event { entry, agent, event });
            }
            // What a link itself notices is not lost.
            event @ Packet::Event { .. } => self.network.push(event),
            Packet::Ledger { entry, key, command } => {
                if applied {
                    self.apply(command);
                }
                let word = if applied { LedgerWord::AnswerLost } else { LedgerWord::NotSent };
                self.network.push(Packet::Word { entry, key, word });
            }
            Packet::Word { entry, key, .. } => {
                let word = LedgerWord::AnswerLost;
                self.network.push(Packet::Word { entry, key, word });
            }
        }
    }

    /// An agent's process ends and starts anew, without its memory. What its
    /// backend server runs goes on unseen.
    pub(crate) fn restart_agent(&mut self, agent: usize) {
        let fresh = self.new_agent(agent);
        let old = std::mem::replace(&mut self.agents[agent], fresh);
        for (entry, what) in old.calls.into_values() {
            self.call_lost(entry, agent, &what);
        }
        self.tell_members();
    }

    fn tell_members(&mut self) {
        let agents = self.agents_as_members();
        for entry in 0..self.entries.len() {
            let steps = self.entries[entry].dispatch.on_members(self.now, &agents, 2);
            self.do_dispatch(entry, steps);
        }
        self.views();
    }

    /// An entry's lease lapses; its process may still go on for a while. A new
    /// process takes its place.
    pub(crate) fn lapse_entry(&mut self, entry: usize) {
        let OwnerRef { entry: node, incarnation } = self.entries[entry].owner.clone();
        if self.entries[entry].fenced {
            return;
        }
        self.apply(Command::Lapse { node: node.clone(), incarnation });
        self.entries[entry].fenced = true;
        let number: usize = node[1..].parse().expect("a number");
        self.start_entry(number);
        self.views();
    }

    /// Every agent learns of the fences, and then they are in force.
    pub(crate) fn spread_fences(&mut self) {
        let membership = self.control.membership();
        for agent in 0..self.agents.len() {
            let steps = self.agents[agent].table.on_fences(self.now, &membership.fences);
            self.do_starts(agent, steps);
        }
        for fence in membership.pending_fences {
            let (entry, incarnation) = (fence.entry, fence.incarnation);
            self.apply(Command::FenceInForce { entry, incarnation });
        }
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
        for agent in 0..self.agents.len() {
            let steps = self.agents[agent].table.on_tick(self.now);
            self.do_starts(agent, steps);
        }
        for entry in 0..self.entries.len() {
            let steps = self.entries[entry].dispatch.on_tick(self.now);
            self.entries[entry].dispatch.plan_upkeep(self.now);
            self.do_dispatch(entry, steps);
            let steps = self.entries[entry].tracker.on_tick(self.now);
            self.do_jobs(entry, steps);
        }
    }

    /// Lets everything work until every call is answered.
    pub(crate) fn calm(&mut self) {
        for _ in 0..60 {
            self.spread_fences();
            self.views();
            let mut budget = 4_000;
            while budget > 0 && !self.network.is_empty() {
                self.deliver(0, false);
                budget -= 1;
            }
            for agent in 0..self.agents.len() {
                while !self.agents[agent].running.is_empty() {
                    self.end_run(agent, 0, 0);
                }
            }
            self.advance(Duration::from_millis(120));
        }
    }

    pub(crate) fn unanswered(&self) -> usize {
        self.asked.len()
    }

    fn check_answer(&mut self, call: CallId, answer: CallerAnswer) {
        let Some((key, tasks)) = self.asked.remove(&call) else { return };
        match &answer {
            CallerAnswer::Job { answers } => {
                let texts: Vec<&str> = answers.iter().map(Payload::text).collect();
                let expected: Vec<String> =
                    (0..tasks).map(|task| format!("\"{}/{task}\"", key.submission)).collect();
                assert_eq!(texts, expected, "the whole answer to one's own question");
            }
            CallerAnswer::Failed { failure } if failure.ran() == Ran::No => {
                // Another call of the submission may have run it anew meanwhile.
                let rerun = failure.allows_rerun() && self.said_not_run.contains(&key);
                let ran = self.started(&key);
                assert!(
                    ran.is_none() || rerun,
                    "{key} was told \"not run\" ({failure:?}), but {ran:?} had started"
                );
            }
            _ => {}
        }
        self.answers.push((key, answer));
    }
}
