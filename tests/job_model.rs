//! Deterministic model of entries, agents and the ledger, with a network that
//! loses, duplicates and delays packets.
//!
//! Invariants, checked as the model runs: a task starts at most once; a job that
//! is reported as not run has not started, unless another call of the same
//! submission has rerun it; a job's answers match its own tasks in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::agent::{StartLimits, StartStep, StartTable};
use decisions::control::ControlState;
use decisions::entry::{
    DispatchLimits, DispatchStep, Dispatcher, JobTracker, TrackerLimits, TrackerStep,
};
use model::{
    AgentAnswer, AgentView, Announcement, CallId, CallerAnswer, CallerRequest, Command,
    CommandResult, ConfigInForce, JobAnswer, JobKey, JobSubmission, LeaseState, LedgerReply,
    LinkEvent, LogRecord, MemberRecord, NodeRole, OwnerRef, Payload, Ran, RecallOrder, RunEnd,
    StartOrder, TaskKey, TaskOutcome, TaskQuery, TaskSpec, WorkerSize,
};

const AGENTS: usize = 2;

#[derive(Clone)]
pub(crate) enum AgentCall {
    Order(Box<StartOrder>),
    Attach(TaskQuery),
    Recall(RecallOrder),
}

#[derive(Clone)]
pub(crate) enum Packet {
    /// A call from an entry to an agent; a later incarnation doesn't get it.
    Call { entry: usize, agent: usize, incarnation: u64, agent_call: AgentCall },
    /// An event of an agent's link for an entry's dispatcher.
    Event { entry: usize, agent: usize, event: LinkEvent },
    /// A command from an entry to the ledger.
    LedgerCommand { entry: usize, key: JobKey, command: Command },
    /// The ledger's reply to an entry.
    LedgerReply { entry: usize, key: JobKey, reply: LedgerReply },
}

pub(crate) struct Entry {
    pub(crate) tracker: JobTracker,
    pub(crate) dispatcher: Dispatcher,
    owner: OwnerRef,
    /// Whether its lease has expired in the control state; the process may still run.
    pub(crate) fenced: bool,
}

pub(crate) struct Agent {
    pub(crate) table: StartTable,
    pub(crate) incarnation: u64,
    /// Open calls with the entry that made them.
    calls: BTreeMap<CallId, (usize, AgentCall)>,
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
    /// Number of starts by task key.
    pub(crate) starts: BTreeMap<String, usize>,
    /// Job and number of tasks of each unanswered call.
    open_calls: BTreeMap<CallId, (JobKey, usize)>,
    /// Jobs that the ledger has reported as not run.
    recorded_not_run: BTreeSet<JobKey>,
    pub(crate) answers: Vec<(JobKey, CallerAnswer)>,
}

fn test_config() -> Arc<ConfigInForce> {
    let text = r#"{ "services": { "order": { "idempotent": false, "deadline_ms": 2000, "declared_ms": 20 } },
        "teams": { "north": {} } }"#;
    let text = model::read_operator_config(text).expect("valid operator text");
    Arc::new(ConfigInForce { version: 1, text })
}

fn worker_id(agent: usize) -> model::WorkerId {
    format!("w{agent}").into()
}

fn backend_address(agent: usize) -> std::net::SocketAddr {
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
            config: test_config(),
            next_call: 0,
            next_incarnation: 1,
            starts: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            recorded_not_run: BTreeSet::new(),
            answers: Vec::new(),
        };
        for agent in 0..AGENTS {
            let new_state = model.new_agent(agent);
            model.agents.push(new_state);
        }
        for number in 0..entries {
            model.start_entry(number);
        }
        model.broadcast_views();
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

    /// Checks that no task of a job has started when the ledger reports the job as
    /// not run.
    fn check_not_run(&mut self, command: &Command, result: &CommandResult) {
        let key = match (command, result) {
            (Command::Peek { key, .. }, CommandResult::Unclaimed) => key,
            (
                Command::Finish { key, answer: JobAnswer::Failed { failure }, .. },
                CommandResult::Done,
            ) if failure.ran() == Ran::No => key,
            _ => return,
        };
        assert!(self.find_start(key).is_none(), "{key} is recorded as not run, but ran");
        self.recorded_not_run.insert(key.clone());
    }

    fn find_start(&self, key: &JobKey) -> Option<&String> {
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
            address: backend_address(agent),
            slots: 2,
            connections: 2,
        };
        table.on_announced(self.now, &announcement);
        let fences = self.control.membership().fences;
        table.on_fences(self.now, &fences);
        let member = self.member(&worker_id(agent), NodeRole::Agent, incarnation);
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
        let mut dispatcher = Dispatcher::new(DispatchLimits { queue_limit: 100, seed: 1 });
        dispatcher.on_config(Arc::clone(&self.config));
        let lease = LeaseState::ValidUntil(self.now + Duration::from_secs(86_400));
        dispatcher.on_lease(self.now, lease);
        self.entries.push(Entry { tracker, dispatcher, owner, fenced: false });
        let agents: Vec<MemberRecord> = self.agent_members();
        let last = self.entries.len() - 1;
        let steps = self.entries[last].dispatcher.on_members(self.now, &agents, 2);
        self.apply_dispatch_steps(last, steps);
    }

    fn agent_members(&self) -> Vec<MemberRecord> {
        let member = |(number, agent): (usize, &Agent)| {
            self.member(&worker_id(number), NodeRole::Agent, agent.incarnation)
        };
        self.agents.iter().enumerate().map(member).collect()
    }

    /// Sends every agent's view to every entry.
    pub(crate) fn broadcast_views(&mut self) {
        for agent in 0..self.agents.len() {
            let mut view = AgentView {
                worker: worker_id(agent),
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

    /// Submits the job `s{number}` to an entry; its tasks echo their position.
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
        let order = JobSubmission {
            submission: format!("s{number}").into(),
            team: "north".into(),
            service: "order".into(),
            deadline_ms: None,
            tasks: (0..tasks).map(task).collect(),
        };
        self.open_calls.insert(call, (order.key(), tasks));
        let request = CallerRequest::Job { order, wait: true };
        let steps = self.entries[entry].tracker.on_request(self.now, call, request);
        self.apply_tracker_steps(entry, steps);
    }

    /// Cancels the job `s{number}` at an entry.
    pub(crate) fn cancel(&mut self, entry: usize, number: usize) {
        self.next_call += 1;
        let key = JobKey { team: "north".into(), submission: format!("s{number}").into() };
        let request = CallerRequest::Cancel { key };
        let steps = self.entries[entry].tracker.on_request(self.now, self.next_call, request);
        self.apply_tracker_steps(entry, steps);
    }

    fn apply_tracker_steps(&mut self, entry: usize, steps: Vec<TrackerStep>) {
        let mut pending = VecDeque::from(steps);
        while let Some(step) = pending.pop_front() {
            let owner = self.entries[entry].owner.clone();
            match step {
                TrackerStep::Admit { request, release } => {
                    let steps = self.entries[entry].dispatcher.on_admit(self.now, request, release);
                    self.apply_dispatch_steps(entry, steps);
                }
                TrackerStep::Release { key, order } => {
                    let steps = self.entries[entry].dispatcher.on_release(self.now, &key, order);
                    self.apply_dispatch_steps(entry, steps);
                }
                TrackerStep::Withdraw { key } => {
                    let steps = self.entries[entry].dispatcher.on_withdraw(&key);
                    self.apply_dispatch_steps(entry, steps);
                }
                TrackerStep::Claim(order) => {
                    let key = order.key.clone();
                    let command = Command::Claim { order };
                    self.network.push(Packet::LedgerCommand { entry, key, command });
                }
                TrackerStep::QueryLedger { key, fingerprint } => {
                    let command = Command::Peek { key: key.clone(), fingerprint };
                    self.network.push(Packet::LedgerCommand { entry, key, command });
                }
                TrackerStep::Record { key, epoch, owner: recorded_owner, answer } => {
                    assert_eq!(recorded_owner, owner);
                    let command = Command::Finish { key: key.clone(), epoch, owner, answer };
                    self.network.push(Packet::LedgerCommand { entry, key, command });
                }
                TrackerStep::Answer { call, answer } => self.check_answer(call, answer),
                TrackerStep::Figure(_) => {}
            }
        }
    }

    fn apply_dispatch_steps(&mut self, entry: usize, steps: Vec<DispatchStep>) {
        for step in steps {
            let (worker, agent_call) = match step {
                DispatchStep::Admitted { key } => {
                    let steps = self.entries[entry].tracker.on_admitted(self.now, &key);
                    self.apply_tracker_steps(entry, steps);
                    continue;
                }
                DispatchStep::Refused { key, failure } => {
                    let steps = self.entries[entry].tracker.on_refused(self.now, &key, failure);
                    self.apply_tracker_steps(entry, steps);
                    continue;
                }
                DispatchStep::End { key, end } => {
                    let steps = self.entries[entry].tracker.on_task_ended(self.now, &key, end);
                    self.apply_tracker_steps(entry, steps);
                    continue;
                }
                DispatchStep::Start { worker, order } => (worker, AgentCall::Order(order)),
                DispatchStep::Attach { worker, query } => (worker, AgentCall::Attach(query)),
                DispatchStep::Recall { worker, order } => (worker, AgentCall::Recall(order)),
                DispatchStep::TaskEvent { .. }
                | DispatchStep::Health { .. }
                | DispatchStep::Count(_) => continue,
            };
            let agent = (0..AGENTS)
                .find(|agent| worker_id(*agent) == worker)
                .expect("the worker has an agent");
            let incarnation = self.agents[agent].incarnation;
            self.network.push(Packet::Call { entry, agent, incarnation, agent_call });
        }
    }

    fn apply_start_steps(&mut self, agent: usize, steps: Vec<StartStep>) {
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
                        AgentAnswer::Statuses(answer) => LinkEvent::Recalled { answer },
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

    /// Ends a run with result 0 (completed), 1 (failed), 2 (outcome unknown) or 3
    /// (never sent to the backend server).
    pub(crate) fn end_run(&mut self, agent: usize, position: usize, result: usize) {
        if position >= self.agents[agent].running.len() {
            return;
        }
        let (key, address) = self.agents[agent].running.remove(position);
        let echo = format!("\"{}/{}\"", key.job.submission, key.task);
        let end = match result {
            0 => RunEnd::Outcome(TaskOutcome::Completed {
                answer: Payload::parse(&echo).expect("JSON"),
                run_us: 1_000,
            }),
            1 => RunEnd::Outcome(TaskOutcome::Failed { reason: "failed".into(), run_us: 1_000 }),
            2 => RunEnd::Outcome(TaskOutcome::Unknown { reason: "broke off".into() }),
            _ => {
                // The request was never sent, so the task did not start.
                self.starts.remove(&key.to_string());
                RunEnd::NeverSent { reason: "refused".into() }
            }
        };
        let steps = self.agents[agent].table.on_run_ended(self.now, &key, &address, end);
        self.apply_start_steps(agent, steps);
        let announcement = Announcement {
            service: "order".into(),
            address: backend_address(agent),
            slots: 2,
            connections: 2,
        };
        let steps = self.agents[agent].table.on_announced(self.now, &announcement);
        self.apply_start_steps(agent, steps);
    }

    /// Delivers a packet; with `duplicate`, a copy stays in the network.
    pub(crate) fn deliver(&mut self, position: usize, duplicate: bool) {
        if position >= self.network.len() {
            return;
        }
        let packet = match duplicate {
            true => self.network[position].clone(),
            false => self.network.remove(position),
        };
        match packet {
            Packet::Call { entry, agent, incarnation, agent_call } => {
                if self.agents[agent].incarnation == incarnation {
                    self.deliver_call(entry, agent, agent_call);
                } else {
                    self.report_lost_call(entry, agent, &agent_call);
                }
            }
            Packet::Event { entry, agent, event } => {
                let entry_state = &mut self.entries[entry];
                let steps = entry_state.dispatcher.on_link(self.now, &worker_id(agent), event);
                self.apply_dispatch_steps(entry, steps);
            }
            Packet::LedgerCommand { entry, key, command } => {
                let result = self.apply(command);
                let reply = LedgerReply::Applied { result };
                self.network.push(Packet::LedgerReply { entry, key, reply });
            }
            Packet::LedgerReply { entry, key, reply } => {
                let steps = self.entries[entry].tracker.on_ledger_reply(self.now, &key, reply);
                self.apply_tracker_steps(entry, steps);
            }
        }
    }

    fn deliver_call(&mut self, entry: usize, agent: usize, agent_call: AgentCall) {
        self.next_call += 1;
        let call = self.next_call;
        self.agents[agent].calls.insert(call, (entry, agent_call.clone()));
        let (now, table) = (self.now, &mut self.agents[agent].table);
        let steps = match agent_call {
            AgentCall::Order(order) => table.on_order(now, call, order),
            AgentCall::Attach(query) => table.on_query(now, call, &query),
            AgentCall::Recall(order) => table.on_recall(now, call, &order),
        };
        self.apply_start_steps(agent, steps);
    }

    /// Tells an entry that a call was sent but got no answer.
    fn report_lost_call(&mut self, entry: usize, agent: usize, agent_call: &AgentCall) {
        let event = match agent_call {
            AgentCall::Order(order) => {
                LinkEvent::CallLost { key: order.key.clone(), attempt: order.attempt, sent: true }
            }
            AgentCall::Attach(query) => {
                LinkEvent::CallLost { key: query.key.clone(), attempt: query.attempt, sent: true }
            }
            AgentCall::Recall(order) => LinkEvent::RecallLost { queries: order.queries.clone() },
        };
        self.network.push(Packet::Event { entry, agent, event });
    }

    /// Loses a packet. The sender of a call detects the loss; `applied` says
    /// whether a lost command was applied before.
    pub(crate) fn drop_packet(&mut self, position: usize, applied: bool) {
        if position >= self.network.len() {
            return;
        }
        match self.network.remove(position) {
            Packet::Call { entry, agent, agent_call, .. } => {
                self.report_lost_call(entry, agent, &agent_call)
            }
            Packet::Event { entry, agent, event: LinkEvent::Report { report } } => {
                let (key, attempt) = (report.key, report.attempt);
                let event = LinkEvent::CallLost { key, attempt, sent: true };
                self.network.push(Packet::Event { entry, agent, event });
            }
            Packet::Event { entry, agent, event: LinkEvent::Recalled { answer } } => {
                let queries = answer.statuses.into_iter().map(|status| status.query).collect();
                let event = LinkEvent::RecallLost { queries };
                self.network.push(Packet::Event { entry, agent, event });
            }
            // Events that the link itself raises can't be lost.
            packet @ Packet::Event { .. } => self.network.push(packet),
            Packet::LedgerCommand { entry, key, command } => {
                if applied {
                    self.apply(command);
                }
                let reply = if applied { LedgerReply::ReplyLost } else { LedgerReply::NotAccepted };
                self.network.push(Packet::LedgerReply { entry, key, reply });
            }
            Packet::LedgerReply { entry, key, .. } => {
                let reply = LedgerReply::ReplyLost;
                self.network.push(Packet::LedgerReply { entry, key, reply });
            }
        }
    }

    /// Restarts an agent without its state. Runs on its backend server continue,
    /// but the new process doesn't know of them.
    pub(crate) fn restart_agent(&mut self, agent: usize) {
        let new_state = self.new_agent(agent);
        let old = std::mem::replace(&mut self.agents[agent], new_state);
        for (entry, agent_call) in old.calls.into_values() {
            self.report_lost_call(entry, agent, &agent_call);
        }
        self.notify_members();
    }

    fn notify_members(&mut self) {
        let agents = self.agent_members();
        for entry in 0..self.entries.len() {
            let steps = self.entries[entry].dispatcher.on_members(self.now, &agents, 2);
            self.apply_dispatch_steps(entry, steps);
        }
        self.broadcast_views();
    }

    /// Expires an entry's lease and starts a new process in its place. The old
    /// process may still run for a while.
    pub(crate) fn expire_entry(&mut self, entry: usize) {
        let OwnerRef { entry: node, incarnation } = self.entries[entry].owner.clone();
        if self.entries[entry].fenced {
            return;
        }
        self.apply(Command::ExpireMember { node: node.clone(), incarnation });
        self.entries[entry].fenced = true;
        let number: usize = node[1..].parse().expect("the entry's name ends with its number");
        self.start_entry(number);
        self.broadcast_views();
    }

    /// Sends all fences to every agent and then commits that they are in force.
    pub(crate) fn distribute_fences(&mut self) {
        let membership = self.control.membership();
        for agent in 0..self.agents.len() {
            let steps = self.agents[agent].table.on_fences(self.now, &membership.fences);
            self.apply_start_steps(agent, steps);
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
            self.apply_start_steps(agent, steps);
        }
        for entry in 0..self.entries.len() {
            let steps = self.entries[entry].dispatcher.on_tick(self.now);
            self.entries[entry].dispatcher.plan_tick(self.now);
            self.apply_dispatch_steps(entry, steps);
            let steps = self.entries[entry].tracker.on_tick(self.now);
            self.apply_tracker_steps(entry, steps);
        }
    }

    /// Runs without faults for long enough that every call is answered: 60 rounds
    /// of 120 ms.
    pub(crate) fn run_fault_free(&mut self) {
        for _ in 0..60 {
            self.distribute_fences();
            self.broadcast_views();
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
        self.open_calls.len()
    }

    fn check_answer(&mut self, call: CallId, answer: CallerAnswer) {
        let Some((key, tasks)) = self.open_calls.remove(&call) else { return };
        match &answer {
            CallerAnswer::Job { answers } => {
                let texts: Vec<&str> = answers.iter().map(Payload::text).collect();
                let expected: Vec<String> =
                    (0..tasks).map(|task| format!("\"{}/{task}\"", key.submission)).collect();
                assert_eq!(texts, expected, "a job gets the answers of its own tasks in order");
            }
            CallerAnswer::Failed { failure } if failure.ran() == Ran::No => {
                // Another call of the same submission may have rerun it since.
                let rerun = failure.allows_rerun() && self.recorded_not_run.contains(&key);
                let started_task = self.find_start(&key);
                assert!(
                    started_task.is_none() || rerun,
                    "{key} was reported as not run ({failure:?}), but {started_task:?} had started"
                );
            }
            _ => {}
        }
        self.answers.push((key, answer));
    }
}
