//! Crowds of misbehaving clients against the deployed processes, with small limits: bodies
//! that stop short of their end, bodies without end, requests that stop halfway, replies
//! that nobody reads, jobs of very many parts. Guards against processes that such clients
//! bring down: each stays alive, within its memory and its descriptors, and answers an
//! ordinary request while the crowd still stays connected. One test at a time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use model::ProcessLimits;
use serde_json::json;
use standin::{LeaseServer, raw_call};

use crate::deployed_group::{DeployedGroup, RoleHost, SERVICE, redirect_target};
use crate::process_group::ProcessGroup;

/// Connections of a crowd; their bodies together exceed the memory limit, and they the
/// descriptors.
const CROWD: usize = 300;
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 64, max_fds: 256 };
/// The body limit of the configuration, and what a stopping client sends of it.
const BODY_BYTES: usize = 262_144;
const SENT_BYTES: usize = 262_000;
/// Time for a client's connection or for one of its writes.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for what a healthy system does within a few seconds.
const PATIENT_LIMIT: Duration = Duration::from_secs(30);
/// Time in which the processes read what a crowd has sent; no assertion depends on it.
const READ_TIME: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const HOST: &str = "crowds.example";
const CPU_MILLI: u64 = 16_000;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// One control host, agent and entry, with small limits.
struct LimitedSystem {
    group: DeployedGroup,
    server: LeaseServer,
    next_job: u64,
    limits: ProcessLimits,
    _turn: MutexGuard<'static, ()>,
}

const CONTROL: RoleHost = RoleHost::Control(0);
const ENTRY: RoleHost = RoleHost::Entry(0);
const AGENT: RoleHost = RoleHost::Agent(0);
const ENTRY_LOG: &str = "entry-0.log";

fn wait_until(mut is_met: impl FnMut() -> bool) -> bool {
    let limit = Instant::now() + PATIENT_LIMIT;
    while Instant::now() < limit {
        if is_met() {
            return true;
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    false
}

fn config_text() -> String {
    json!({
        "version": 1,
        "routes": [{
            "name": "r", "host": HOST, "path_prefix": "/x/", "kind": "unsafe",
            "timeout_ms": 4_000, "goal_ms": 60, "priority": 0, "service": SERVICE,
            "max_attempts": 4, "stretch": 1.6
        }],
        "services": [{ "name": SERVICE, "enforce_capacity": true }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": BODY_BYTES,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000
        }
    })
    .to_string()
}

impl LimitedSystem {
    /// Starts the system and waits until it has run a job.
    fn start() -> LimitedSystem {
        LimitedSystem::start_with(LIMITS)
    }

    /// The same with other limits.
    fn start_with(limits: ProcessLimits) -> LimitedSystem {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let group = DeployedGroup::start_limited(1, 1, 1, limits);
        let shape = group.server_shape(0, "i-0001".to_owned(), CPU_MILLI);
        let server = LeaseServer::start(shape).expect("the address is free");
        let mut system = LimitedSystem { group, server, next_job: 1, limits, _turn: turn };
        system.set_config();
        assert!(wait_until(|| system.group.is_ready()), "the entry becomes ready");
        system.expect_job();
        system
    }

    /// Waits until an operator's change of the configuration is acknowledged.
    fn set_config(&self) {
        let mut control = self.group.control_address(CONTROL);
        let is_set = wait_until(|| {
            let (path, body) = ("/cactuswing/config", config_text());
            let sent = raw_call(control, "PUT", path, &[], body.as_bytes(), PATIENT_LIMIT);
            let Ok(response) = sent else { return false };
            control = redirect_target(&response).unwrap_or(control);
            response.status == 200
        });
        assert!(is_set, "a change of the configuration is acknowledged");
    }

    /// Waits until an ordinary job has run and its caller has the answer.
    fn expect_job(&mut self) {
        let front = self.group.front(0);
        let steps = json!([{ "count": 1, "cpu": 100, "mem_mb": 1, "estimate_ms": 20 }]);
        let job = json!({ "spec": "a", "steps": steps, "best_effort": true }).to_string();
        let next_job = &mut self.next_job;
        let is_done = wait_until(|| {
            *next_job += 1;
            let path = format!("/x/{next_job:016x}");
            let headers = [("Host", HOST)];
            let sent = raw_call(front, "POST", &path, &headers, job.as_bytes(), PATIENT_LIMIT);
            sent.is_ok_and(|response| response.status == 200)
        });
        assert!(is_done, "an ordinary job runs");
    }

    /// A line of a process's status, in kB.
    fn memory_kb(&mut self, host: RoleHost, line: &str) -> u64 {
        let id = self.group.process_id(host).expect("the process is alive");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it is readable");
        let value = status.lines().find_map(|text| text.strip_prefix(line));
        let value = value.and_then(|text| text.split_whitespace().next());
        value.and_then(|text| text.parse().ok()).expect("a number of kB")
    }

    fn open_descriptors(&mut self, host: RoleHost) -> u64 {
        let id = self.group.process_id(host).expect("the process is alive");
        std::fs::read_dir(format!("/proc/{id}/fd")).expect("it is readable").count() as u64
    }

    fn log_has(&self, name: &str, text: &str) -> bool {
        let log = std::fs::read_to_string(self.group.folder().join(name));
        log.is_ok_and(|log| log.contains(text))
    }

    /// Number of lines of a log with this text.
    fn log_count(&self, name: &str, text: &str) -> usize {
        let log = std::fs::read_to_string(self.group.folder().join(name)).expect("it is readable");
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Checks that each process is alive and has stayed within its limits.
    fn expect_within_limits(&mut self) {
        let mut excesses = Vec::new();
        for host in [CONTROL, AGENT, ENTRY] {
            let (peak_kb, now_kb) =
                (self.memory_kb(host, "VmHWM:"), self.memory_kb(host, "VmRSS:"));
            let descriptors = self.open_descriptors(host);
            println!("{host:?}: peak {peak_kb} kB, now {now_kb} kB, {descriptors} descriptors");
            if peak_kb >= self.limits.memory_mb * 1_024 {
                excesses.push(format!("{host:?}: peak of {peak_kb} kB"));
            }
            if descriptors >= self.limits.max_fds {
                excesses.push(format!("{host:?}: {descriptors} descriptors"));
            }
        }
        assert_eq!(excesses, Vec::<String>::new());
    }

    /// Checks all that must hold while a crowd stays connected.
    fn expect_unharmed(&mut self) {
        // The processes may still read what the crowd has sent.
        std::thread::sleep(READ_TIME);
        self.expect_within_limits();
        self.expect_job();
        self.expect_within_limits();
    }
}

impl Drop for LimitedSystem {
    fn drop(&mut self) {
        // Otherwise its address would not be free for the next system.
        self.server.crash();
    }
}

/// Sends these bytes on a new connection, which stays open; the system may refuse it.
fn send(address: SocketAddr, parts: &[&[u8]]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    for part in parts {
        if stream.write_all(part).is_err() {
            break;
        }
    }
    Some(stream)
}

/// Opens a crowd of connections that send the same bytes.
fn send_all(address: SocketAddr, count: usize, parts: &[&[u8]]) -> Vec<TcpStream> {
    (0..count).filter_map(|_| send(address, parts)).collect()
}

fn head(method: &str, path: &str, length: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{length}\r\n\r\n")
}

/// The head of a request that announces a body of the legal size.
fn legal_head(method: &str, path: &str) -> String {
    head(method, path, &format!("Content-Length: {BODY_BYTES}"))
}

/// A start of a chunked body in chunks of this size, `SENT_BYTES` in all.
fn small_chunks(chunk_bytes: usize) -> Vec<u8> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    chunk.repeat(SENT_BYTES / chunk_bytes).into_bytes()
}

const JOB_PATH: &str = "/x/00000000000000aa";
const NO_ROUTE: &str = "/none/00000000000000aa";

// Bodies of legal size that stop just short of their end were kept in memory for as long as
// their clients stayed, on any path.
#[test]
fn stopped_bodies() {
    let mut system = LimitedSystem::start();
    let front = system.group.front(0);
    let body = vec![b' '; SENT_BYTES];
    let mut crowd = Vec::new();
    for path in [JOB_PATH, NO_ROUTE] {
        let head = legal_head("POST", path);
        crowd.extend(send_all(front, CROWD / 2, &[head.as_bytes(), &body]));
    }
    system.expect_unharmed();
    drop(crowd);
    system.expect_unharmed();
}

// Memory that a crowd has filled was kept by the allocator after it had left.
#[test]
fn memory_returned() {
    let mut system = LimitedSystem::start();
    let before_kb = system.memory_kb(ENTRY, "VmRSS:");
    let front = system.group.front(0);
    let (head, body) = (legal_head("POST", JOB_PATH), vec![b' '; SENT_BYTES]);
    drop(send_all(front, CROWD, &[head.as_bytes(), &body]));
    let is_returned = wait_until(|| {
        let now_kb = system.memory_kb(ENTRY, "VmRSS:");
        now_kb < before_kb + RETURNED_KB
    });
    let now_kb = system.memory_kb(ENTRY, "VmRSS:");
    println!("before {before_kb} kB, after {now_kb} kB");
    assert!(is_returned, "{before_kb} kB before the crowd, {now_kb} kB after it");
}

/// Memory that a process may hold more of after a crowd than before.
const RETURNED_KB: u64 = 8_192;

// The same in chunks of a few bytes, each of which takes more memory than it has bytes.
#[test]
fn chunked_bodies() {
    let mut system = LimitedSystem::start();
    let front = system.group.front(0);
    let (head, chunks) = (head("POST", JOB_PATH, "Transfer-Encoding: chunked"), small_chunks(16));
    let _crowd = send_all(front, CROWD, &[head.as_bytes(), &chunks]);
    system.expect_unharmed();
}

// A body far above the limit was read in whole before it was refused.
#[test]
fn endless_bodies() {
    const ANNOUNCED: usize = 300 * 1024 * 1024;
    const PIECE: usize = 1024 * 1024;
    let mut system = LimitedSystem::start();
    let front = system.group.front(0);
    let piece = vec![b' '; PIECE];
    let chunk = [format!("{PIECE:x}\r\n").as_bytes(), &piece, b"\r\n"].concat();
    let announced = head("POST", JOB_PATH, &format!("Content-Length: {ANNOUNCED}"));
    let chunked = head("POST", JOB_PATH, "Transfer-Encoding: chunked");
    let mut crowd = Vec::new();
    for (head, part) in [(announced, &piece), (chunked, &chunk)] {
        let mut parts = vec![head.as_bytes()];
        parts.extend((0..100).map(|_| part.as_slice()));
        crowd.extend(send(front, &parts));
    }
    system.expect_unharmed();
}

// Connections that stop within a request line were kept until their clients left.
#[test]
fn half_requests() {
    let mut system = LimitedSystem::start();
    let (front, ready) = (system.group.front(0), system.group.ready_address(0));
    let mut crowd = send_all(front, CROWD, &[b"GET /x/ HT"]);
    crowd.extend(send_all(ready, CROWD, &[b"GET /cactuswing/readi"]));
    system.expect_unharmed();
    assert!(wait_until(|| system.group.is_ready()), "readiness is answered");
    for listener in ["callers", "readiness"] {
        let line = format!("connections_limited listener={listener}");
        assert!(wait_until(|| system.log_has(ENTRY_LOG, &line)), "{line}");
    }
}

// Many requests on one connection whose replies nobody reads.
#[test]
fn unread_replies() {
    let mut system = LimitedSystem::start();
    let request = head("GET", "/x/", "Accept: */*");
    let requests = request.repeat(20_000).into_bytes();
    let _crowd = send_all(system.group.front(0), 30, &[&requests]);
    system.expect_unharmed();
}

// Bodies of legal size with very many short parts, and jobs of very many tasks: each is
// much larger in memory than on the wire.
#[test]
fn many_parts() {
    let mut system = LimitedSystem::start();
    let front = system.group.front(0);
    let fill = |start: &str, part: &str, end: &str| {
        let parts = (BODY_BYTES - start.len() - end.len()) / part.len() - 1;
        format!("{start}{}{end}", part.repeat(parts))
    };
    let odd = [
        fill("{\"best_effort\":true,\"steps\":[{}", ",{}", "]}"),
        fill("{\"steps\":[{\"count\":1}],\"a\":0", ",\"a\":0", "}"),
        fill("{\"steps\":[{\"count\":1}],\"a\":[0", ",0", "]}"),
        fill("{\"steps\":[{\"count\":1},{\"depends_on\":[0", ",0", "]}]}"),
        fill("{\"steps\":", "[", ""),
        fill("{\"a\":", "[", ""),
    ];
    for body in &odd {
        let headers = [("Host", HOST)];
        let sent = raw_call(front, "POST", JOB_PATH, &headers, body.as_bytes(), PATIENT_LIMIT);
        let status = sent.map(|response| response.status);
        assert!(matches!(status, Ok(400)), "{status:?} for {}", &body[..40]);
    }
    let mut crowd = Vec::new();
    for number in 0..CROWD {
        let job = json!({ "best_effort": true, "steps": [
            { "count": 100_000, "cpu": 1, "mem_mb": 1, "estimate_ms": 1_000 }
        ] });
        let job = job.to_string();
        let path = format!("/x/{:016x}", 0xbeef_0000 + number);
        let head = head("POST", &path, &format!("Content-Length: {}", job.len()));
        crowd.extend(send(front, &[head.as_bytes(), job.as_bytes()]));
    }
    system.expect_unharmed();
}

// Jobs of very many small tasks, as many as are legal and as many as an entry takes: their
// scheduling took so long that no ordinary job was answered meanwhile.
#[test]
fn very_large_jobs() {
    let mut system = LimitedSystem::start_with(LARGE_LIMITS);
    let front = system.group.front(0);
    for (number, (count, best_effort, max_per_server)) in (0..).zip(LARGE_JOBS) {
        let job = json!({ "spec": "ms=1000", "best_effort": best_effort, "steps": [{
            "count": count, "cpu": 1, "mem_mb": 1, "estimate_ms": 1_000,
            "max_per_server": max_per_server
        }] });
        let job = job.to_string();
        let path = format!("/x/{:016x}", 0xface_0000_u64 + number);
        let head = head("POST", &path, &format!("Content-Length: {}", job.len()));
        let _open = send(front, &[head.as_bytes(), job.as_bytes()]).expect("it connects");
        system.expect_unharmed();
    }
}

/// Limits under which a job of the largest legal number of tasks is held in memory.
const LARGE_LIMITS: ProcessLimits = ProcessLimits { memory_mb: 256, max_fds: 1_024 };
/// Number of tasks of large jobs, whether they are not stored, and the limit on the tasks on
/// one backend server.
const LARGE_JOBS: [(u32, bool, u32); 4] =
    [(10_000, true, 0), (10_000, true, 8_000), (100_000, true, 0), (100_000, false, 0)];

// The addresses of operators and of backend servers took bodies of any size.
#[test]
fn inner_addresses() {
    let mut system = LimitedSystem::start();
    let body = vec![b' '; SENT_BYTES];
    let mut crowd = Vec::new();
    let targets = [(CONTROL, "/cactuswing/config"), (AGENT, "/cactuswing/instances/i-0002")];
    for (host, path) in targets {
        let address = system.group.control_address(host);
        let head = legal_head("PUT", path);
        crowd.extend(send_all(address, CROWD, &[head.as_bytes(), &body]));
    }
    system.expect_unharmed();
    system.set_config();
}

/// First byte of an agent's stream, and the start of a frame whose length is the largest.
const AGENT_FRAME: [u8; 5] = [0xA1, 0x00, 0x80, 0x00, 0x00];
/// Bytes of such a frame that are sent.
const FRAME_BYTES: usize = 2 * 1024 * 1024;
/// The request that opens a connection for JSON-RPC, but for its last line.
const UPGRADE: &str = "GET / HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\n\
    Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
    Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

/// Sends a crowd to the addresses that other processes connect to.
fn crowd_at_peers(system: &mut LimitedSystem, count: usize, parts: &[&[u8]]) {
    let hosts = [CONTROL, ENTRY];
    let addresses = hosts.map(|host| system.group.peer_address(host));
    let crowds = addresses.map(|address| send_all(address, count, parts));
    system.expect_unharmed();
    drop(crowds);
}

// Streams of agents that stop before their first message took all descriptors, so that no
// agent could connect.
#[test]
fn silent_streams() {
    let mut system = LimitedSystem::start();
    crowd_at_peers(&mut system, CROWD, &[&AGENT_FRAME[..1]]);
    crowd_at_peers(&mut system, CROWD, &[&AGENT_FRAME]);
    crowd_at_peers(&mut system, CROWD, &[]);
}

// Incomplete frames of any length were kept in memory.
#[test]
fn half_frames() {
    let mut system = LimitedSystem::start();
    let content = vec![b' '; FRAME_BYTES];
    crowd_at_peers(&mut system, CROWD / 4, &[&AGENT_FRAME, &content]);
}

// The same for JSON-RPC: requests that stop halfway, bodies that are sent without an
// upgrade, and messages that stop halfway after one.
#[test]
fn half_calls() {
    let mut system = LimitedSystem::start();
    let content = vec![b' '; FRAME_BYTES];
    crowd_at_peers(&mut system, CROWD, &[UPGRADE.as_bytes()]);
    let body = head("POST", "/", "Content-Type: application/json\r\nContent-Length: 33554432");
    crowd_at_peers(&mut system, CROWD / 4, &[body.as_bytes(), &content]);
    let upgrade = format!("{UPGRADE}\r\n");
    crowd_at_peers(&mut system, CROWD / 4, &[upgrade.as_bytes(), &message_start(), &content]);
}

/// The start of a masked WebSocket message of 32 MiB.
fn message_start() -> [u8; 14] {
    [0x81, 0xFF, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0]
}

// Connections of agents and control hosts gave way to others: the agent's stays the same, and
// the entry's watch at control goes on.
#[test]
fn known_peers_stay() {
    let mut system = LimitedSystem::start();
    for parts in [&AGENT_FRAME[..], UPGRADE.as_bytes(), b"G"] {
        crowd_at_peers(&mut system, CROWD, &[parts]);
    }
    let sessions = |name: &str| system.log_count(name, "event=agent_session ");
    assert_eq!((sessions(ENTRY_LOG), sessions("control-0.log")), (1, 1), "sessions of the agent");
}

/// Connections that read their replies one byte at a time, and requests on each.
const SLOW_READERS: usize = 60;
const PIPELINED: usize = 2_000;
const BYTE_INTERVAL: Duration = Duration::from_millis(20);

/// Opens connections that pipeline requests, and reads from them one byte at a time until the
/// returned flag is set.
fn read_slowly(address: SocketAddr, request: &str) -> (Arc<AtomicBool>, JoinHandle<()>) {
    let requests = request.repeat(PIPELINED).into_bytes();
    let crowd = send_all(address, SLOW_READERS, &[&requests]);
    let is_over = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&is_over);
    let reader = std::thread::spawn(move || {
        while !flag.load(Ordering::Relaxed) {
            for mut stream in &crowd {
                // It may be closed by now.
                let _read = stream.set_nonblocking(true).and_then(|()| stream.read(&mut [0]));
            }
            std::thread::sleep(BYTE_INTERVAL);
        }
    });
    (is_over, reader)
}

// Clients that read their replies one byte at a time.
#[test]
fn slow_readers() {
    let mut system = LimitedSystem::start();
    let request = head("GET", "/x/", "Accept: */*");
    let (is_over, reader) = read_slowly(system.group.front(0), &request);
    system.expect_unharmed();
    is_over.store(true, Ordering::Relaxed);
    reader.join().expect("the reader ends");
}

// The same clients, and those that don't read at all, on the older interface: at the callers'
// address of an entry and at the address of an agent for backend servers.
#[test]
fn older_interface() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let group = ProcessGroup::start_limited(1, 1, 1, LIMITS);
    let agent = group.agents[0].announce.expect("it takes announcements");
    let addresses = [group.entries[0].address, agent];
    let request = head("GET", "/readyz", "Accept: */*");
    for address in addresses {
        let requests = request.repeat(PIPELINED * 10).into_bytes();
        let _unread = send_all(address, 30, &[&requests]);
        let (is_over, reader) = read_slowly(address, &request);
        std::thread::sleep(READ_TIME);
        for process in [&group.entries[0], &group.agents[0]] {
            let (peak_kb, descriptors) = usage_of(process.id());
            println!("peak {peak_kb} kB, {descriptors} descriptors");
            assert!(peak_kb < LIMITS.memory_mb * 1_024, "{peak_kb} kB");
            assert!(descriptors < LIMITS.max_fds, "{descriptors} descriptors");
        }
        let is_answered = wait_until(|| {
            raw_call(address, "GET", "/readyz", &[("Host", HOST)], b"", PATIENT_LIMIT).is_ok()
        });
        assert!(is_answered, "an ordinary request is answered");
        is_over.store(true, Ordering::Relaxed);
        reader.join().expect("the reader ends");
    }
}

/// Highest resident memory of a process so far, in kB, and its open descriptors.
fn usage_of(id: u32) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it is readable");
    let peak = status.lines().find_map(|text| text.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.split_whitespace().next()?.parse().ok());
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).expect("it is readable").count();
    (peak.expect("a number of kB"), descriptors as u64)
}

// A client that reads its reply byte by byte, or not at all, keeps one connection, and is
// told the truth: an announced length above the limit is refused before it is read.
#[test]
fn long_length_refused() {
    let mut system = LimitedSystem::start();
    let head = head("POST", JOB_PATH, "Content-Length: 300000000");
    let mut stream = send(system.group.front(0), &[head.as_bytes()]).expect("it connects");
    stream.set_read_timeout(Some(CLIENT_TIMEOUT * 20)).expect("a time is set");
    let mut reply = [0; 12];
    stream.read_exact(&mut reply).expect("the reply comes without the body");
    assert_eq!(&reply, b"HTTP/1.1 413");
    system.expect_unharmed();
}
