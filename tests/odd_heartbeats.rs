//! Heartbeats with odd content, for example of another writer: nested deeply, with a
//! number beyond any real one, or with a port out of range. Nothing of such a heartbeat
//! is used, none ends a process, and the backend server's own ones are still followed.

use std::time::{Duration, Instant, SystemTime};

use decisions::agent::{RunStep, RunTable};
use decisions::schedule::{ScheduleStep, Scheduler, SchedulerKind};
use model::{
    AgentHeartbeat, AgentMessage, AgentOrder, AgentOrders, AgentReport, JobCall, NumberedMessage,
    RunUpdate, SchedulerKey, ServerAnswer, ServerCall, ServerHeartbeat, ServerReport,
    ServerRequest, ServerView, StartRefusal, TaskRun,
};
use platform::{check_born, read_heartbeat};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::agent_fixture::{AgentFixture, heartbeat as true_heartbeat, is_renewal, is_start, run};
use crate::schedule_model::{
    CallStatus, SERVICE, ScheduleModel, catalog, job, run_limits, schedule_limits,
};
use crate::support::case_count;

/// Longest time for which an earlier heartbeat counts as a late one.
const LATE_WINDOW: Duration = Duration::from_secs(5);

fn heartbeat_body() -> Value {
    json!({
        "service": SERVICE, "address": "10.128.0.9:8080", "zone": "umea", "state": "ready",
        "capacity": { "cpu": 4000, "mem_mb": 1000, "gpu": 0 }, "labels": ["a", "r1-3"],
        "clock_ms": 482113, "sequence": 4, "born": 17
    })
}

fn changed_body(change: impl FnOnce(&mut Value)) -> String {
    let mut body = heartbeat_body();
    change(&mut body);
    body.to_string()
}

/// The text of a heartbeat's error.
fn error_of(body: &str) -> String {
    let error = read_heartbeat("i-1", body.as_bytes()).expect_err(body);
    error.to_string()
}

// A number at the end of its type passed, and was used in sums and comparisons.
#[test]
fn huge_numbers_refused() {
    for path in
        ["/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu", "/sequence", "/born", "/clock_ms"]
    {
        for value in [u64::MAX, u64::MAX - 1, i64::MAX as u64] {
            let body = changed_body(|body| {
                *body.pointer_mut(path).expect("a known field") = json!(value);
            });
            let field = path.rsplit('/').next().expect("a path has a last part");
            let error = error_of(&body);
            assert!(error.contains(field) && error.contains("maximum"), "{path}: {error}");
        }
    }
}

// Numbers that the decoder has to refuse: beyond 64 bits, negative, or not whole.
#[test]
fn undecodable_numbers_refused() {
    for value in ["18446744073709551616", "-1", "1.5", "1e400", "1e5", "\"4\"", "null", "[]"] {
        for field in ["cpu", "sequence", "born"] {
            let marked = changed_body(|body| match field {
                "cpu" => body["capacity"][field] = json!("ODD"),
                _ => body[field] = json!("ODD"),
            });
            let body = marked.replace("\"ODD\"", value);
            assert!(read_heartbeat("i-1", body.as_bytes()).is_err(), "{field} {value}");
        }
    }
}

#[test]
fn odd_addresses_refused() {
    for address in [
        "10.128.0.9:65536",
        "10.128.0.9:99999999999999999999",
        "10.128.0.9:-1",
        "10.128.0.9:0",
        "10.128.0.9",
        "10.128.0.256:80",
        ":8080",
        "",
    ] {
        let error = error_of(&changed_body(|body| body["address"] = json!(address)));
        assert!(error.contains("address") && error.contains("port"), "{address}: {error}");
    }
}

// Nesting deep enough to exhaust the stack of a recursive decoder, both in a field that
// is used and in one that is ignored.
#[test]
fn nested_bodies_survived() {
    for depth in [200, 20_000] {
        let deep = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        let objects = format!("{}1{}", "{\"a\":".repeat(depth / 5), "}".repeat(depth / 5));
        for nested in [deep, objects] {
            for field in ["service", "labels", "address", "sequence", "born", "state"] {
                let marked = changed_body(|body| body[field] = json!("ODD"));
                error_of(&marked.replace("\"ODD\"", &nested));
            }
            let ignored = changed_body(|body| body["version"] = json!("ODD"));
            assert!(read_heartbeat("i-1", ignored.replace("\"ODD\"", &nested).as_bytes()).is_ok());
        }
    }
}

// Each report to a scheduler repeats these texts. One beyond the limit of a message
// would end every session.
#[test]
fn long_texts_refused() {
    let long = "x".repeat(200);
    for (field, value) in [
        ("service", json!(long)),
        ("zone", json!(long)),
        ("labels", json!([long])),
        ("labels", json!(vec!["r"; 1_000])),
    ] {
        let error = error_of(&changed_body(|body| body[field] = value));
        assert!(error.contains(field) && error.contains("maximum"), "{field}: {error}");
    }
    let padded = changed_body(|body| body["version"] = json!("x".repeat(5_000_000)));
    assert!(error_of(&padded).contains("bytes"));
    let body = heartbeat_body().to_string();
    for instance in ["", "i 1", "i-1\n", "\u{e4}", long.as_str()] {
        let error = read_heartbeat(instance, body.as_bytes()).expect_err(instance).to_string();
        assert!(error.contains("instance"), "{error}");
    }
}

// A limit that is too low would refuse the servers of a real deployment.
#[test]
fn generous_values_accepted() {
    let body = changed_body(|body| {
        body["capacity"] = json!({ "cpu": 1_000_000, "mem_mb": 100_000_000, "gpu": 1_000 });
        body["sequence"] = json!(1_u64 << 40);
        body["clock_ms"] = json!(10 * 365 * 24 * 3_600 * 1_000_u64);
        body["labels"] = json!(vec!["rack"; 32]);
    });
    assert!(read_heartbeat("i-7f3a91c2.north_1", body.as_bytes()).is_ok());
}

// A start in the future would outrank every later, true start of the server.
#[test]
fn future_starts_refused() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(1_800_000_000_000);
    let day_ms = 24 * 3_600 * 1_000;
    for (born, accepted) in [
        (0, true),
        (17, true),
        (1_800_000_000_000, true),
        // The clocks of hosts may differ, and be set while a server runs.
        (1_800_000_000_000 + 60_000, true),
        (1_800_000_000_000 + 2 * day_ms, false),
        (1_u64 << 52, false),
    ] {
        let body = changed_body(|body| body["born"] = json!(born));
        let heartbeat = read_heartbeat("i-1", body.as_bytes()).expect("a heartbeat in range");
        let checked = check_born(&heartbeat, now);
        assert_eq!(checked.is_ok(), accepted, "born {born}");
        if let Err(error) = checked {
            assert!(error.to_string().contains("born"), "{error}");
        }
    }
}

fn send(agent: &mut AgentFixture, heartbeat: &ServerHeartbeat) {
    let steps = agent.table.on_heartbeat(agent.now, heartbeat);
    agent.apply_steps(steps);
}

/// What the agent tells a scheduler that connects now of its backend server, which
/// answers all renewals with these runs.
fn reported_view(agent: &mut AgentFixture, running: Vec<TaskRun>) -> Option<ServerView> {
    agent.advance(Duration::from_millis(20));
    agent.answer_renewals_with(&ServerAnswer::Lists { running, ended: Vec::new() });
    let steps = agent.table.on_opened(agent.now, SchedulerKey::Control, 2);
    let report = steps.iter().find_map(|step| match step {
        RunStep::Report(SchedulerKey::Control, report) => Some(report.server.clone()),
        _ => None,
    });
    agent.apply_steps(steps);
    match report {
        Some(ServerReport::Present(view)) => Some(view),
        _ => None,
    }
}

fn is_draining(agent: &mut AgentFixture) -> bool {
    reported_view(agent, Vec::new()).expect("a server is known").draining
}

// One high sequence number barred the heartbeats of the rest of the server's life.
#[test]
fn high_sequence_overcome() {
    let mut agent = AgentFixture::new();
    send(&mut agent, &true_heartbeat(1 << 50, false));
    send(&mut agent, &true_heartbeat(2, true));
    assert!(!is_draining(&mut agent), "within the window it may be a late heartbeat");
    agent.advance(LATE_WINDOW);
    send(&mut agent, &true_heartbeat(3, true));
    assert!(is_draining(&mut agent), "the server's own heartbeats are followed again");
}

// A restart after the host's clock was set back has a lower start time than the life
// before; its heartbeats were ignored for as long as the agent ran.
#[test]
fn earlier_start_overcome() {
    let mut agent = AgentFixture::new();
    let restarted = |sequence| {
        let mut heartbeat = true_heartbeat(sequence, true);
        heartbeat.generation = 6;
        heartbeat.view.life = "i-1/6".into();
        heartbeat
    };
    send(&mut agent, &restarted(1));
    assert!(!is_draining(&mut agent), "within the window it may be a late heartbeat");
    agent.advance(LATE_WINDOW);
    send(&mut agent, &restarted(2));
    assert!(is_draining(&mut agent), "the server's own heartbeats are followed again");
}

/// A heartbeat of an instance that does not run here, with any start time.
fn foreign_heartbeat(generation: u64) -> ServerHeartbeat {
    let mut heartbeat = true_heartbeat(1, false);
    heartbeat.instance = "i-odd".into();
    heartbeat.generation = generation;
    heartbeat.view.life = format!("i-odd/{generation}").into();
    heartbeat.view.service = "unnamed".into();
    heartbeat
}

/// An agent whose backend server runs one task.
fn busy_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    agent.start(100);
    let start = agent.take_call(is_start).expect("there is free capacity");
    agent.answer(&start, ServerAnswer::Done);
    agent
}

// A heartbeat under another id ended the life of the server at once: its runs were
// reported as lapsed, and started elsewhere, while they still ran.
#[test]
fn foreign_instance_not_followed() {
    for generation in [0, 7, 1 << 50] {
        let mut agent = busy_agent();
        send(&mut agent, &foreign_heartbeat(generation));
        for _ in 0..3 {
            let view = reported_view(&mut agent, vec![run()]).expect("a server is known");
            assert_eq!(view.life, "i-1/7");
        }
        assert_eq!(agent.updates, [], "the run still runs");
        assert_eq!(agent.table.runs(), 1);
        send(&mut agent, &true_heartbeat(2, true));
        let view = reported_view(&mut agent, vec![run()]).expect("a server is known");
        assert!(view.draining, "the server's own heartbeats are followed");
    }
}

// The heartbeat of a server that did replace the earlier one must be followed at once,
// also if its start time is lower.
#[test]
fn replaced_instance_followed() {
    for generation in [3, 9] {
        let mut agent = busy_agent();
        while agent.take_call(is_renewal).is_some() {}
        send(&mut agent, &foreign_heartbeat(generation));
        let query = agent.take_call(is_renewal).expect("the lists are queried at once");
        agent.answer(&query, ServerAnswer::Refused(StartRefusal::Gone));
        assert_eq!(agent.updates.len(), 1, "the run ended with its server");
        let renewal = agent.take_call(is_renewal).expect("the new server's lists are queried");
        assert_eq!(renewal.instance, "i-odd");
    }
}

// A query without an answer shows nothing: the earlier life is neither followed for ever
// nor taken to be over before its lease has expired.
#[test]
fn silent_server_replaced() {
    let mut agent = busy_agent();
    while agent.take_call(is_renewal).is_some() {}
    send(&mut agent, &foreign_heartbeat(9));
    let query = agent.take_call(is_renewal).expect("the lists are queried at once");
    agent.answer(&query, ServerAnswer::NoAnswer);
    assert_eq!(agent.updates, []);
    agent.advance(Duration::from_millis(2_000));
    let lapsed = agent.updates.iter().any(|update| *update == RunUpdate::lapsed(run()));
    assert!(lapsed, "{:?}", agent.updates);
    // The former server's lists were queried until its lease had expired.
    let renewals = std::iter::from_fn(|| agent.take_call(is_renewal));
    let renewal = renewals.last().expect("the new server's lists are queried");
    assert_eq!(renewal.instance, "i-odd");
}

/// Any JSON value, mostly an odd one.
fn odd_value() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<u64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        (0_u32..64).prop_map(|shift| (u64::MAX >> shift).to_string()),
        (0_usize..300).prop_map(|depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth))),
        "[ -~]{0,20}".prop_map(|text| json!(text).to_string()),
        Just("null".to_owned()),
        Just("18446744073709551616".to_owned()),
        Just("\"10.128.0.9:65536\"".to_owned()),
        Just("\"draining\"".to_owned()),
        Just("[\"a\"]".to_owned()),
        Just("{\"cpu\":18446744073709551615}".to_owned()),
    ]
}

/// A heartbeat's body in which up to four fields have odd values.
fn odd_body() -> impl Strategy<Value = String> {
    let field = prop_oneof![
        Just("service"),
        Just("address"),
        Just("zone"),
        Just("state"),
        Just("capacity"),
        Just("labels"),
        Just("clock_ms"),
        Just("sequence"),
        Just("born"),
        Just("novel"),
        Just("capacity/cpu"),
        Just("capacity/mem_mb"),
        Just("capacity/gpu"),
    ];
    let changes = prop::collection::vec((field, odd_value()), 0..5);
    changes.prop_map(|changes| {
        let mut body = heartbeat_body();
        for (number, (field, _)) in changes.iter().enumerate() {
            let mark = json!(format!("ODD{number}"));
            match field.strip_prefix("capacity/") {
                Some(part) if body["capacity"].is_object() => body["capacity"][part] = mark,
                Some(_) => {}
                None => body[*field] = mark,
            }
        }
        let mut text = body.to_string();
        for (number, (_, value)) in changes.iter().enumerate() {
            text = text.replace(&format!("\"ODD{number}\""), value);
        }
        text
    })
}

/// Link of the agent in [`Pair`].
const LINK: u64 = 1;

/// An agent and the scheduler of an entry, connected without delay. Calls to the
/// backend server get empty lists or are refused as another instance's.
struct Pair {
    now: Instant,
    table: RunTable,
    scheduler: Scheduler,
    calls: Vec<ServerCall>,
    /// Number of the agent's latest message.
    last_message: u64,
    last_call: u64,
    /// Number of start orders so far.
    starts: usize,
}

impl Pair {
    fn new() -> Pair {
        let now = Instant::now();
        let mut scheduler =
            Scheduler::new(now, SchedulerKind::Entry, schedule_limits(SchedulerKind::Entry));
        scheduler.on_catalog(&catalog(1));
        let table = RunTable::new(now, "agent-1".into(), 40, run_limits());
        let mut pair = Pair {
            now,
            table,
            scheduler,
            calls: Vec::new(),
            last_message: 0,
            last_call: 0,
            starts: 0,
        };
        let steps = pair.table.on_opened(now, entry(), 1);
        pair.apply_run_steps(steps);
        pair
    }

    fn apply_run_steps(&mut self, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => self.calls.push(call),
                RunStep::Report(_, report) => self.report(&report),
                RunStep::SetActive(..) | RunStep::Connect(_) | RunStep::Log(_) => {}
            }
        }
    }

    fn report(&mut self, report: &AgentReport) {
        let text = serde_json::to_string(report).expect("a report can be encoded");
        let report = serde_json::from_str(&text).expect("a report can be decoded");
        self.last_message += 1;
        let message = AgentMessage::Report(Box::new(report));
        let message = NumberedMessage { number: self.last_message, message };
        self.scheduler.on_agent_message(self.now, LINK, &message);
        self.settle();
        let steps = self.table.on_reports_acked(self.now, &entry(), 1, 1);
        self.apply_run_steps(steps);
    }

    fn settle(&mut self) {
        let steps = self.scheduler.settle(self.now);
        self.apply_schedule_steps(steps);
    }

    fn apply_schedule_steps(&mut self, steps: Vec<ScheduleStep>) {
        for step in steps {
            match step {
                ScheduleStep::Orders { orders, .. } => self.take_orders(*orders),
                ScheduleStep::CloseLink { .. } => panic!("a report was not accepted"),
                _ => {}
            }
        }
    }

    fn take_orders(&mut self, orders: AgentOrders) {
        let is_start = |order: &&AgentOrder| matches!(order, AgentOrder::Start { .. });
        self.starts += orders.orders.iter().filter(is_start).count();
        let steps = self.table.on_orders(self.now, &entry(), 1, self.now, orders);
        self.apply_run_steps(steps);
    }

    /// Lets time pass, with a heartbeat, a job, and an answer to each call.
    fn advance(&mut self, step: Duration) {
        self.now += step;
        if self.last_message > 0 {
            self.last_message += 1;
            let heartbeat = AgentHeartbeat { agent: "agent-1".into(), incarnation: 40, session: 1 };
            let message = AgentMessage::Heartbeat(heartbeat);
            let message = NumberedMessage { number: self.last_message, message };
            self.scheduler.on_agent_message(self.now, LINK, &message);
            self.settle();
        }
        self.last_call += 1;
        let job = job(self.last_call as usize, 2, true);
        let call = JobCall::Submit { job, wait_ms: 500 };
        self.scheduler.on_job_call(self.now, self.last_call, &call);
        self.settle();
        for call in std::mem::take(&mut self.calls) {
            let answer = match (call.instance.as_str(), &call.request) {
                ("i-1", ServerRequest::RenewLease { .. }) => {
                    ServerAnswer::Lists { running: Vec::new(), ended: Vec::new() }
                }
                ("i-1", _) => ServerAnswer::Done,
                _ => ServerAnswer::Refused(StartRefusal::Gone),
            };
            let steps = self.table.on_answer(self.now, &call, None, answer);
            self.apply_run_steps(steps);
        }
        let steps = self.table.on_tick(self.now);
        self.apply_run_steps(steps);
        self.scheduler.on_idle(self.now);
        self.settle();
    }

    /// Takes a heartbeat in if it can be read.
    fn heartbeat(&mut self, instance: &str, body: &str) {
        if let Ok(heartbeat) = read_heartbeat(instance, body.as_bytes())
            && check_born(&heartbeat, SystemTime::now()).is_ok()
        {
            let steps = self.table.on_heartbeat(self.now, &heartbeat);
            self.apply_run_steps(steps);
        }
    }
}

fn entry() -> SchedulerKey {
    SchedulerKey::Entry("entry-1".into())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: case_count(64),
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // No heartbeat may end the agent or the scheduler, and once the odd ones stop, the
    // server's own ones are followed: the scheduler starts tasks there.
    #[test]
    fn odd_bodies_survived(
        bodies in prop::collection::vec((prop_oneof![Just("i-1"), Just("i-2")], odd_body()), 0..6),
    ) {
        let mut pair = Pair::new();
        pair.heartbeat("i-1", &heartbeat_body().to_string());
        pair.advance(Duration::from_millis(5));
        for (instance, body) in bodies {
            pair.heartbeat(instance, &body);
            pair.advance(Duration::from_millis(20));
        }
        let mut starts_before = 0;
        for round in 0..60_u64 {
            let body = changed_body(|body| {
                body["sequence"] = json!(10 + round);
                body["capacity"]["cpu"] = json!(8_000);
            });
            pair.heartbeat("i-1", &body);
            pair.advance(Duration::from_millis(100));
            if round == 52 {
                starts_before = pair.starts;
            }
        }
        prop_assert!(pair.starts > starts_before, "tasks are started there");
        let steps = pair.table.on_opened(pair.now, SchedulerKey::Control, 2);
        let report = steps.into_iter().find_map(|step| match step {
            RunStep::Report(SchedulerKey::Control, report) => Some(report),
            _ => None,
        });
        let Some(ServerReport::Present(view)) = report.map(|report| report.server) else {
            panic!("a server is known");
        };
        prop_assert_eq!(view.service, SERVICE);
        prop_assert_eq!(view.capacity.cpu_milli, 8_000);
    }
}

// In the whole system of schedulers and agents, an odd heartbeat among the usual ones.
#[test]
fn jobs_outlast_foreign_heartbeats() {
    let mut model = ScheduleModel::new(1, 2);
    let calls: Vec<u64> = (1..=3).map(|number| model.submit(1, job(number, 2, true))).collect();
    model.run_fault_free(1);
    for generation in [0, 1, 1 << 50] {
        model.foreign_heartbeat(0, generation);
        model.run_fault_free(1);
    }
    model.run_fault_free(20);
    for call in calls {
        assert!(matches!(model.replies[&call], CallStatus::Reply(model::JobReply::Phase(_))));
    }
    assert!(model.starts.values().all(|starts| *starts == 1), "no task is started again");
}
