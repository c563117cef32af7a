//! A backend server of the queued-job path, as the platform's protocol describes one: it runs
//! tasks under a lease, keeps the highest fencing token, bars runs that were stopped or have
//! ended, lists its ends until they are acknowledged, and announces itself to its agent.
//!
//! The spec of a job says what its tasks do: `ms=900 cpu=1000`. Invariant: every run and its
//! end is recorded, also across lives of the server.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use serde_json::{Value, json};

use crate::raw_http::{RawReply, RawRequest, RawServer, raw_call};

/// Longest lease.
const HOLD_MAX_MS: u64 = 1_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause after an announcement that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait of a hold for an end.
const MAX_WAIT_MS: u64 = 2_000;
/// A list has at most this many ends.
const MAX_LISTED_ENDS: usize = 500;
/// Longest time that a stop takes.
const STOP_LIMIT_MS: u64 = 50;
/// Interval at which due ends are looked for.
const TICK: Duration = Duration::from_millis(4);
/// How long a call without an answer stays open.
const SILENCE: Duration = Duration::from_secs(4);
/// Offset of the server's clock.
const CLOCK_START_MS: u64 = 1_000;

/// What a server offers, and where.
#[derive(Debug, Clone)]
pub struct LeaseShape {
    /// Its id, which the next life may keep.
    pub id: String,
    /// The service that it serves.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Processor capacity in thousandths of a core.
    pub cpu_milli: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Where its agent takes announcements.
    pub announce: SocketAddr,
}

/// What becomes of calls to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseFault {
    /// They are carried out and answered this much later.
    Slow(Duration),
    /// They are carried out and not answered.
    Silent,
    /// Half of them get no answer and are carried out 2 to 12 s later.
    Late,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseEnd {
    /// Its work was done.
    Done,
    /// It was ordered to stop.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// The server crashed.
    Crashed,
}

/// One run of a task, as it happened.
#[derive(Debug, Clone)]
pub struct LeaseRun {
    /// The server's id.
    pub server: String,
    /// The task's name, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// The spec that came with the order.
    pub spec: String,
    /// Fencing token of the order.
    pub fence: u64,
    /// When it began.
    pub began: Instant,
    /// Whether the order was carried out late.
    pub late: bool,
    /// When it ended, and how.
    pub ended: Option<(Instant, LeaseEnd)>,
    /// Whether the end was acknowledged, by the same lease.
    pub acked: bool,
}

struct ActiveRun {
    run: u64,
    cpu_milli: u64,
    ends_at: Instant,
    how: LeaseEnd,
    record: usize,
}

struct ListedRun {
    number: u64,
    task: String,
    run: u64,
    how: LeaseEnd,
    record: usize,
    /// Whether the lease has lapsed since: an acknowledgement no longer counts.
    void: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    /// By task.
    running: BTreeMap<String, ActiveRun>,
    /// Highest run of each task that was stopped or has ended here.
    barred: BTreeMap<String, u64>,
    ended: Vec<ListedRun>,
    last_end: u64,
    records: Vec<LeaseRun>,
    fault: Option<(LeaseFault, Instant)>,
    calls: u64,
    dead: bool,
}

/// One life of a server; clones share it.
#[derive(Clone)]
pub struct LeaseServer {
    shape: Arc<LeaseShape>,
    born_at: Instant,
    born_ms: u64,
    server: RawServer,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl LeaseServer {
    /// Starts the server: it takes calls and announces itself from now on.
    pub fn start(shape: LeaseShape) -> std::io::Result<LeaseServer> {
        let listener = TcpListener::bind(shape.address)?;
        let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let server = LeaseServer {
            shape: Arc::new(shape),
            born_at: Instant::now(),
            born_ms: since_1970.unwrap_or_default().as_millis() as u64,
            server: RawServer::default(),
            state: Arc::default(),
        };
        let callee = server.clone();
        server.server.serve(listener, move |request| callee.on_request(request));
        let ticker = server.clone();
        std::thread::spawn(move || ticker.run_ticks());
        let announcer = server.clone();
        std::thread::spawn(move || announcer.send_heartbeats());
        Ok(server)
    }

    /// What it offers.
    pub fn shape(&self) -> &LeaseShape {
        &self.shape
    }

    /// Ends this life: all runs end, and connections are closed.
    pub fn crash(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        self.end_due(&mut state, now);
        state.dead = true;
        for run in std::mem::take(&mut state.running).into_values() {
            state.records[run.record].ended = Some((now, LeaseEnd::Crashed));
        }
        drop(state);
        self.state.1.notify_all();
        self.server.end(self.shape.address);
    }

    /// Treats calls like this until then.
    pub fn set_fault(&self, fault: LeaseFault, until: Instant) {
        self.lock().fault = Some((fault, until));
    }

    /// All runs of this life so far.
    pub fn runs(&self) -> Vec<LeaseRun> {
        self.lock().records.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        CLOCK_START_MS + now.saturating_duration_since(self.born_at).as_millis() as u64
    }

    fn on_request(&self, request: RawRequest) -> RawReply {
        let (fault, number) = {
            let mut state = self.lock();
            state.calls += 1;
            let now = Instant::now();
            (state.fault.filter(|(_, until)| now < *until), state.calls)
        };
        let spread = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        match fault.map(|(fault, _)| fault) {
            Some(LeaseFault::Late) if spread.is_multiple_of(2) => {
                let server = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(2_000 + spread / 2 % 10_000));
                    server.on_call(&request, true)
                });
                RawReply::Silence(SILENCE)
            }
            Some(LeaseFault::Silent) => {
                self.on_call(&request, false);
                RawReply::Silence(SILENCE)
            }
            Some(LeaseFault::Slow(time)) => {
                let reply = self.on_call(&request, false);
                std::thread::sleep(time);
                reply
            }
            Some(LeaseFault::Late) | None => self.on_call(&request, false),
        }
    }

    fn on_call(&self, request: &RawRequest, late: bool) -> RawReply {
        let mut state = self.lock();
        if state.dead {
            return RawReply::Silence(Duration::ZERO);
        }
        let expected =
            request.headers.iter().find(|(name, _)| name == "cactuswing-expect-instance");
        if expected.is_some_and(|(_, id)| *id != self.shape.id) {
            return RawReply::Answer(421, String::new());
        }
        if request.method != "POST" {
            return RawReply::Answer(200, String::new());
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return RawReply::Answer(400, String::new());
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let now = Instant::now();
        self.end_due(&mut state, now);
        match request.path.as_str() {
            "/cactuswing/run-start" => self.on_start(&mut state, now, &body, late),
            "/cactuswing/run-stop" => self.on_stop(&mut state, now, &body),
            "/cactuswing/hold" => self.on_hold(state, now, &body),
            _ => RawReply::Answer(400, String::new()),
        }
    }

    fn refuse(&self, reason: &str) -> RawReply {
        let clock = self.clock_ms(Instant::now());
        RawReply::Answer(409, json!({ "clock_ms": clock, "reason": reason }).to_string())
    }

    fn accept(&self) -> RawReply {
        let clock = self.clock_ms(Instant::now());
        RawReply::Answer(200, json!({ "clock_ms": clock }).to_string())
    }

    /// Extends the lease, which never shortens.
    fn extend_lease(&self, state: &mut State, now: Instant, body: &Value) {
        if let Some(until) = body["until_ms"].as_u64() {
            let until = until.min(self.clock_ms(now) + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until);
        }
    }

    fn on_start(&self, state: &mut State, now: Instant, body: &Value, late: bool) -> RawReply {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return RawReply::Answer(400, String::new());
        };
        if state.running.get(task).is_some_and(|active| active.run == run) {
            return self.accept();
        }
        self.extend_lease(state, now, body);
        let is_barred = state.barred.get(task).is_some_and(|barred| run <= *barred);
        if is_barred || state.running.contains_key(task) {
            return self.refuse("old");
        }
        if body["until_ms"].as_u64().is_none_or(|until| until <= self.clock_ms(now)) {
            return self.refuse("late");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let (run_ms, cpu_milli) = (spec_number(spec, "ms="), spec_number(spec, "cpu="));
        let used: u64 = state.running.values().map(|active| active.cpu_milli).sum();
        if used + cpu_milli > self.shape.cpu_milli {
            return self.refuse("room");
        }
        let record = state.records.len();
        state.records.push(LeaseRun {
            server: self.shape.id.clone(),
            task: task.to_owned(),
            run,
            spec: spec.to_owned(),
            fence: state.fence,
            began: now,
            late,
            ended: None,
            acked: false,
        });
        let ends_at = now + Duration::from_millis(run_ms);
        let active = ActiveRun { run, cpu_milli, ends_at, how: LeaseEnd::Done, record };
        state.running.insert(task.to_owned(), active);
        self.accept()
    }

    fn on_stop(&self, state: &mut State, now: Instant, body: &Value) -> RawReply {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return RawReply::Answer(400, String::new());
        };
        let barred = state.barred.entry(task.to_owned()).or_insert(0);
        *barred = (*barred).max(run);
        let takes = Duration::from_millis(state.calls * 7 % STOP_LIMIT_MS);
        if let Some(active) = state.running.get_mut(task).filter(|active| active.run <= run)
            && now + takes < active.ends_at
        {
            (active.ends_at, active.how) = (now + takes, LeaseEnd::Stopped);
        }
        self.accept()
    }

    fn on_hold(&self, mut state: MutexGuard<'_, State>, now: Instant, body: &Value) -> RawReply {
        self.extend_lease(&mut state, now, body);
        let acked = body["acked_upto"].as_u64().unwrap_or(0);
        let (gone, kept) = std::mem::take(&mut state.ended)
            .into_iter()
            .partition::<Vec<_>, _>(|end| end.number <= acked);
        state.ended = kept;
        for end in gone {
            state.records[end.record].acked = !end.void;
        }
        let wait = body["wait_ms"].as_u64().unwrap_or(0).min(MAX_WAIT_MS);
        let until = now + Duration::from_millis(wait);
        while state.ended.is_empty() && !state.dead {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if state.dead {
            return RawReply::Silence(Duration::ZERO);
        }
        let now = Instant::now();
        self.end_due(&mut state, now);
        let running: Vec<Value> =
            state.running.iter().map(|(task, active)| json!([task, active.run, "", 100])).collect();
        let listed = state.ended.iter().take(MAX_LISTED_ENDS);
        let ended: Vec<Value> = listed
            .map(|end| json!([end.number, end.task, end.run, end_word(end.how), ""]))
            .collect();
        let lists = json!({
            "clock_ms": self.clock_ms(now), "born": self.born_ms, "running": running, "ended": ended
        });
        RawReply::Answer(200, lists.to_string())
    }

    /// Ends the runs that are over at this time, and all of them once the lease has expired,
    /// at the moment at which they ended.
    fn end_due(&self, state: &mut State, now: Instant) {
        let lease = state.lease_until_ms.saturating_sub(CLOCK_START_MS);
        let lapses_at = self.born_at + Duration::from_millis(lease);
        let due = state.running.iter().filter(|(_, active)| active.ends_at.min(lapses_at) <= now);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            let Some(active) = state.running.remove(&task) else { continue };
            let is_lapsed = lapses_at < active.ends_at;
            let how = if is_lapsed { LeaseEnd::Lapsed } else { active.how };
            let barred = state.barred.entry(task.clone()).or_insert(0);
            *barred = (*barred).max(active.run);
            state.last_end += 1;
            let (number, run, record) = (state.last_end, active.run, active.record);
            state.ended.push(ListedRun { number, task, run, how, record, void: false });
            state.records[record].ended = Some((active.ends_at.min(lapses_at), how));
            self.state.1.notify_all();
        }
        if lapses_at <= now {
            state.ended.iter_mut().for_each(|end| end.void = true);
        }
    }

    fn run_ticks(&self) {
        loop {
            std::thread::sleep(TICK);
            let mut state = self.lock();
            if state.dead {
                return;
            }
            self.end_due(&mut state, Instant::now());
        }
    }

    fn send_heartbeats(&self) {
        let path = format!("/cactuswing/instances/{}", self.shape.id);
        let mut sequence = 0;
        while !self.lock().dead {
            sequence += 1;
            let body = json!({
                "service": self.shape.service, "address": self.shape.address.to_string(),
                "zone": self.shape.domain, "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "labels": ["a", "r1"], "sequence": sequence,
                "capacity": { "cpu": self.shape.cpu_milli, "mem_mb": 32_768, "gpu": 0 },
                "clock_ms": self.clock_ms(Instant::now()), "born": self.born_ms,
            });
            let body = body.to_string();
            let host = [("Host", "agent")];
            let sent = raw_call(
                self.shape.announce,
                "PUT",
                &path,
                &host,
                body.as_bytes(),
                ANNOUNCE_TIMEOUT,
            );
            let acked = sent.is_ok_and(|response| response.status / 100 == 2);
            std::thread::sleep(if acked { HEARTBEAT_INTERVAL } else { RETRY_PAUSE });
        }
    }
}

fn end_word(how: LeaseEnd) -> &'static str {
    match how {
        LeaseEnd::Done => "done",
        LeaseEnd::Stopped => "stopped",
        LeaseEnd::Lapsed | LeaseEnd::Crashed => "lapsed",
    }
}

fn spec_number(spec: &str, name: &str) -> u64 {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
    word.and_then(|number| number.parse().ok()).unwrap_or(0)
}
