//! The calls of an agent to its backend server when answers are lost, and when
//! its lease or its schedulers' grants expire. A run that the agent reports as refused
//! or ended is started elsewhere, so it runs twice if it can still start or run here.

use std::time::{Duration, Instant};

use decisions::agent::{RunStep, RunTable};
use model::{
    AgentOrder, AgentOrders, ResourceAmount, RunUpdate, SchedulerKey, ServerAnswer, ServerCall,
    ServerHeartbeat, ServerRequest, ServerView, StartRefusal, TaskName, TaskRun,
};

use crate::schedule_model::{LEASE, run_limits};

/// How long the agent keeps the entry's runs active after it sent a poll.
const GRANT: Duration = Duration::from_secs(1);

/// A run table with the calls that it has made and the updates that it has reported.
struct Agent {
    now: Instant,
    table: RunTable,
    /// Calls to the backend server that the test has not taken yet.
    calls: Vec<ServerCall>,
    updates: Vec<RunUpdate>,
}

fn entry() -> SchedulerKey {
    SchedulerKey::Entry("entry-1".into())
}

fn run() -> TaskRun {
    let task = TaskName { job: "5c0e7a21d94b36f8".into(), occurrence: 0, step: 0, index: 0 };
    TaskRun { task, run: 1 }
}

fn heartbeat(sequence: u64, draining: bool) -> ServerHeartbeat {
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

impl Agent {
    /// Creates an agent with a grant and a backend server without runs or ends.
    fn new() -> Agent {
        let now = Instant::now();
        let table = RunTable::new(now, "agent-1".into(), 40, run_limits());
        let mut agent = Agent { now, table, calls: Vec::new(), updates: Vec::new() };
        agent.heartbeat(1, false);
        agent.answer_renewal();
        let steps = agent.table.on_opened(now, entry(), 1);
        agent.apply_steps(steps);
        agent.order(Vec::new());
        agent
    }

    fn apply_steps(&mut self, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => self.calls.push(call),
                RunStep::Report(scheduler, report) => {
                    self.updates.extend(report.updates);
                    let steps = self.table.on_report_acked(self.now, &scheduler, report.session);
                    self.apply_steps(steps);
                }
                RunStep::Connect(_) | RunStep::Log(_) => {}
            }
        }
    }

    fn heartbeat(&mut self, sequence: u64, draining: bool) {
        let steps = self.table.on_heartbeat(self.now, &heartbeat(sequence, draining));
        self.apply_steps(steps);
    }

    fn order(&mut self, orders: Vec<AgentOrder>) {
        let grant_ms = GRANT.as_millis() as u64;
        let orders = AgentOrders {
            term: 0,
            grant_ms,
            usage_interval_ms: 50,
            ack: None,
            orders,
            entries: None,
        };
        let steps = self.table.on_orders(self.now, &entry(), 1, self.now, orders);
        self.apply_steps(steps);
    }

    fn start(&mut self, cpu_milli: u64) {
        let size = ResourceAmount { cpu_milli, memory_mb: 1, accelerators: 0 };
        let (life, spec) = ("i-1/7".into(), "work".to_owned());
        self.order(vec![AgentOrder::Start { life, runs: vec![run()], spec, size }]);
    }

    fn answer(&mut self, call: &ServerCall, answer: ServerAnswer) {
        let steps = self.table.on_answer(self.now, call, None, answer);
        self.apply_steps(steps);
    }

    fn take_call(&mut self, is_wanted: fn(&ServerRequest) -> bool) -> Option<ServerCall> {
        let position = self.calls.iter().position(|call| is_wanted(&call.request))?;
        Some(self.calls.remove(position))
    }

    /// Answers the oldest pending renewal with empty lists.
    fn answer_renewal(&mut self) {
        while let Some(call) = self.take_call(is_renewal) {
            let lists = ServerAnswer::Lists { running: Vec::new(), ended: Vec::new() };
            self.answer(&call, lists);
            if self.calls.iter().filter(|call| is_renewal(&call.request)).count() > 0 {
                return;
            }
        }
    }

    fn advance(&mut self, step: Duration) {
        self.now += step;
        let steps = self.table.on_tick(self.now);
        self.apply_steps(steps);
    }

    fn pending_renewals(&self) -> usize {
        self.calls.iter().filter(|call| is_renewal(&call.request)).count()
    }
}

fn is_renewal(request: &ServerRequest) -> bool {
    matches!(request, ServerRequest::RenewLease { .. })
}

fn is_start(request: &ServerRequest) -> bool {
    matches!(request, ServerRequest::Start { .. })
}

fn is_stop(request: &ServerRequest) -> bool {
    matches!(request, ServerRequest::Stop { .. })
}

#[test]
fn one_renewal_pending() {
    let mut agent = Agent::new();
    for _ in 0..20 {
        agent.advance(Duration::from_millis(15));
    }
    assert_eq!(agent.pending_renewals(), 1);
}

#[test]
fn second_renewal_after_loss() {
    let mut agent = Agent::new();
    agent.advance(Duration::from_millis(20));
    let lost = agent.take_call(is_renewal).expect("a renewal is pending");
    agent.answer(&lost, ServerAnswer::NoAnswer);
    for _ in 0..10 {
        agent.advance(Duration::from_millis(15));
    }
    assert_eq!(agent.pending_renewals(), 2);
}

#[test]
fn failed_renewals_back_off() {
    let mut agent = Agent::new();
    let mut sent = 0;
    for _ in 0..1_000 {
        agent.advance(Duration::from_millis(1));
        while let Some(call) = agent.take_call(is_renewal) {
            sent += 1;
            agent.answer(&call, ServerAnswer::NoAnswer);
        }
    }
    assert!((3..20).contains(&sent), "{sent} renewals in a second");
}

#[test]
fn unanswered_start_barred() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::NoAnswer);
    assert!(agent.updates.is_empty(), "the start may still be executed");
    let stop = agent.take_call(is_stop).expect("the run is stopped");
    agent.answer(&stop, ServerAnswer::Done);
    agent.advance(Duration::from_millis(1));
    // The answer to a renewal that was sent after the stop doesn't list the run.
    agent.answer_renewal();
    agent.answer_renewal();
    let refusal = StartRefusal::Barred;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run(), refusal }]);
}

#[test]
fn expired_grant_stops_runs() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    agent.advance(GRANT.mul_f64(0.5));
    assert!(agent.take_call(is_stop).is_none());
    agent.advance(GRANT.mul_f64(0.5));
    assert!(agent.take_call(is_stop).is_some());
}

#[test]
fn expired_lease_ends_runs() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    agent.advance(LEASE * 2);
    let ended = RunUpdate::lapsed(run());
    assert!(agent.updates.contains(&ended), "{:?}", agent.updates);
}

#[test]
fn draining_refuses_starts() {
    let mut agent = Agent::new();
    agent.heartbeat(2, true);
    agent.start(1_000);
    assert!(agent.take_call(is_start).is_none());
    let refusal = StartRefusal::Gone;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run(), refusal }]);
    agent.heartbeat(1, false);
    agent.start(1_000);
    assert!(agent.take_call(is_start).is_none(), "a stale heartbeat must be ignored");
}

#[test]
fn capacity_enforced() {
    let mut agent = Agent::new();
    agent.start(2_001);
    assert!(agent.take_call(is_start).is_none());
    let refusal = StartRefusal::Room;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run(), refusal }]);
}

#[test]
fn refused_fence_raised() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Refused(StartRefusal::Fence));
    agent.start(1_000);
    let next = agent.take_call(is_start).expect("the run is started again");
    assert!(next.fence > start.fence);
}
