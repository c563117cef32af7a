//! What an agent asks of its backend server while answers are missing, and
//! when its lease and its schedulers' grants run out.

use std::time::{Duration, Instant};

use decisions::agent::{RunStep, RunTable};
use model::{
    AgentOrder, AgentOrders, EndKind, RoomSize, RunNews, SchedulerKey, ServerAnswer, ServerBeat,
    ServerCall, ServerView, ServerWish, StartRefusal, TaskName, TaskRun,
};

use crate::schedule_model::{LEASE, run_limits};

const GRANT: Duration = Duration::from_secs(1);

struct Agent {
    now: Instant,
    table: RunTable,
    calls: Vec<ServerCall>,
    news: Vec<RunNews>,
}

fn entry() -> SchedulerKey {
    SchedulerKey::Entry("entry-1".into())
}

fn run() -> TaskRun {
    let task = TaskName { job: "5c0e7a21d94b36f8".into(), occurrence: 0, step: 0, index: 0 };
    TaskRun { task, run: 1 }
}

fn beat(sequence: u64, draining: bool) -> ServerBeat {
    ServerBeat {
        view: ServerView {
            life: "i-1/7".into(),
            service: "s".into(),
            domain: "north".into(),
            room: RoomSize { cpu_milli: 2_000, memory_mb: 100, accelerators: 0 },
            labels: Vec::new(),
            draining,
        },
        address: ([127, 0, 0, 1], 9_000).into(),
        instance: "i-1".into(),
        born: 7,
        sequence,
        clock: Some(Duration::from_secs(5)),
    }
}

impl Agent {
    /// An agent with a backend server that has listed nothing, and a grant.
    fn new() -> Agent {
        let now = Instant::now();
        let table = RunTable::new(now, "agent-1".into(), 40, run_limits());
        let mut agent = Agent { now, table, calls: Vec::new(), news: Vec::new() };
        agent.beat(1, false);
        agent.answer_holds();
        let steps = agent.table.on_opened(now, entry(), 1);
        agent.take(steps);
        agent.order(Vec::new());
        agent
    }

    fn take(&mut self, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => self.calls.push(call),
                RunStep::Report(scheduler, report) => {
                    self.news.extend(report.news);
                    let taken = self.table.on_report_taken(self.now, &scheduler, report.session);
                    self.take(taken);
                }
                RunStep::Connect(_) | RunStep::Note(_) => {}
            }
        }
    }

    fn beat(&mut self, sequence: u64, draining: bool) {
        let steps = self.table.on_beat(self.now, &beat(sequence, draining));
        self.take(steps);
    }

    fn order(&mut self, orders: Vec<AgentOrder>) {
        let grant_ms = GRANT.as_millis() as u64;
        let orders =
            AgentOrders { term: 0, grant_ms, room_gap_ms: 50, noted: None, orders, entries: None };
        let steps = self.table.on_orders(self.now, &entry(), 1, self.now, orders);
        self.take(steps);
    }

    fn start(&mut self, cpu_milli: u64) {
        let size = RoomSize { cpu_milli, memory_mb: 1, accelerators: 0 };
        let (life, spec) = ("i-1/7".into(), "work".to_owned());
        self.order(vec![AgentOrder::Start { life, runs: vec![run()], spec, size }]);
    }

    fn answer(&mut self, call: &ServerCall, answer: ServerAnswer) {
        let steps = self.table.on_answer(self.now, call, None, answer);
        self.take(steps);
    }

    fn take_call(&mut self, wanted: fn(&ServerWish) -> bool) -> Option<ServerCall> {
        let position = self.calls.iter().position(|call| wanted(&call.wish))?;
        Some(self.calls.remove(position))
    }

    fn answer_holds(&mut self) {
        while let Some(call) = self.take_call(is_hold) {
            let lists = ServerAnswer::Lists { running: Vec::new(), ended: Vec::new() };
            self.answer(&call, lists);
            if self.calls.iter().filter(|call| is_hold(&call.wish)).count() > 0 {
                return;
            }
        }
    }

    fn advance(&mut self, step: Duration) {
        self.now += step;
        let steps = self.table.on_tick(self.now);
        self.take(steps);
    }

    fn waiting_holds(&self) -> usize {
        self.calls.iter().filter(|call| is_hold(&call.wish)).count()
    }
}

fn is_hold(wish: &ServerWish) -> bool {
    matches!(wish, ServerWish::Hold { .. })
}

fn is_start(wish: &ServerWish) -> bool {
    matches!(wish, ServerWish::Start { .. })
}

fn is_stop(wish: &ServerWish) -> bool {
    matches!(wish, ServerWish::Stop { .. })
}

#[test]
fn one_hold_when_sure() {
    let mut agent = Agent::new();
    for _ in 0..20 {
        agent.advance(Duration::from_millis(15));
    }
    assert_eq!(agent.waiting_holds(), 1);
}

#[test]
fn two_holds_when_unsure() {
    let mut agent = Agent::new();
    agent.advance(Duration::from_millis(20));
    let lost = agent.take_call(is_hold).expect("a hold waits");
    agent.answer(&lost, ServerAnswer::NoAnswer);
    for _ in 0..10 {
        agent.advance(Duration::from_millis(15));
    }
    assert_eq!(agent.waiting_holds(), 2);
}

#[test]
fn failing_holds_slow_down() {
    let mut agent = Agent::new();
    let mut made = 0;
    for _ in 0..1_000 {
        agent.advance(Duration::from_millis(1));
        while let Some(call) = agent.take_call(is_hold) {
            made += 1;
            agent.answer(&call, ServerAnswer::NoAnswer);
        }
    }
    assert!((3..20).contains(&made), "{made} holds in a second");
}

#[test]
fn doubtful_start_is_barred() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("it is started");
    agent.answer(&start, ServerAnswer::NoAnswer);
    assert!(agent.news.is_empty(), "it may yet start");
    let stop = agent.take_call(is_stop).expect("it is stopped");
    agent.answer(&stop, ServerAnswer::Done);
    agent.advance(Duration::from_millis(1));
    agent.answer_holds();
    agent.answer_holds();
    let refusal = StartRefusal::Barred;
    assert_eq!(agent.news, [RunNews::Refused { run: run(), refusal }]);
}

#[test]
fn grant_over_stops_runs() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("it is started");
    agent.answer(&start, ServerAnswer::Done);
    agent.advance(GRANT.mul_f64(0.5));
    assert!(agent.take_call(is_stop).is_none());
    agent.advance(GRANT.mul_f64(0.5));
    assert!(agent.take_call(is_stop).is_some());
}

#[test]
fn silent_server_lapses() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("it is started");
    agent.answer(&start, ServerAnswer::Done);
    agent.advance(LEASE * 2);
    let ended = RunNews::Ended { number: 0, run: run(), kind: EndKind::Lapsed };
    assert!(agent.news.contains(&ended), "{:?}", agent.news);
}

#[test]
fn draining_starts_nothing() {
    let mut agent = Agent::new();
    agent.beat(2, true);
    agent.start(1_000);
    assert!(agent.take_call(is_start).is_none());
    let refusal = StartRefusal::Gone;
    assert_eq!(agent.news, [RunNews::Refused { run: run(), refusal }]);
    agent.beat(1, false);
    agent.start(1_000);
    assert!(agent.take_call(is_start).is_none(), "a late heartbeat says nothing");
}

#[test]
fn room_is_guarded() {
    let mut agent = Agent::new();
    agent.start(2_001);
    assert!(agent.take_call(is_start).is_none());
    let refusal = StartRefusal::Room;
    assert_eq!(agent.news, [RunNews::Refused { run: run(), refusal }]);
}

#[test]
fn seen_fence_is_passed() {
    let mut agent = Agent::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("it is started");
    agent.answer(&start, ServerAnswer::Refused(StartRefusal::Fence));
    agent.start(1_000);
    let next = agent.take_call(is_start).expect("it is started again");
    assert!(next.fence > start.fence);
}
