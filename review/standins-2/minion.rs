//! A minion, as PROTOCOL.md describes one: it runs tasks under a lease, keeps the highest fence,
//! rejects runs that were stopped or have ended, lists its ends until they are acknowledged, and
//! registers at the agent on its machine. The spec says how long a task runs: `ms=900 cpu=1600`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Request, Response};
use crate::json::{Json, quote};
use crate::record::Record;

/// `hold_max_ms`.
const LEASE_MAX_MS: u64 = 1_000;
/// `heartbeat_ms`.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_WAIT_MS: u64 = 2_000;
const MAX_LISTED_ENDS: usize = 500;
/// How long a stop takes; `stop_ms` is 50.
const STOP_TIME: Duration = Duration::from_millis(20);
const TICK: Duration = Duration::from_millis(2);

/// What a minion offers, and where.
#[derive(Debug, Clone)]
pub struct Shape {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The `control` address on its machine.
    pub agent: SocketAddr,
    /// Whether it rejects starts beyond its capacity.
    pub guards: bool,
    /// Label of its rack.
    pub rack: String,
}

/// One run of a task, as it happened.
#[derive(Debug, Clone)]
pub struct Run {
    pub minion: String,
    pub task: String,
    pub run: u64,
    pub began: Duration,
    /// When it ended, and how.
    pub ended: Option<(Duration, &'static str)>,
    /// When `acked_upto` reached the end, with no lapse of the lease between the two.
    pub noted: Option<Duration>,
}

struct Active {
    run: u64,
    cpu: u64,
    ends_at: Instant,
    how: &'static str,
    record: usize,
}

struct Listed {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    record: usize,
    /// Whether the lease has lapsed since the end.
    lapsed_since: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Active>,
    /// Highest run of each task that was stopped or has ended here.
    barred: BTreeMap<String, u64>,
    ended: Vec<Listed>,
    last_end: u64,
    runs: Vec<Run>,
    /// Time for which it was suspended.
    suspended: Duration,
    sheds: bool,
    has_lease: bool,
}

/// One life of a minion; clones share it.
#[derive(Clone)]
pub struct Minion {
    shape: Arc<Shape>,
    record: Record,
    started: Instant,
    born_ms: u64,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Minion {
    /// Starts it: it takes calls and registers from now on.
    pub fn start(shape: Shape, record: &Record) -> Minion {
        let listener = TcpListener::bind(shape.address).expect("the minion's address is free");
        let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let minion = Minion {
            shape: Arc::new(shape),
            record: record.clone(),
            started: Instant::now(),
            born_ms: since_1970.unwrap_or_default().as_millis() as u64,
            state: Arc::default(),
        };
        let callee = minion.clone();
        http::serve(listener, move |request| Some(callee.answer(&request)));
        let ticker = minion.clone();
        std::thread::spawn(move || ticker.run_ticks());
        let registrant = minion.clone();
        std::thread::spawn(move || registrant.register());
        minion
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The steady clock, which doesn't count the time for which the machine was suspended.
    fn clock_ms(&self, state: &State, now: Instant) -> u64 {
        let up = now.saturating_duration_since(self.started).saturating_sub(state.suspended);
        1_000 + up.as_millis() as u64
    }

    /// Suspends it for this long, as part of its machine: nothing happens meanwhile, calls wait,
    /// and its steady clock stands still.
    pub fn suspend(&self, time: Duration) {
        let mut state = self.lock();
        self.end_due(&mut state, Instant::now());
        self.record.line(format!("{} is suspended", self.shape.id));
        let from = Instant::now();
        std::thread::sleep(time);
        let time = from.elapsed();
        state.suspended += time;
        state.running.values_mut().for_each(|active| active.ends_at += time);
        self.record.line(format!("{} goes on", self.shape.id));
    }

    fn answer(&self, request: &Request) -> Response {
        let expected = request.header("cactuswing-expect-instance");
        if expected.is_some_and(|id| id != self.shape.id) {
            return Response::new(421, String::new());
        }
        if request.method == "GET" {
            return Response::new(200, String::new());
        }
        let body = std::str::from_utf8(&request.body).ok().and_then(Json::read);
        let Some(body) = body else { return Response::new(400, String::new()) };
        let mut state = self.lock();
        let now = Instant::now();
        self.end_due(&mut state, now);
        let fence = body.number("fence").unwrap_or(0);
        if fence < state.fence {
            return self.reject(&state, now, "fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/cactuswing/run-start" if state.sheds => Response::new(503, String::new()),
            "/cactuswing/run-start" => self.on_start(&mut state, now, &body),
            "/cactuswing/run-stop" => self.on_stop(&mut state, now, &body),
            "/cactuswing/hold" => self.on_hold(state, now, &body),
            _ => Response::new(400, String::new()),
        }
    }

    fn reject(&self, state: &State, now: Instant, reason: &str) -> Response {
        let clock = self.clock_ms(state, now);
        Response::new(409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"))
    }

    fn accept(&self, state: &State, now: Instant) -> Response {
        Response::new(200, format!("{{\"clock_ms\":{}}}", self.clock_ms(state, now)))
    }

    fn extend_lease(&self, state: &mut State, now: Instant, body: &Json) {
        if let Some(until) = body.number("until_ms") {
            let until = until.min(self.clock_ms(state, now) + LEASE_MAX_MS);
            if until > state.lease_until_ms {
                state.lease_until_ms = until;
                state.has_lease = true;
            }
        }
    }

    fn on_start(&self, state: &mut State, now: Instant, body: &Json) -> Response {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return Response::new(400, String::new());
        };
        if state.running.get(task).is_some_and(|active| active.run == run) {
            return self.accept(state, now);
        }
        self.extend_lease(state, now, body);
        let is_barred = state.barred.get(task).is_some_and(|barred| run <= *barred);
        if is_barred || state.running.contains_key(task) {
            return self.reject(state, now, "old");
        }
        if body.number("until_ms").is_none_or(|until| until <= self.clock_ms(state, now)) {
            return self.reject(state, now, "late");
        }
        let spec = body.text("spec").unwrap_or_default();
        let (run_ms, cpu) = (spec_number(spec, "ms="), spec_number(spec, "cpu="));
        let used: u64 = state.running.values().map(|active| active.cpu).sum();
        if self.shape.guards && used + cpu > self.shape.cpu {
            return self.reject(state, now, "room");
        }
        let record = state.runs.len();
        state.runs.push(Run {
            minion: self.shape.id.clone(),
            task: task.to_owned(),
            run,
            began: self.record.now(),
            ended: None,
            noted: None,
        });
        let ends_at = now + Duration::from_millis(run_ms);
        let active = Active { run, cpu, ends_at, how: "done", record };
        state.running.insert(task.to_owned(), active);
        let id = &self.shape.id;
        self.record.line(format!("{id} start {task} run {run} cpu {} with it", used + cpu));
        self.accept(state, now)
    }

    fn on_stop(&self, state: &mut State, now: Instant, body: &Json) -> Response {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return Response::new(400, String::new());
        };
        let barred = state.barred.entry(task.to_owned()).or_insert(0);
        *barred = (*barred).max(run);
        if let Some(active) = state.running.get_mut(task).filter(|active| active.run <= run)
            && now + STOP_TIME < active.ends_at
        {
            (active.ends_at, active.how) = (now + STOP_TIME, "stopped");
        }
        self.record.line(format!("{} stop {task} run {run}", self.shape.id));
        self.accept(state, now)
    }

    fn on_hold(&self, mut state: MutexGuard<'_, State>, now: Instant, body: &Json) -> Response {
        self.extend_lease(&mut state, now, body);
        let acked = body.number("acked_upto").unwrap_or(0);
        let (gone, kept): (Vec<Listed>, Vec<Listed>) =
            std::mem::take(&mut state.ended).into_iter().partition(|end| end.number <= acked);
        state.ended = kept;
        for end in gone {
            let id = &self.shape.id;
            let (task, run, lapsed) = (&end.task, end.run, end.lapsed_since);
            self.record.line(format!("{id} acked {task} run {run}, lease lapsed since: {lapsed}"));
            if !lapsed {
                state.runs[end.record].noted = Some(self.record.now());
            }
        }
        let wait = body.number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let until = now + Duration::from_millis(wait);
        let listed = state.last_end;
        while state.last_end == listed {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let now = Instant::now();
        self.end_due(&mut state, now);
        let running = state.running.iter();
        let running: Vec<String> =
            running.map(|(task, run)| format!("[{},{},\"\",100]", quote(task), run.run)).collect();
        let ended = state.ended.iter().take(MAX_LISTED_ENDS);
        let ended: Vec<String> = ended
            .map(|end| {
                format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how)
            })
            .collect();
        Response::new(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                self.clock_ms(&state, now),
                self.born_ms,
                running.join(","),
                ended.join(",")
            ),
        )
    }

    /// Ends the runs that are over, and all of them once the lease has lapsed.
    fn end_due(&self, state: &mut State, now: Instant) {
        let lease = Duration::from_millis(state.lease_until_ms.saturating_sub(1_000));
        let lapses_at = self.started + state.suspended + lease;
        let has_lapsed = lapses_at <= now;
        let due = state.running.iter().filter(|(_, active)| active.ends_at <= now || has_lapsed);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            let Some(active) = state.running.remove(&task) else { continue };
            let how = if has_lapsed && lapses_at < active.ends_at { "lapsed" } else { active.how };
            let barred = state.barred.entry(task.clone()).or_insert(0);
            *barred = (*barred).max(active.run);
            state.last_end += 1;
            let (number, run, record) = (state.last_end, active.run, active.record);
            self.record.line(format!("{} end {task} run {run} {how}", self.shape.id));
            state.runs[record].ended = Some((self.record.now(), how));
            state.ended.push(Listed { number, task, run, how, record, lapsed_since: false });
            self.state.1.notify_all();
        }
        if has_lapsed {
            state.ended.iter_mut().for_each(|end| end.lapsed_since = true);
            if std::mem::take(&mut state.has_lease) {
                self.record.line(format!("{} lease lapsed", self.shape.id));
            }
        }
    }

    fn run_ticks(&self) {
        loop {
            std::thread::sleep(TICK);
            self.end_due(&mut self.lock(), Instant::now());
        }
    }

    /// Whether it is unhealthy: it answers each start with 503 and does nothing then.
    pub fn set_shedding(&self, sheds: bool) {
        self.record.line(format!("{} sheds starts: {sheds}", self.shape.id));
        self.lock().sheds = sheds;
    }

    fn register(&self) {
        let path = format!("/cactuswing/instances/{}", self.shape.id);
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"labels\":[\"a\",\"{}\"],\
                 \"capacity\":{{\"cpu\":{},\"mem_mb\":32768,\"gpu\":0}},\"clock_ms\":{},\
                 \"born\":{},\"sequence\":{sequence}}}",
                self.shape.service,
                self.shape.address,
                self.shape.zone,
                self.shape.rack,
                self.shape.cpu,
                self.clock_ms(&self.lock(), Instant::now()),
                self.born_ms
            );
            let timeout = Duration::from_secs(1);
            let sent = http::call(self.shape.agent, "PUT", &path, "agent", &[], &body, timeout);
            let is_acked = sent.is_ok_and(|response| response.status / 100 == 2);
            std::thread::sleep(if is_acked { HEARTBEAT_INTERVAL } else { RETRY_PAUSE });
        }
    }
}

fn spec_number(spec: &str, name: &str) -> u64 {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
    word.and_then(|number| number.parse().ok()).unwrap_or(0)
}
