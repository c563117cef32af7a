//! A sound minion, as `PROTOCOL.md` describes one: it runs tasks under a lease, keeps the
//! highest fencing token, bars runs that were stopped or have ended, lists its ends until
//! they are acknowledged, and sends heartbeats to the agent on its machine.
//!
//! The spec of a job says what its tasks do: `ms=900 cpu=1000`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Request, Server};
use crate::json::{number_field, string_field};
use crate::record::Record;

const HOLD_MAX_MS: u64 = 1_000;
const HEARTBEAT_MS: u64 = 1_500;
/// How long a minion serves on after it has reported that it drains.
const DRAIN_MS: u64 = 2_000;
/// Longest wait of a hold for an end.
const MAX_WAIT_MS: u64 = 2_000;
/// A list has at most this many ends.
const MAX_LISTED_ENDS: usize = 500;

/// What a minion offers.
#[derive(Clone)]
pub struct Shape {
    pub name: String,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu_milli: u64,
    /// Where it takes calls.
    pub app: SocketAddr,
    /// Where the agent on its machine takes heartbeats.
    pub control: SocketAddr,
}

/// One run of a task, as it happened.
#[derive(Debug, Clone)]
pub struct RunTrace {
    pub minion: String,
    pub task: String,
    pub run: u64,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

struct ActiveRun {
    run: u64,
    cpu_milli: u64,
    ends_at: Instant,
    trace: usize,
}

struct State {
    fence: u64,
    lease_until_ms: u64,
    /// By task.
    running: BTreeMap<String, ActiveRun>,
    /// Highest run of each task that was stopped or has ended here.
    barred: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    traces: Vec<RunTrace>,
    draining: bool,
    alive: bool,
}

/// A minion; clones share it.
#[derive(Clone)]
pub struct Minion {
    shape: Arc<Shape>,
    born_at: Instant,
    born_ms: u64,
    record: Record,
    server: Server,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Minion {
    /// Starts the minion: it takes calls and sends heartbeats from now on.
    pub fn start(shape: Shape, record: &Record) -> Minion {
        let listener = TcpListener::bind(shape.app).expect("the address is free");
        let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let state = State {
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            traces: Vec::new(),
            draining: false,
            alive: true,
        };
        let minion = Minion {
            shape: Arc::new(shape),
            born_at: Instant::now(),
            born_ms: since_1970.unwrap_or_default().as_millis() as u64,
            record: record.clone(),
            server: Server::default(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let callee = minion.clone();
        minion.server.serve(listener, move |request| callee.on_call(&request));
        let ticker = minion.clone();
        std::thread::spawn(move || ticker.run_ticks());
        let beater = minion.clone();
        std::thread::spawn(move || beater.send_heartbeats());
        minion
    }

    /// Crashes the minion for good: all runs end, and its port refuses connections.
    pub fn crash(&self) {
        self.end_all("crashed");
        self.record.write(&format!("{} crashes for good", self.shape.name));
    }

    /// Starts a new life of a minion that has crashed, under the same id and address.
    pub fn start_again(&self) -> Minion {
        self.record.write(&format!("{} starts again under its id", self.shape.name));
        Minion::start((*self.shape).clone(), &self.record)
    }

    /// Takes the minion away in good order: it reports that it drains, serves on for
    /// `drain_ms`, says that it leaves, and ends.
    pub fn leave(&self) {
        self.lock().draining = true;
        self.record.write(&format!("{} drains", self.shape.name));
        // The next heartbeat says so, and is acknowledged, well before this is over.
        std::thread::sleep(Duration::from_millis(HEARTBEAT_MS + DRAIN_MS));
        let path = format!("/cactuswing/instances/{}", self.shape.id);
        let timeout = Duration::from_secs(1);
        let _left = http::call(self.shape.control, "DELETE", &path, &[], b"", timeout);
        self.end_all("left");
        self.record.write(&format!("{} has left", self.shape.name));
    }

    fn end_all(&self, how: &'static str) {
        let mut state = self.lock();
        state.alive = false;
        let now = Instant::now();
        let running = std::mem::take(&mut state.running);
        for run in running.into_values() {
            state.traces[run.trace].ended = Some((now, how));
        }
        drop(state);
        self.server.end();
    }

    /// All runs so far.
    pub fn traces(&self) -> Vec<RunTrace> {
        self.lock().traces.clone()
    }

    /// Number of tasks that run now.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Processor capacity that no run takes, in thousandths of a core.
    pub fn free_cpu(&self) -> u64 {
        let state = self.lock();
        if !state.alive {
            return 0;
        }
        let used: u64 = state.running.values().map(|run| run.cpu_milli).sum();
        self.shape.cpu_milli.saturating_sub(used)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.born_at.elapsed().as_millis() as u64
    }

    fn on_call(&self, request: &Request) -> (u16, String) {
        let mut state = self.lock();
        let expected = request.header("cactuswing-expect-instance");
        if expected.is_some_and(|id| id != self.shape.id) {
            return (421, String::new());
        }
        if request.method != "POST" {
            return (200, String::new());
        }
        let fence = number_field(&request.body, "fence").unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        self.end_due(&mut state);
        match request.path.as_str() {
            "/cactuswing/run-start" => self.on_start(&mut state, &request.body),
            "/cactuswing/run-stop" => self.on_stop(&mut state, &request.body),
            "/cactuswing/hold" => self.on_hold(state, &request.body),
            _ => (400, String::new()),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn accept(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    /// Extends the lease; it never shortens, and is at most `hold_max_ms` long.
    fn extend_lease(&self, state: &mut State, body: &str) {
        if let Some(until) = number_field(body, "until_ms") {
            let until = until.min(self.clock_ms() + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until);
        }
    }

    fn on_start(&self, state: &mut State, body: &str) -> (u16, String) {
        let (Some(task), Some(run)) = (string_field(body, "task"), number_field(body, "run"))
        else {
            return (400, String::new());
        };
        let spec = string_field(body, "spec").unwrap_or_default();
        if state.running.get(&task).is_some_and(|active| active.run == run) {
            return self.accept();
        }
        self.extend_lease(state, body);
        let is_barred = state.barred.get(&task).is_some_and(|barred| run <= *barred);
        if is_barred || state.running.contains_key(&task) {
            return self.refuse("old");
        }
        if state.lease_until_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        let (run_ms, cpu_milli) = (spec_number(&spec, "ms="), spec_number(&spec, "cpu="));
        let used: u64 = state.running.values().map(|active| active.cpu_milli).sum();
        if used + cpu_milli > self.shape.cpu_milli {
            return self.refuse("room");
        }
        let now = Instant::now();
        let trace = state.traces.len();
        let minion = self.shape.name.clone();
        state.traces.push(RunTrace { minion, task: task.clone(), run, began: now, ended: None });
        let ends_at = now + Duration::from_millis(run_ms);
        state.running.insert(task.clone(), ActiveRun { run, cpu_milli, ends_at, trace });
        self.record.write(&format!("{} starts {task} run {run}", self.shape.name));
        self.accept()
    }

    fn on_stop(&self, state: &mut State, body: &str) -> (u16, String) {
        let (Some(task), Some(run)) = (string_field(body, "task"), number_field(body, "run"))
        else {
            return (400, String::new());
        };
        let barred = state.barred.entry(task.clone()).or_insert(0);
        *barred = (*barred).max(run);
        if state.running.get(&task).is_some_and(|active| active.run <= run) {
            self.end(state, &task, "stopped");
        }
        self.accept()
    }

    fn on_hold(&self, mut state: MutexGuard<'_, State>, body: &str) -> (u16, String) {
        self.extend_lease(&mut state, body);
        let acked = number_field(body, "acked_upto").unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > acked);
        let wait = number_field(body, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.ended.is_empty() && state.alive {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        self.end_due(&mut state);
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, active)| format!("[\"{task}\",{},\"\",100]", active.run))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }

    /// Ends the runs that are done, and all of them once the lease has expired.
    fn end_due(&self, state: &mut State) {
        let now = Instant::now();
        let lapsed = state.lease_until_ms <= self.clock_ms();
        let is_due = |active: &ActiveRun| lapsed || active.ends_at <= now;
        let due = state.running.iter().filter(|(_, active)| is_due(active));
        let due: Vec<(String, bool)> =
            due.map(|(task, active)| (task.clone(), active.ends_at <= now)).collect();
        for (task, done) in due {
            self.end(state, &task, if done { "done" } else { "lapsed" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.running.remove(task) else { return };
        let barred = state.barred.entry(task.to_owned()).or_insert(0);
        *barred = (*barred).max(active.run);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), active.run, how));
        state.traces[active.trace].ended = Some((Instant::now(), how));
        self.record.write(&format!("{} ends {task} run {}: {how}", self.shape.name, active.run));
        self.state.1.notify_all();
    }

    fn run_ticks(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(2));
            let mut state = self.lock();
            if !state.alive {
                return;
            }
            self.end_due(&mut state);
        }
    }

    fn send_heartbeats(&self) {
        let path = format!("/cactuswing/instances/{}", self.shape.id);
        let labels: Vec<String> =
            self.shape.labels.iter().map(|label| format!("\"{label}\"")).collect();
        let mut sequence = 0;
        loop {
            let (state, remaining) = match &*self.lock() {
                State { alive: false, .. } => return,
                State { draining: true, .. } => ("draining", ",\"remaining_ms\":2000"),
                _ => ("ready", ""),
            };
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{state}\"{remaining},\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\
                 \"mem_mb\":32768,\"gpu\":0}},\"labels\":[{}],\"clock_ms\":{},\"sequence\":\
                 {sequence},\"born\":{}}}",
                self.shape.service,
                self.shape.app,
                self.shape.zone,
                self.shape.cpu_milli,
                labels.join(","),
                self.clock_ms(),
                self.born_ms
            );
            let timeout = Duration::from_secs(1);
            let sent = http::call(self.shape.control, "PUT", &path, &[], body.as_bytes(), timeout);
            let acked = sent.is_ok_and(|response| response.status / 100 == 2);
            let pause = if acked { HEARTBEAT_MS } else { 100 };
            std::thread::sleep(Duration::from_millis(pause));
        }
    }
}

fn spec_number(spec: &str, name: &str) -> u64 {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
    word.and_then(|number| number.parse().ok()).unwrap_or(0)
}
