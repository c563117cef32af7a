//! Actors of a soak that hand jobs in: callers of best-effort jobs, whose connections break at
//! random and who send the same job again, and callers of stored jobs, who also look at them
//! and cancel some.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use standin::{RawConnection, RawResponse, request_bytes};

use crate::deployed_group::RoleHost;
use crate::soak_history::{Attempt, RouteCall, SharedHistory, ShownState, SoakJob};

pub(crate) const HOST: &str = "nony24.example";
/// Prefix of the queue that is always there.
pub(crate) const MAIN_PREFIX: &str = "/lohu930/";
/// `resend_ms`.
const RESEND_AFTER: Duration = Duration::from_millis(1_300);
/// How long a caller waits for an answer.
const CALLER_WAIT: Duration = Duration::from_secs(7);
/// Attempts whose connection the caller breaks; it waits for those after them.
const BROKEN_ATTEMPTS: usize = 3;
const MAX_ATTEMPTS: usize = 12;
/// Connections that callers leave open without waiting any longer.
const LEFT_OPEN: usize = 8;

/// What all actors share.
#[derive(Clone)]
pub(crate) struct ActorContext {
    pub(crate) history: SharedHistory,
    pub(crate) fronts: Vec<SocketAddr>,
    pub(crate) stopped: Arc<AtomicBool>,
    /// Whether callers also send again at once, where the protocol says `resend_ms`.
    pub(crate) resends_at_once: bool,
    /// Whether jobs are small and some of them long, so that many fit at one agent.
    pub(crate) has_small_jobs: bool,
    /// Whether callers break their connections to entries that are stopped.
    pub(crate) breaks_at_stopped: bool,
}

impl ActorContext {
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// What a caller does to the connection of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallerPlan {
    Wait,
    /// Resets the connection with half of the request written.
    ResetInside,
    /// Resets it this long after the request was written.
    ResetAfter(Duration),
    /// Leaves it open after this time.
    LeaveOpen(Duration),
}

impl CallerPlan {
    fn draw(rng: &mut StdRng) -> CallerPlan {
        let pause = Duration::from_millis(rng.random_range(0..400));
        match rng.random_range(0..20) {
            0 => CallerPlan::ResetInside,
            1 => CallerPlan::ResetAfter(Duration::ZERO),
            2..=5 => CallerPlan::ResetAfter(pause),
            6..=7 => CallerPlan::LeaveOpen(pause),
            _ => CallerPlan::Wait,
        }
    }

    /// A plan that breaks the connection soon.
    fn draw_break(rng: &mut StdRng) -> CallerPlan {
        CallerPlan::ResetAfter(Duration::from_millis(rng.random_range(0..100)))
    }

    fn name(self) -> &'static str {
        match self {
            CallerPlan::Wait => "waits",
            CallerPlan::ResetInside => "resets inside",
            CallerPlan::ResetAfter(_) => "resets",
            CallerPlan::LeaveOpen(_) => "leaves open",
        }
    }
}

/// A caller with one connection for each entry.
pub(crate) struct SoakCaller {
    context: ActorContext,
    rng: StdRng,
    connections: BTreeMap<usize, RawConnection>,
    left_open: Vec<RawConnection>,
}

impl SoakCaller {
    pub(crate) fn new(context: ActorContext, seed: u64) -> SoakCaller {
        let rng = StdRng::seed_from_u64(seed);
        SoakCaller { context, rng, connections: BTreeMap::new(), left_open: Vec::new() }
    }

    fn draw_entry(&mut self) -> usize {
        self.rng.random_range(0..self.context.fronts.len())
    }

    /// A new job, which the history knows before it is sent.
    fn draw_job(&mut self, best_effort: bool) -> (String, Vec<u8>) {
        let id = format!("{:016x}", self.rng.random::<u64>());
        let tasks = self.rng.random_range(1..=4);
        let (cpu_unit, longest) =
            if self.context.has_small_jobs { (50, 4_000) } else { (500, 2_500) };
        let cpu = self.rng.random_range(1..=8) * cpu_unit;
        let run_ms: u64 = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(1_000..longest),
            _ => self.rng.random_range(40..800),
        };
        let spec = format!("ms={run_ms} cpu={cpu}");
        let step = json!({ "count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms });
        let mut body = json!({ "spec": spec, "steps": [step] });
        if best_effort {
            body["best_effort"] = json!(true);
        }
        let job = SoakJob { best_effort, spec, tasks, ..SoakJob::default() };
        self.context.history.lock().jobs.insert(id.clone(), job);
        (id, body.to_string().into_bytes())
    }

    /// Sends a request to an entry on a kept connection, and follows the plan.
    fn send(
        &mut self,
        entry: usize,
        method: &str,
        path: &str,
        body: &[u8],
        plan: CallerPlan,
    ) -> Option<RawResponse> {
        let open = || RawConnection::open(self.context.fronts[entry], CALLER_WAIT).ok();
        let mut connection = self.connections.remove(&entry).or_else(open)?;
        let deadline = CALLER_WAIT.as_millis().to_string();
        let headers = [("Host", HOST), ("Cactuswing-Deadline-Ms", deadline.as_str())];
        let bytes = request_bytes(method, path, &headers, body);
        let length = if plan == CallerPlan::ResetInside { bytes.len() / 2 } else { bytes.len() };
        connection.write(&bytes[..length]).ok()?;
        match plan {
            CallerPlan::Wait => {
                connection.set_timeout(CALLER_WAIT).ok()?;
                let response = connection.read_response().ok()?;
                self.connections.insert(entry, connection);
                return Some(response);
            }
            CallerPlan::ResetInside => drop(connection.reset()),
            CallerPlan::ResetAfter(pause) => {
                std::thread::sleep(pause);
                drop(connection.reset());
            }
            CallerPlan::LeaveOpen(pause) => {
                std::thread::sleep(pause);
                self.left_open.push(connection);
                if self.left_open.len() > LEFT_OPEN {
                    self.left_open.remove(0);
                }
            }
        }
        None
    }

    /// Hands a job in until there is a clear answer; returns its status.
    fn submit(&mut self, id: &str, body: &[u8]) -> Option<u16> {
        let path = format!("{MAIN_PREFIX}{id}");
        let mut entry = self.draw_entry();
        for number in 0..MAX_ATTEMPTS {
            let is_stopped = self.context.breaks_at_stopped
                && self.context.history.lock().is_stopped(RoleHost::Entry(entry));
            let plan = match number < BROKEN_ATTEMPTS {
                true if is_stopped => CallerPlan::draw_break(&mut self.rng),
                true => CallerPlan::draw(&mut self.rng),
                false => CallerPlan::Wait,
            };
            let sent = Instant::now();
            let response = self.send(entry, "POST", &path, body, plan);
            let over = Instant::now();
            let answer = response.map(|response| (response.status, state_of(&response.body)));
            let status = answer.as_ref().map(|(status, _)| *status);
            let attempt = Attempt { sent, over, entry, how: plan.name(), answer };
            let mut history = self.context.history.lock();
            if let Some(job) = history.jobs.get_mut(id) {
                job.attempts.push(attempt);
            }
            if let Some(served) = served_by(status) {
                let prefix = MAIN_PREFIX.to_owned();
                let call = RouteCall { entry, prefix, sent, answered: over, served };
                history.route_calls.push(call);
            }
            drop(history);
            match status {
                None | Some(502 | 504) => {
                    let at_once =
                        (self.rng.random_bool(0.6) || is_stopped) && self.context.resends_at_once;
                    std::thread::sleep(if at_once { Duration::ZERO } else { RESEND_AFTER });
                    let next = self.rng.random_range(1..self.context.fronts.len());
                    entry = (entry + next) % self.context.fronts.len();
                }
                Some(status) => return Some(status),
            }
        }
        None
    }

    /// Sends best-effort jobs, one after another, until the soak stops.
    pub(crate) fn send_best_effort(mut self) {
        while !self.context.is_stopped() {
            let (id, body) = self.draw_job(true);
            let _status = self.submit(&id, &body);
            std::thread::sleep(Duration::from_millis(self.rng.random_range(0..200)));
        }
    }

    /// Sends stored jobs, asks for their states, and cancels some, until the soak stops.
    pub(crate) fn send_stored(mut self) {
        let mut accepted: Vec<(String, Vec<u8>)> = Vec::new();
        while !self.context.is_stopped() {
            let (id, body) = self.draw_job(false);
            if self.submit(&id, &body).is_some_and(|status| status / 100 == 2) {
                if let Some(job) = self.context.history.lock().jobs.get_mut(&id) {
                    job.accepted = Some(Instant::now());
                }
                accepted.push((id.clone(), body));
                if self.rng.random_bool(0.15) {
                    self.cancel(&id);
                }
            }
            for _look in 0..self.rng.random_range(0..4) {
                std::thread::sleep(Duration::from_millis(self.rng.random_range(0..300)));
                if !accepted.is_empty() {
                    let position = self.rng.random_range(0..accepted.len());
                    let (id, body) = accepted[position].clone();
                    match self.rng.random_range(0..10) {
                        // Occasionally a job arrives again after it was accepted.
                        0 => drop(self.submit(&id, &body)),
                        _ => drop(self.look(&id)),
                    }
                }
            }
        }
    }

    fn cancel(&mut self, id: &str) {
        std::thread::sleep(Duration::from_millis(self.rng.random_range(0..600)));
        let path = format!("{MAIN_PREFIX}{id}");
        if let Some(job) = self.context.history.lock().jobs.get_mut(id) {
            job.cancel_sent = Some(Instant::now());
        }
        for _attempt in 0..MAX_ATTEMPTS {
            let entry = self.draw_entry();
            let response = self.send(entry, "DELETE", &path, b"", CallerPlan::Wait);
            if response.is_some_and(|response| response.status / 100 == 2) {
                if let Some(job) = self.context.history.lock().jobs.get_mut(id) {
                    job.cancelled = Some(Instant::now());
                }
                return;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Asks an entry for the state of a stored job; returns the status and the state.
    pub(crate) fn look(&mut self, id: &str) -> Option<(u16, String)> {
        let (entry, sent) = (self.draw_entry(), Instant::now());
        let path = format!("{MAIN_PREFIX}{id}");
        let response = self.send(entry, "GET", &path, b"", CallerPlan::Wait)?;
        let (answered, status) = (Instant::now(), response.status);
        let state = state_of(&response.body);
        let shown = ShownState { entry, sent, answered, status, state: state.clone() };
        if let Some(job) = self.context.history.lock().jobs.get_mut(id) {
            job.shown.push(shown);
        }
        Some((status, state))
    }

    /// Asks an entry for the count of a queue, which says whether it has the route.
    pub(crate) fn ask_count(&mut self, prefix: &str) {
        let (entry, sent) = (self.draw_entry(), Instant::now());
        let response = self.send(entry, "GET", prefix, b"", CallerPlan::Wait);
        if let Some(served) = served_by(response.map(|response| response.status)) {
            let (answered, prefix) = (Instant::now(), prefix.to_owned());
            let call = RouteCall { entry, prefix, sent, answered, served };
            self.context.history.lock().route_calls.push(call);
        }
    }
}

/// Whether an answer shows that the entry has the route; other statuses don't tell.
fn served_by(status: Option<u16>) -> Option<bool> {
    match status? {
        404 => Some(false),
        status if status / 100 == 2 => Some(true),
        _ => None,
    }
}

fn state_of(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["state"].as_str().unwrap_or_default().to_owned()
}
