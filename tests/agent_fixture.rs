//! Fixture of an agent's run table with one scheduler, an entry: a test answers
//! the calls to the backend server and sees what is reported.

use std::time::{Duration, Instant};

use decisions::agent::{RunLimits, RunStep, RunTable};
use model::{
    AgentOrder, AgentOrders, ListedEnd, PairReport, QueueId, ResourceAmount, RunUpdate,
    SchedulerKey, ServerAnswer, ServerCall, ServerHeartbeat, ServerReport, ServerRequest,
    ServerView, SpeedReport, TaskName, TaskRun, Term,
};

use crate::schedule_model::run_limits;

/// How long the agent keeps the entry's runs active after it sent a message.
pub(crate) const GRANT: Duration = Duration::from_secs(1);

/// Step of the time in which the backend server is silent.
const SILENT_STEP: Duration = Duration::from_millis(10);

/// Least time between two timeouts that the agent handles.
const MIN_TICK: Duration = Duration::from_millis(1);

/// A run table with the calls that it has made and the updates that it has reported.
pub(crate) struct AgentFixture {
    pub(crate) now: Instant,
    pub(crate) table: RunTable,
    /// Calls to the backend server that the test has not taken yet.
    calls: Vec<ServerCall>,
    pub(crate) updates: Vec<RunUpdate>,
    /// What the reports say of the backend server.
    pub(crate) server: ServerReport,
    /// Speeds of the backend server that the reports contain.
    pub(crate) speeds: Vec<SpeedReport>,
    /// Pairs of kinds in each report that contains any, and the kinds of other schedulers.
    pub(crate) pairs: Vec<Vec<PairReport>>,
    pub(crate) other_kinds: Vec<Vec<QueueId>>,
}

pub(crate) fn entry() -> SchedulerKey {
    SchedulerKey::Entry("entry-1".into())
}

/// The first run of task 0.
pub(crate) fn run() -> TaskRun {
    run_of(0)
}

/// The first run of a task.
pub(crate) fn run_of(index: u32) -> TaskRun {
    let task = TaskName { job: "5c0e7a21d94b36f8".into(), occurrence: 0, step: 0, index };
    TaskRun { task, run: 1 }
}

/// The heartbeat of the agent's backend server.
pub(crate) fn heartbeat(sequence: u64, draining: bool) -> ServerHeartbeat {
    ServerHeartbeat {
        view: ServerView {
            life: "i-1/7".into(),
            service: "s".into(),
            domain: "north".into(),
            capacity: ResourceAmount { cpu_milli: 2_000, memory_mb: 100, accelerators: 0 },
            labels: Vec::new(),
            draining,
        },
        address: ([127, 0, 0, 1], 9_000).into(),
        instance: "i-1".into(),
        generation: 7,
        sequence,
        clock: Some(Duration::from_secs(5)),
    }
}

impl AgentFixture {
    /// Creates an agent with a grant and a backend server without runs or ends.
    pub(crate) fn new() -> AgentFixture {
        AgentFixture::with_limits(run_limits())
    }

    /// Creates the same agent with other limits.
    pub(crate) fn with_limits(limits: RunLimits) -> AgentFixture {
        let now = Instant::now();
        let table = RunTable::new(now, "agent-1".into(), 40, limits);
        let mut agent = AgentFixture {
            now,
            table,
            calls: Vec::new(),
            updates: Vec::new(),
            server: ServerReport::Absent,
            speeds: Vec::new(),
            pairs: Vec::new(),
            other_kinds: Vec::new(),
        };
        agent.heartbeat(1, false);
        agent.answer_renewal();
        let steps = agent.table.on_opened(now, entry(), 1);
        agent.apply_steps(steps);
        agent.order(Vec::new());
        agent
    }

    pub(crate) fn apply_steps(&mut self, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => self.calls.push(call),
                RunStep::Report(scheduler, report) => {
                    self.updates.extend(report.updates);
                    self.speeds.extend(report.speed);
                    self.pairs.extend((!report.pairs.is_empty()).then_some(report.pairs));
                    self.other_kinds.extend(report.other_kinds);
                    if report.server != ServerReport::Unchanged {
                        self.server = report.server;
                    }
                    let session = report.session;
                    let steps = self.table.on_reports_acked(self.now, &scheduler, session, 1);
                    self.apply_steps(steps);
                }
                RunStep::SetActive(..) | RunStep::Connect(_) | RunStep::Log(_) => {}
            }
        }
    }

    pub(crate) fn heartbeat(&mut self, sequence: u64, draining: bool) {
        let steps = self.table.on_heartbeat(self.now, &heartbeat(sequence, draining));
        self.apply_steps(steps);
    }

    pub(crate) fn order(&mut self, orders: Vec<AgentOrder>) {
        self.order_in_term(0, orders);
    }

    pub(crate) fn order_in_term(&mut self, term: Term, orders: Vec<AgentOrder>) {
        let grant_ms = GRANT.as_millis() as u64;
        let orders = AgentOrders {
            term,
            received: 1,
            grant_ms,
            usage_interval_ms: 50,
            ack: None,
            orders,
            claims: None,
            entries: None,
            controls: None,
            evacuated: None,
            watched_kinds: None,
        };
        let steps = self.table.on_orders(self.now, &entry(), 1, self.now, orders);
        self.apply_steps(steps);
    }

    pub(crate) fn start(&mut self, cpu_milli: u64) {
        self.start_run(run(), cpu_milli);
    }

    pub(crate) fn start_run(&mut self, run: TaskRun, cpu_milli: u64) {
        let size = ResourceAmount { cpu_milli, memory_mb: 1, accelerators: 0 };
        let (life, spec) = ("i-1/7".into(), "work".to_owned());
        self.order(vec![AgentOrder::Start {
            life,
            runs: vec![run],
            spec,
            size,
            estimate_ms: None,
            queue: None,
        }]);
    }

    /// Answers the pending renewal with a list that shows one end, and no runs.
    pub(crate) fn list_end(&mut self, end: ListedEnd) {
        let renewal = self.take_call(is_renewal).expect("a renewal is pending");
        let lists = ServerAnswer::Lists { running: Vec::new(), ended: vec![end] };
        self.answer(&renewal, lists);
    }

    /// Whether a start was sent to the backend server since the last call.
    pub(crate) fn take_start(&mut self) -> Option<TaskRun> {
        match self.take_call(is_start)?.request {
            ServerRequest::Start { run, .. } => Some(run),
            _ => None,
        }
    }

    pub(crate) fn answer(&mut self, call: &ServerCall, answer: ServerAnswer) {
        let steps = self.table.on_answer(self.now, call, None, answer);
        self.apply_steps(steps);
    }

    pub(crate) fn take_call(
        &mut self,
        is_wanted: fn(&ServerRequest) -> bool,
    ) -> Option<ServerCall> {
        let position = self.calls.iter().position(|call| is_wanted(&call.request))?;
        Some(self.calls.remove(position))
    }

    /// Answers the oldest pending renewal with empty lists.
    pub(crate) fn answer_renewal(&mut self) {
        while let Some(call) = self.take_call(is_renewal) {
            let lists = ServerAnswer::Lists { running: Vec::new(), ended: Vec::new() };
            self.answer(&call, lists);
            if self.calls.iter().filter(|call| is_renewal(&call.request)).count() > 0 {
                return;
            }
        }
    }

    /// Answers the oldest pending renewal.
    pub(crate) fn answer_oldest_renewal(&mut self, answer: &ServerAnswer) {
        if let Some(call) = self.take_call(is_renewal) {
            self.answer(&call, answer.clone());
        }
    }

    /// Leaves every call unanswered for a time, while the schedulers' grants last.
    pub(crate) fn stay_silent(&mut self, time: Duration) -> Vec<ServerCall> {
        let until = self.now + time;
        let mut unanswered = Vec::new();
        while self.now < until {
            self.advance(SILENT_STEP);
            self.order(Vec::new());
            while let Some(call) = self.take_call(|_| true) {
                self.answer(&call, ServerAnswer::NoAnswer);
                unanswered.push(call);
            }
        }
        unanswered
    }

    /// Answers every renewal that is pending now.
    pub(crate) fn answer_renewals_with(&mut self, answer: &ServerAnswer) {
        for _ in 0..self.pending_renewals() {
            self.answer_oldest_renewal(answer);
        }
    }

    /// Lets time pass, in which the agent handles each timeout when it is due.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until
            && let Some(due) = self.table.next_deadline().filter(|due| *due < until)
        {
            self.tick_at(due.max(self.now + MIN_TICK).min(until));
        }
        self.tick_at(until);
    }

    /// Lets time pass in which the agent does not run, as while its host is suspended.
    pub(crate) fn pause(&mut self, time: Duration) {
        self.tick_at(self.now + time);
    }

    fn tick_at(&mut self, now: Instant) {
        self.now = now;
        let steps = self.table.on_tick(now);
        self.apply_steps(steps);
    }

    /// Takes a renewal that is pending, or the next one.
    pub(crate) fn take_pending_renewal(&mut self) -> ServerCall {
        loop {
            if let Some(call) = self.take_call(is_renewal) {
                return call;
            }
            self.advance(SILENT_STEP);
        }
    }

    pub(crate) fn pending_renewals(&self) -> usize {
        self.calls.iter().filter(|call| is_renewal(&call.request)).count()
    }
}

pub(crate) fn is_renewal(request: &ServerRequest) -> bool {
    matches!(request, ServerRequest::RenewLease { .. })
}

pub(crate) fn is_start(request: &ServerRequest) -> bool {
    matches!(request, ServerRequest::Start { .. })
}

pub(crate) fn is_stop(request: &ServerRequest) -> bool {
    matches!(request, ServerRequest::Stop { .. })
}
