//! Stand-ins for the scripts of this review: a small deployment of the project's own programs
//! on loopback addresses, minions, clients and an operator, as PROTOCOL.md describes them.
//! Only the standard library is used, so that `rustc` alone builds it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub const PEER_PORT: u16 = 7_720;
pub const FRONT_PORT: u16 = 8_161;
pub const CONTROL_PORT: u16 = 8_166;
pub const READY_PORT: u16 = 8_167;
pub const APP_PORT: u16 = 8_360;
const CLAIM_PORT: u16 = 7_999;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const SERVICE: &str = "dispatch-app";
/// Room of a minion, in thousandths of a core.
pub const CAPACITY: u64 = 32_000;
const ZONES: [&str; 3] = ["umea", "lulea", "sundsvall"];

/// `hold_max_ms`, `stop_ms` and the interval of heartbeats of the small sites.
pub const HOLD_MAX_MS: u64 = 1_000;
pub const STOP_MS: u64 = 20;
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Longest time that a script may run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(ms(millis));
}

/// Whether the disruption is part of this run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run; clones share it.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Record {
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".into());
        let file = File::create(Path::new(&folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| broken_setup(&format!("record.txt: {error}")));
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

/// Ends the script as one that could not run.
pub fn broken_setup(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    std::process::exit(2)
}

// ---------------------------------------------------------------- HTTP

pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "" => return Ok((first, headers)),
            line => {
                if let Some((name, value)) = line.split_once(':') {
                    headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
        }
    }
}

fn read_body(
    reader: &mut impl Read,
    headers: &BTreeMap<String, String>,
) -> std::io::Result<String> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// One request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> std::io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut writer = stream.try_clone()?;
    let deadline = timeout.as_millis();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Cactuswing-Deadline-Ms: {deadline}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let body = read_body(&mut reader, &headers)?;
    Ok(Response { status, location: headers.get("location").cloned(), body })
}

/// A number in a flat JSON object.
pub fn json_number(body: &str, name: &str) -> Option<u64> {
    let rest = json_value(body, name)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// A text without escapes in a flat JSON object.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let rest = json_value(body, name)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

fn json_value<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\"");
    let rest = body[body.find(&key)? + key.len()..].trim_start();
    Some(rest.strip_prefix(':')?.trim_start())
}

// ---------------------------------------------------------------- processes

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Role {
    Control(u8),
    Entry(u8),
    Agent(u8),
}

impl Role {
    fn kind(self) -> &'static str {
        match self {
            Role::Control(_) => "control",
            Role::Entry(_) => "entry",
            Role::Agent(_) => "agent",
        }
    }

    fn number(self) -> u8 {
        match self {
            Role::Control(number) | Role::Entry(number) | Role::Agent(number) => number,
        }
    }

    pub fn name(self) -> String {
        format!("{}-{}", self.kind(), self.number())
    }

    fn last_byte(self) -> u8 {
        self.number()
            + match self {
                Role::Control(_) => 1,
                Role::Entry(_) => 31,
                Role::Agent(_) => 61,
            }
    }
}

/// The processes of a deployment. All end with it, and with the script.
pub struct Cluster {
    root: PathBuf,
    pub folder: PathBuf,
    network: [u8; 2],
    _claim: TcpListener,
    children: BTreeMap<Role, Child>,
    seeds: Vec<Role>,
    pub tolerated: usize,
    pub record: Record,
}

impl Cluster {
    pub fn new(record: &Record, seeds: u8, tolerated: usize) -> Cluster {
        std::thread::spawn(|| {
            std::thread::sleep(TIME_LIMIT);
            eprintln!("could not run: the time limit has passed");
            std::process::exit(2);
        });
        let root = std::env::var("REPOSITORY").unwrap_or_else(|_| ".".into());
        let id = std::process::id();
        let networks = (0..=255).map(|attempt| [(id % 200 + 20) as u8, (id / 200 + attempt) as u8]);
        let claimed = networks.into_iter().find_map(|network| {
            let address = SocketAddr::from(([127, network[0], network[1], 254], CLAIM_PORT));
            TcpListener::bind(address).ok().map(|claim| (network, claim))
        });
        let Some((network, claim)) = claimed else { broken_setup("no loopback network is free") };
        let folder = std::env::temp_dir().join(format!("review-3-{}-{}", network[0], network[1]));
        let _old = fs::remove_dir_all(&folder);
        if let Err(error) = fs::create_dir_all(&folder) {
            broken_setup(&format!("temporary folder: {error}"));
        }
        Cluster {
            root: root.into(),
            folder,
            network,
            _claim: claim,
            children: BTreeMap::new(),
            seeds: (0..seeds).map(Role::Control).collect(),
            tolerated,
            record: record.clone(),
        }
    }

    pub fn address(&self, role: Role, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.network[0], self.network[1], role.last_byte()], port))
    }

    fn settings(&self, role: Role, bootstrap: bool) -> String {
        let path = self.root.join(format!("deploy/{}.json", role.kind()));
        let Ok(template) = fs::read_to_string(&path) else { broken_setup("no template") };
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.address(*seed, CONTROL_PORT)))
            .collect();
        let ip = self.address(role, 0).ip();
        let data = self.folder.join(format!("data-{}", role.name()));
        let values = [
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{node}}", role.name()),
            ("{{zone}}", ZONES[role.number() as usize % 3].to_owned()),
            ("{{ip}}", ip.to_string()),
            ("{{internal_ports.0}}", PEER_PORT.to_string()),
            ("{{listen.control}}", format!("{ip}:{CONTROL_PORT}")),
            ("{{listen.front}}", format!("{ip}:{FRONT_PORT}")),
            ("{{listen.ready}}", format!("{ip}:{READY_PORT}")),
            ("{{app}}", format!("{ip}:{APP_PORT}")),
            ("{{data_dir}}", data.display().to_string()),
            ("{{tolerate.machines}}", self.tolerated.to_string()),
            ("{{bootstrap}}", bootstrap.to_string()),
            ("{{bounds.hold_max_ms}}", HOLD_MAX_MS.to_string()),
            ("{{bounds.remote_factor}}", "1.5".to_owned()),
            ("{{bounds.config_ms}}", "2000".to_owned()),
        ];
        let text = values.iter().fold(template, |text, (name, value)| text.replace(name, value));
        if text.contains("{{") {
            broken_setup(&format!("a template has a field that is not known here: {text}"));
        }
        text
    }

    pub fn log_path(&self, role: Role) -> PathBuf {
        self.folder.join(format!("{}.log", role.name()))
    }

    /// Starts a process as the deploy file does.
    pub fn start(&mut self, role: Role, bootstrap: bool) {
        let settings = self.folder.join(format!("{}.json", role.name()));
        if let Err(error) = fs::write(&settings, self.settings(role, bootstrap)) {
            broken_setup(&format!("settings: {error}"));
        }
        let (memory, files) = match role {
            Role::Control(_) => ("256", "4096"),
            Role::Entry(_) => ("260", "4100"),
            Role::Agent(_) => ("128", "4096"),
        };
        let path = self.log_path(role);
        let open = || OpenOptions::new().create(true).append(true).open(&path).unwrap();
        let mut command = Command::new(self.root.join("target/release/cactuswing"));
        command
            .args([role.kind(), "--settings"])
            .arg(&settings)
            .args(["--memory-mb", memory, "--max-fds", files])
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .process_group(0);
        // A process ends with the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => {
                self.record.line(format!("start {} pid {}", role.name(), child.id()));
                self.children.insert(role, child);
            }
            Err(error) => broken_setup(&format!("the program does not start: {error}")),
        }
    }

    pub fn signal(&self, role: Role, signal: i32) {
        if let Some(child) = self.children.get(&role) {
            self.record.line(format!("signal {signal} to {}", role.name()));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills a process and reaps it.
    pub fn kill(&mut self, role: Role) {
        if let Some(mut child) = self.children.remove(&role) {
            let _killed = child.kill();
            let _reaped = child.wait();
            self.record.line(format!("killed {}", role.name()));
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, role: Role) -> bool {
        match self.children.get_mut(&role) {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// What a process has logged so far.
    pub fn log(&self, role: Role) -> String {
        fs::read_to_string(self.log_path(role)).unwrap_or_default()
    }

    /// Waits until the log of a process holds a word; `false` if it doesn't in time.
    pub fn wait_for_log(&self, role: Role, word: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.log(role).contains(word) {
                return true;
            }
            std::thread::sleep(Duration::from_micros(300));
        }
        false
    }

    /// An order of the operator, to one node, with up to two redirects.
    pub fn operator_call(&self, node: Role, method: &str, body: &str) -> Option<Response> {
        let mut address = self.address(node, CONTROL_PORT);
        let path = "/cactuswing/config";
        for _redirect in 0..3 {
            let answer = call(address, method, "control", path, body, ms(1_000));
            match answer {
                Ok(response) if response.status == 307 => {
                    let target = response.location.unwrap_or_default();
                    let target = target.trim_start_matches("http://").split('/').next();
                    match target.and_then(|text| text.parse().ok()) {
                        Some(next) => address = next,
                        None => return None,
                    }
                }
                Ok(response) => {
                    let status = response.status;
                    self.record.line(format!("{method} config at {} -> {status}", node.name()));
                    return Some(response);
                }
                Err(error) => {
                    self.record.line(format!("{method} config at {} -> {error}", node.name()));
                    return None;
                }
            }
        }
        None
    }

    /// Sends an order to the nodes in turn until it is acknowledged.
    pub fn put_config(&self, nodes: &[Role], body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for node in nodes {
                let answer = self.operator_call(*node, "PUT", body);
                if answer.is_some_and(|response| response.status == 200) {
                    return true;
                }
            }
            sleep_ms(150);
        }
        false
    }

    /// Waits until all these entries say that they are ready.
    pub fn wait_ready(&self, entries: &[Role], limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |entry: &Role| {
            let address = self.address(*entry, READY_PORT);
            let probe = call(address, "GET", "ready", "/cactuswing/readiness", "", ms(500));
            probe.is_ok_and(|response| response.status == 200)
        };
        while Instant::now() < until {
            if entries.iter().all(is_ready) {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// A request of a client at an entry.
    pub fn client_call(
        &self,
        entry: Role,
        method: &str,
        id: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<Response> {
        let path = format!("{PREFIX}{id}");
        let address = self.address(entry, FRONT_PORT);
        self.record.line(format!("{method} {id} at {} sent", entry.name()));
        match call(address, method, HOST, &path, body, timeout) {
            Ok(response) => {
                let text = format!("{} {}", response.status, response.body);
                self.record.line(format!("{method} {id} at {} -> {text}", entry.name()));
                Some(response)
            }
            Err(error) => {
                self.record.line(format!("{method} {id} at {} -> {error}", entry.name()));
                None
            }
        }
    }

    /// Ends all processes and removes the folder; the logs stay with `KEEP=1`.
    pub fn end(&mut self) {
        let roles: Vec<Role> = self.children.keys().copied().collect();
        for role in roles {
            self.kill(role);
        }
        match std::env::var("KEEP") {
            Ok(_) => eprintln!("logs: {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }

    /// Ends the script with its result.
    pub fn finish(mut self, broken: Result<(), String>) -> ! {
        self.end();
        match broken {
            Ok(()) => {
                self.record.line("result: the rule held");
                println!("the rule held");
                std::process::exit(0)
            }
            Err(what) => {
                self.record.line(format!("result: the rule was broken: {what}"));
                println!("the rule was broken: {what}");
                std::process::exit(1)
            }
        }
    }

    /// Ends the script as one that could not run.
    pub fn give_up(mut self, reason: &str) -> ! {
        self.record.line(format!("could not run: {reason}"));
        self.end();
        broken_setup(reason)
    }
}

/// The operator's configuration with one queue.
pub fn config(version: u64, guards: bool) -> String {
    config_with(version, guards, "")
}

/// The same with further routes.
pub fn config_with(version: u64, guards: bool, routes: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"goal_ms\":60,\
         \"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":4,\"stretch\":1.6}}{routes}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":64,\
         \"protocol\":\"h1\",\"tls\":false,\"enforce_capacity\":{guards},\"spare\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

// ---------------------------------------------------------------- minion

/// One run of a task as the minion saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub cpu: u64,
    pub began: Instant,
    /// Processor share in use once it had begun, this run included.
    pub cpu_in_use: u64,
    pub ended: Option<(Instant, &'static str)>,
    /// Whether its end was acknowledged, with no lapse of the lease in between.
    pub acked: bool,
}

struct Active {
    run: u64,
    cpu: u64,
    ends_at: Instant,
    how: &'static str,
    record: usize,
}

struct ListedEnd {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    record: usize,
    /// Whether the lease has lapsed since.
    is_void: bool,
}

#[derive(Default)]
struct MinionState {
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Active>,
    barred: BTreeMap<String, u64>,
    ended: Vec<ListedEnd>,
    last_end: u64,
    runs: Vec<Run>,
    heartbeat_at: Option<Instant>,
    draining: bool,
    drain_acked_at: Option<Instant>,
    left: bool,
}

/// A minion: it runs what it is told under a lease, as PROTOCOL.md says. What a task does
/// stands in the spec of its job: `ms=900 cpu=1000`, with `fail=1` if it fails at its end.
#[derive(Clone)]
pub struct Minion {
    pub id: String,
    pub capacity: u64,
    guards: bool,
    app: SocketAddr,
    agent: SocketAddr,
    zone: String,
    kind: &'static str,
    rack: String,
    born: Instant,
    born_ms: u64,
    record: Record,
    state: Arc<(Mutex<MinionState>, Condvar)>,
}

impl Minion {
    /// Starts a minion of kind `a`.
    pub fn start(cluster: &Cluster, agent: Role, capacity: u64, guards: bool) -> Minion {
        Minion::start_kind(cluster, agent, capacity, guards, "a")
    }

    pub fn start_kind(
        cluster: &Cluster,
        agent: Role,
        capacity: u64,
        guards: bool,
        kind: &'static str,
    ) -> Minion {
        let number = agent.number();
        let minion = Minion {
            id: format!("i-7f3a{number:04x}"),
            capacity,
            guards,
            app: cluster.address(agent, APP_PORT),
            agent: cluster.address(agent, CONTROL_PORT),
            zone: ZONES[number as usize % 3].to_owned(),
            kind,
            rack: format!("r1-{}", number / 3),
            born: Instant::now(),
            born_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64,
            record: cluster.record.clone(),
            state: Arc::default(),
        };
        let listener = match TcpListener::bind(minion.app) {
            Ok(listener) => listener,
            Err(error) => broken_setup(&format!("{}: {error}", minion.app)),
        };
        let server = minion.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || drop(server.serve(stream)));
            }
        });
        let ticker = minion.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(2);
                let mut state = ticker.lock();
                ticker.end_due(&mut state);
            }
        });
        let announcer = minion.clone();
        std::thread::spawn(move || announcer.announce());
        minion
    }

    fn lock(&self) -> MutexGuard<'_, MinionState> {
        self.state.0.lock().unwrap()
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.born.elapsed().as_millis() as u64
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Names and numbers of the runs at work.
    pub fn running(&self) -> Vec<(String, u64)> {
        let state = self.lock();
        state.running.iter().map(|(task, active)| (task.clone(), active.run)).collect()
    }

    /// Number of ends that are listed and not acknowledged.
    pub fn listed_ends(&self) -> usize {
        self.lock().ended.len()
    }

    /// A run that was started after another run of its task had ended `done`, if that end was
    /// acknowledged under the same lease, at any time.
    pub fn find_repeated(&self) -> Option<String> {
        let runs = self.runs();
        let mut done: BTreeMap<&str, &Run> = BTreeMap::new();
        for run in &runs {
            if run.acked && matches!(run.ended, Some((_, "done"))) {
                done.entry(&run.task).or_insert(run);
            }
        }
        let is_repeated = |run: &&Run| {
            let first = done.get(run.task.as_str()).and_then(|first| first.ended);
            first.is_some_and(|(ended, _)| run.began > ended)
        };
        let repeated: Vec<&Run> = runs.iter().filter(is_repeated).collect();
        let first = repeated.first()?;
        let count = repeated.len();
        Some(format!(
            "{} began again as run {} after it had ended done and that was acknowledged; so did \
             {count} runs in all",
            first.task, first.run
        ))
    }

    /// When a heartbeat was first acknowledged that says that the minion drains.
    pub fn drain_acked_at(&self) -> Option<Instant> {
        self.lock().drain_acked_at
    }

    /// When the latest heartbeat was acknowledged.
    pub fn heartbeat_at(&self) -> Option<Instant> {
        self.lock().heartbeat_at
    }

    /// Announces from now on that the minion drains; at once, and with each later heartbeat.
    pub fn drain(&self) {
        self.record.line(format!("{} drains", self.id));
        self.lock().draining = true;
    }

    /// Says that the minion leaves; `gateway` is where it reaches its agent. It ends once that
    /// is acknowledged, or `patience` after it got no acknowledgement.
    pub fn leave(&self, gateway: SocketAddr, patience: Duration) {
        let path = format!("/cactuswing/instances/{}", self.id);
        self.record.line(format!("{} sends DELETE", self.id));
        let sent = call(gateway, "DELETE", "agent", &path, "", ms(1_000));
        match sent {
            Ok(response) if response.status / 100 == 2 => {
                self.record.line(format!("{}: DELETE -> {}", self.id, response.status));
            }
            Ok(response) => {
                self.record.line(format!("{}: DELETE -> {}", self.id, response.status));
                std::thread::sleep(patience);
            }
            Err(error) => {
                self.record.line(format!("{}: DELETE -> {error}", self.id));
                std::thread::sleep(patience);
            }
        }
        self.end();
    }

    /// Ends the minion: everything that runs on it terminates, and it answers no more.
    pub fn end(&self) {
        let mut state = self.lock();
        self.end_due(&mut state);
        state.left = true;
        let now = Instant::now();
        for (task, active) in std::mem::take(&mut state.running) {
            self.record
                .line(format!("{} ends {task} run {}: with the minion", self.id, active.run));
            state.runs[active.record].ended = Some((now, "gone"));
        }
        self.record.line(format!("{} has ended", self.id));
    }

    fn announce(&self) {
        let path = format!("/cactuswing/instances/{}", self.id);
        let mut sequence = 0;
        loop {
            sequence += 1;
            if self.lock().left {
                return;
            }
            let is_draining = self.lock().draining;
            let state = if is_draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{state}\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\
                 \"mem_mb\":131072,\"gpu\":0}},\"labels\":[\"{}\",\"{}\"],\"clock_ms\":{},\
                 \"sequence\":{sequence},\"born\":{}}}",
                self.app,
                self.zone,
                self.capacity,
                self.kind,
                self.rack,
                self.clock_ms(),
                self.born_ms
            );
            let sent = call(self.agent, "PUT", "agent", &path, &body, ms(1_000));
            if sent.is_ok_and(|response| response.status / 100 == 2) {
                let mut state = self.lock();
                let now = Instant::now();
                state.heartbeat_at = Some(now);
                if is_draining {
                    state.drain_acked_at.get_or_insert(now);
                }
                drop(state);
                std::thread::sleep(HEARTBEAT);
            } else {
                sleep_ms(50);
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let (first, headers) = read_head(&mut reader)?;
            let body = read_body(&mut reader, &headers)?;
            if self.lock().left {
                return Ok(());
            }
            let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
            let expected = headers.get("cactuswing-expect-instance");
            let (status, body) = match expected.is_some_and(|id| *id != self.id) {
                true => (421, String::new()),
                false => self.on_call(&path, &body),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(format!("{head}{body}").as_bytes())?;
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn done(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn on_call(&self, path: &str, body: &str) -> (u16, String) {
        let mut state = self.lock();
        self.end_due(&mut state);
        let fence = json_number(body, "fence").unwrap_or(0);
        if fence < state.fence {
            return self.refusal("fence");
        }
        state.fence = fence;
        match path {
            "/cactuswing/run-start" => self.on_start(&mut state, body),
            "/cactuswing/run-stop" => self.on_stop(&mut state, body),
            "/cactuswing/hold" => self.on_hold(state, body),
            _ => (400, String::new()),
        }
    }

    fn extend_lease(&self, state: &mut MinionState, body: &str) {
        if let Some(until) = json_number(body, "until_ms") {
            let until = until.min(self.clock_ms() + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until);
        }
    }

    fn on_start(&self, state: &mut MinionState, body: &str) -> (u16, String) {
        let (Some(task), Some(run)) = (json_text(body, "task"), json_number(body, "run")) else {
            return (400, String::new());
        };
        if state.running.get(&task).is_some_and(|active| active.run == run) {
            return self.done();
        }
        self.extend_lease(state, body);
        let is_barred = state.barred.get(&task).is_some_and(|barred| run <= *barred);
        if is_barred || state.running.contains_key(&task) {
            return self.refusal("old");
        }
        if json_number(body, "until_ms").is_none_or(|until| until <= self.clock_ms()) {
            return self.refusal("late");
        }
        let spec = json_text(body, "spec").unwrap_or_default();
        let (run_ms, cpu) = (spec_number(&spec, "ms="), spec_number(&spec, "cpu="));
        let cpu_in_use = cpu + state.running.values().map(|active| active.cpu).sum::<u64>();
        if self.guards && cpu_in_use > self.capacity {
            return self.refusal("room");
        }
        let now = Instant::now();
        let record = state.runs.len();
        self.record.line(format!("{} begins {task} run {run}, {cpu_in_use} in use", self.id));
        let (ended, acked) = (None, false);
        state.runs.push(Run { task: task.clone(), run, cpu, began: now, cpu_in_use, ended, acked });
        let how = if spec_number(&spec, "fail=") > 0 { "failed" } else { "done" };
        let active = Active { run, cpu, ends_at: now + ms(run_ms), how, record };
        state.running.insert(task, active);
        self.done()
    }

    fn on_stop(&self, state: &mut MinionState, body: &str) -> (u16, String) {
        let (Some(task), Some(run)) = (json_text(body, "task"), json_number(body, "run")) else {
            return (400, String::new());
        };
        let barred = state.barred.entry(task.clone()).or_insert(0);
        *barred = (*barred).max(run);
        let stopped_at = Instant::now() + ms(STOP_MS);
        if let Some(active) = state.running.get_mut(&task).filter(|active| active.run <= run)
            && stopped_at < active.ends_at
        {
            (active.ends_at, active.how) = (stopped_at, "stopped");
        }
        self.done()
    }

    fn on_hold(&self, mut state: MutexGuard<'_, MinionState>, body: &str) -> (u16, String) {
        self.extend_lease(&mut state, body);
        let acked = json_number(body, "acked_upto").unwrap_or(0);
        let listed = std::mem::take(&mut state.ended);
        let (gone, kept): (Vec<_>, Vec<_>) =
            listed.into_iter().partition(|end| end.number <= acked);
        state.ended = kept;
        for end in gone.iter().filter(|end| !end.is_void) {
            state.runs[end.record].acked = true;
        }
        let wait = json_number(body, "wait_ms").unwrap_or(0).min(2_000);
        let until = Instant::now() + ms(wait);
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        self.end_due(&mut state);
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, active)| format!("[\"{task}\",{},\"\",{}]", active.run, active.cpu))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|end| {
                let ListedEnd { number, task, run, how, .. } = end;
                format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
            })
            .collect();
        let lists = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            ended.join(",")
        );
        (200, lists)
    }

    /// Ends the runs whose time has come, and all of them once the lease is over.
    fn end_due(&self, state: &mut MinionState) {
        let now = Instant::now();
        let lapses_at = self.born + ms(state.lease_until_ms.saturating_sub(1_000));
        let due = state.running.iter().filter(|(_, active)| active.ends_at.min(lapses_at) <= now);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            let Some(active) = state.running.remove(&task) else { continue };
            let how = if lapses_at < active.ends_at { "lapsed" } else { active.how };
            let barred = state.barred.entry(task.clone()).or_insert(0);
            *barred = (*barred).max(active.run);
            state.last_end += 1;
            let number = state.last_end;
            self.record.line(format!("{} ends {task} run {}: {how}", self.id, active.run));
            state.runs[active.record].ended = Some((now, how));
            let (run, record, is_void) = (active.run, active.record, false);
            state.ended.push(ListedEnd { number, task, run, how, record, is_void });
            self.state.1.notify_all();
        }
        if lapses_at <= now {
            state.ended.iter_mut().for_each(|end| end.is_void = true);
        }
    }
}

fn spec_number(spec: &str, name: &str) -> u64 {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
    word.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Two runs of one task that overlap by more than `margin`, if there are any.
pub fn find_overlap(minions: &[Minion], margin: Duration) -> Option<String> {
    let runs: Vec<(String, Run)> = minions
        .iter()
        .flat_map(|minion| minion.runs().into_iter().map(|run| (minion.id.clone(), run)))
        .collect();
    let now = Instant::now();
    let ended = |run: &Run| run.ended.map_or(now, |(at, _)| at);
    for (position, (first_minion, first)) in runs.iter().enumerate() {
        for (second_minion, second) in &runs[position + 1..] {
            let overlap = ended(first)
                .min(ended(second))
                .saturating_duration_since(first.began.max(second.began));
            if first.task == second.task && overlap > margin {
                return Some(format!(
                    "{} ran on {first_minion} (run {}) and on {second_minion} (run {}) at the same \
                     time, for {} ms",
                    first.task,
                    first.run,
                    second.run,
                    overlap.as_millis()
                ));
            }
        }
    }
    None
}

/// A run that was started after `max_attempts` runs of its task had ended `failed`, if all these
/// ends were acknowledged under the same lease, at any time.
pub fn find_beyond(minions: &[Minion], max_attempts: usize) -> Option<String> {
    let runs: Vec<Run> = minions.iter().flat_map(Minion::runs).collect();
    let has_failed_before = |run: &Run, other: &Run| {
        other.task == run.task
            && other.acked
            && matches!(other.ended, Some((at, "failed")) if at < run.began)
    };
    runs.iter().find_map(|run| {
        let failed = runs.iter().filter(|other| has_failed_before(run, other)).count();
        (failed >= max_attempts).then(|| {
            format!("{} began again as run {} after {failed} runs had failed", run.task, run.run)
        })
    })
}

/// Forwards connections to `target`. While `resets` is set, an answer is not passed on: the
/// connection is closed instead.
pub struct Gateway {
    pub address: SocketAddr,
    pub resets: Arc<std::sync::atomic::AtomicBool>,
}

impl Gateway {
    pub fn start(target: SocketAddr) -> Gateway {
        let listener = match TcpListener::bind((target.ip(), 0)) {
            Ok(listener) => listener,
            Err(error) => broken_setup(&format!("gateway: {error}")),
        };
        let address = listener.local_addr().unwrap();
        let resets = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let flag = Arc::clone(&resets);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect_timeout(&target, ms(1_000)) else { continue };
                let (Ok(near_reader), Ok(far_writer)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let flag = Arc::clone(&flag);
                std::thread::spawn(move || pass(near_reader, far_writer, None));
                std::thread::spawn(move || pass(far, near, Some(flag)));
            }
        });
        Gateway { address, resets }
    }
}

fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    resets: Option<Arc<std::sync::atomic::AtomicBool>>,
) {
    let mut space = [0; 16_384];
    while let Ok(length) = from.read(&mut space) {
        let is_cut =
            resets.as_ref().is_some_and(|flag| flag.load(std::sync::atomic::Ordering::Acquire));
        if length == 0 || is_cut || to.write_all(&space[..length]).is_err() {
            break;
        }
    }
    let _closed = to.shutdown(std::net::Shutdown::Both);
    let _closed = from.shutdown(std::net::Shutdown::Both);
}
