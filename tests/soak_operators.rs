//! Actors of a soak that change the configuration, read it at every control host, and call
//! the routes that were added or dropped at every entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use standin::{RawConnection, RawResponse, raw_call, request_bytes};

use crate::deployed_group::{SERVICE, redirect_target};
use crate::soak_callers::{ActorContext, HOST, MAIN_PREFIX, SoakCaller};
use crate::soak_history::{ConfigRead, SentChange};

const CONFIG_PATH: &str = "/cactuswing/config";
/// The operator goes on to another host after this long.
const OPERATOR_WAIT: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: u32 = 40;
const BACKOFF: Duration = Duration::from_millis(60);
/// Longest backoff, as a multiple of the first.
const MAX_BACKOFF: u32 = 6;
/// Most routes beside the one that is always there.
const MAX_ROUTES: usize = 6;
/// Routes that calls go on asking for after they were dropped.
const DROPPED_ROUTES: usize = 3;

/// The newest configuration that was planned; two operators take turns on it.
pub(crate) struct PlannedConfig {
    version: u64,
    prefixes: Vec<String>,
    dropped: Vec<String>,
    timeout_ms: u64,
    next_route: u64,
}

impl PlannedConfig {
    pub(crate) fn new() -> PlannedConfig {
        let (prefixes, dropped) = (Vec::new(), Vec::new());
        PlannedConfig { version: 1, prefixes, dropped, timeout_ms: 6_000, next_route: 1 }
    }

    fn change(&mut self, rng: &mut StdRng) {
        self.version += rng.random_range(1..4);
        match rng.random_range(0..3) {
            0 if self.prefixes.len() < MAX_ROUTES => {
                self.prefixes.push(format!("/q{}/", self.next_route));
                self.next_route += 1;
            }
            1 if !self.prefixes.is_empty() => {
                let position = rng.random_range(0..self.prefixes.len());
                self.dropped.push(self.prefixes.remove(position));
                if self.dropped.len() > DROPPED_ROUTES {
                    self.dropped.remove(0);
                }
            }
            _ => self.timeout_ms = rng.random_range(5_000..7_000),
        }
    }

    fn all_prefixes(&self) -> BTreeSet<String> {
        self.prefixes.iter().cloned().chain([MAIN_PREFIX.to_owned()]).collect()
    }

    fn content(&self) -> Value {
        let route = |prefix: &String| {
            json!({
                "name": format!("r{}", prefix.replace('/', "-")), "host": HOST,
                "path_prefix": prefix, "kind": "unsafe", "timeout_ms": self.timeout_ms,
                "goal_ms": 60, "priority": 0, "service": SERVICE, "max_attempts": 4, "stretch": 1.6
            })
        };
        let routes: Vec<Value> = self.all_prefixes().iter().map(route).collect();
        json!({
            "version": self.version, "routes": routes,
            "services": [{
                "name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1",
                "tls": false, "enforce_capacity": true, "spare": false
            }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000
            }
        })
    }

    /// An invalid change on top of this one.
    fn invalid_text(&self, rng: &mut StdRng) -> Vec<u8> {
        let mut content = self.content();
        content["version"] = json!(self.version + 1_000);
        match rng.random_range(0..6) {
            0 => content["routes"][0]["service"] = json!("no-such-service"),
            1 => content["routes"][0]["timeout_ms"] = json!(0),
            2 => {
                let twin = content["routes"][0].clone();
                if let Some(routes) = content["routes"].as_array_mut() {
                    routes.push(twin);
                }
                content["routes"][0]["name"] = json!("r-twin");
            }
            3 => content["routes"] = json!("none"),
            4 => {
                let text = content.to_string();
                return text.as_bytes()[..text.len() * 2 / 3].to_vec();
            }
            _ => {
                let mut text = content.to_string().into_bytes();
                let middle = text.len() / 2;
                text[middle] = 0xff;
                return text;
            }
        }
        content.to_string().into_bytes()
    }
}

/// An operator, or a reader of the configuration.
pub(crate) struct SoakOperator {
    pub(crate) context: ActorContext,
    pub(crate) controls: Vec<SocketAddr>,
    pub(crate) planned: Arc<Mutex<PlannedConfig>>,
    pub(crate) rng: StdRng,
}

impl SoakOperator {
    fn lock(planned: &Mutex<PlannedConfig>) -> MutexGuard<'_, PlannedConfig> {
        planned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw_control(&mut self) -> usize {
        self.rng.random_range(0..self.controls.len())
    }

    /// One call to a control host and to those that it names, two more at most; the answer
    /// with the host that gave it.
    fn call(&self, control: usize, method: &str, body: &[u8]) -> Option<(usize, RawResponse)> {
        let mut address = self.controls[control];
        for _hop in 0..3 {
            let headers = [("Host", "control")];
            let sent = raw_call(address, method, CONFIG_PATH, &headers, body, OPERATOR_WAIT);
            let response = sent.ok()?;
            match (response.status, redirect_target(&response)) {
                (307, Some(target)) => address = target,
                _ => {
                    let host = self.controls.iter().position(|known| *known == address);
                    return Some((host?, response));
                }
            }
        }
        None
    }

    /// Sends a text until there is a clear answer, to any host each time.
    fn send_text(&mut self, text: &[u8]) -> Option<u16> {
        for attempt in 1..=MAX_ATTEMPTS {
            let control = self.draw_control();
            match self.call(control, "PUT", text).map(|(_, response)| response.status) {
                None | Some(408 | 429 | 500.. | 300..400) => {
                    std::thread::sleep(BACKOFF * attempt.min(MAX_BACKOFF));
                }
                status => return status,
            }
        }
        None
    }

    /// Sends a text and breaks the connection before the answer.
    fn send_unheard(&mut self, text: &[u8]) {
        let control = self.draw_control();
        let pause = Duration::from_millis(self.rng.random_range(0..20));
        if let Ok(mut connection) = RawConnection::open(self.controls[control], OPERATOR_WAIT) {
            let bytes = request_bytes("PUT", CONFIG_PATH, &[("Host", "control")], text);
            let _written = connection.write(&bytes);
            std::thread::sleep(pause);
            let _reset = connection.reset();
        }
    }

    /// Sends the planned configuration as it is; returns whether it was acknowledged.
    pub(crate) fn send_planned(&mut self) -> bool {
        let (version, text) = {
            let planned = Self::lock(&self.planned);
            let (content, prefixes) = (planned.content(), planned.all_prefixes());
            let text = content.to_string().into_bytes();
            let change = SentChange { content, prefixes, sent: Instant::now(), acked: None };
            self.context.history.lock().changes.insert(planned.version, change);
            (planned.version, text)
        };
        if self.rng.random_bool(0.2) {
            self.send_unheard(&text);
        }
        let times = if self.rng.random_bool(0.2) { 2 } else { 1 };
        for _time in 0..times {
            let status = self.send_text(&text);
            let mut history = self.context.history.lock();
            let Some(change) = history.changes.get_mut(&version) else { return false };
            match status {
                Some(status) if status / 100 == 2 => {
                    change.acked.get_or_insert_with(Instant::now);
                }
                Some(status) => {
                    let acked = change.acked.is_some();
                    history.find(format!("CONFIG refused: {version} {status} acked={acked}"));
                }
                None => {}
            }
        }
        self.context.history.lock().changes.get(&version).is_some_and(|sent| sent.acked.is_some())
    }

    /// Makes one change and sends it.
    pub(crate) fn make_change(&mut self) -> bool {
        Self::lock(&self.planned).change(&mut self.rng);
        self.send_planned()
    }

    fn send_invalid(&mut self) {
        let text = Self::lock(&self.planned).invalid_text(&mut self.rng);
        if self.send_text(&text).is_some_and(|status| status / 100 == 2) {
            let text = String::from_utf8_lossy(&text).into_owned();
            self.context.history.lock().find(format!("CONFIG invalid acknowledged: {text}"));
        }
    }

    /// Sends other content under an acknowledged version; what is read back shows the rest.
    fn send_other_content(&mut self) {
        let acked = {
            let history = self.context.history.lock();
            let mut changes = history.changes.iter().rev();
            let acked = changes.find(|(_, change)| change.acked.is_some());
            acked.map(|(_, change)| change.content.clone())
        };
        if let Some(mut content) = acked {
            content["routes"][0]["timeout_ms"] = json!(self.rng.random_range(7_001..9_000));
            let _status = self.send_text(content.to_string().as_bytes());
        }
    }

    /// Changes the configuration until the soak stops.
    pub(crate) fn run_changes(mut self) {
        while !self.context.is_stopped() {
            match self.rng.random_range(0..8) {
                0 => self.send_invalid(),
                1 => self.send_other_content(),
                _ => drop(self.make_change()),
            }
            std::thread::sleep(Duration::from_millis(self.rng.random_range(50..700)));
        }
    }

    /// Reads the configuration once, at any host; returns whether there was an answer.
    pub(crate) fn read_config(&mut self, control: usize) -> bool {
        let sent = Instant::now();
        match self.call(control, "GET", b"") {
            Some((control, RawResponse { status: 200, body, .. })) => {
                let read = ConfigRead { control, sent, answered: Instant::now(), body };
                self.context.history.lock().reads.push(read);
                true
            }
            _ => false,
        }
    }

    /// Reads the configuration at all hosts until the soak stops.
    pub(crate) fn run_reads(mut self) {
        while !self.context.is_stopped() {
            let control = self.draw_control();
            self.read_config(control);
            std::thread::sleep(Duration::from_millis(self.rng.random_range(10..120)));
        }
    }

    /// Asks for counts on routes that are there, were dropped or never were, until the soak
    /// stops.
    pub(crate) fn run_route_calls(mut self, seed: u64) {
        let mut caller = SoakCaller::new(self.context.clone(), seed);
        self.rng = StdRng::seed_from_u64(seed);
        while !self.context.is_stopped() {
            let prefix = {
                let planned = Self::lock(&self.planned);
                let mut prefixes = planned.prefixes.clone();
                prefixes.extend(planned.dropped.iter().cloned());
                prefixes.push(format!("/q{}/", planned.next_route + 1_000));
                prefixes.swap_remove(self.rng.random_range(0..prefixes.len()))
            };
            caller.ask_count(&prefix);
            std::thread::sleep(Duration::from_millis(self.rng.random_range(5..50)));
        }
    }
}
