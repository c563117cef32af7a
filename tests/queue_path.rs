//! Jobs and catalogs end to end: a control host, an agent and an entry in one
//! process, with a stub backend server and calls over loopback.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactuswing::roles::{RunningRole, start_agent, start_control, start_entry};
use kernel::{SharedClock, SystemClock};
use model::{read_agent_settings, read_control_settings, read_entry_settings};
use serde_json::{Value, json};
use standin::{CallReply, Caller};
use warp::Filter;

const JOB_ID: &str = "5c0e7a21d94b36f8";

/// When the runs of a stub backend server end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StubRuns {
    /// They are done at once.
    Done,
    /// They never end.
    Endless,
}

/// Starts a stub backend server. Returns its address and the bodies of all start requests.
fn start_stub_server(runs: StubRuns) -> (SocketAddr, Arc<Mutex<Vec<Value>>>) {
    let started: Arc<Mutex<Vec<Value>>> = Arc::default();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.set_nonblocking(true).expect("non-blocking mode");
    let address = listener.local_addr().expect("bound address");
    let starts = Arc::clone(&started);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime starts").block_on(async move {
            let hold_starts = Arc::clone(&starts);
            let start_route = warp::path!("cactuswing" / "run-start").and(warp::body::json()).map(
                move |body: Value| {
                    starts.lock().expect("lock is not poisoned").push(body);
                    warp::reply::json(&json!({ "clock_ms": 1_000 }))
                },
            );
            let hold_route = warp::path!("cactuswing" / "hold").and(warp::body::json()).then(
                move |body: Value| {
                    let starts = hold_starts.lock().expect("lock is not poisoned").clone();
                    async move {
                        let acked = body["acked_upto"].as_u64().unwrap_or(0) as usize;
                        if starts.len() <= acked || runs == StubRuns::Endless {
                            tokio::time::sleep(Duration::from_millis(20)).await;
                        }
                        if runs == StubRuns::Endless {
                            let rows = starts
                                .iter()
                                .map(|start| json!([start["task"], start["run"], "", 100]));
                            let running: Vec<Value> = rows.collect();
                            return warp::reply::json(
                                &json!({ "clock_ms": 1_000, "running": running, "ended": [] }),
                            );
                        }
                        let rows = starts.iter().enumerate().skip(acked).map(|(number, start)| {
                            json!([number + 1, start["task"], start["run"], "done", ""])
                        });
                        let ended: Vec<Value> = rows.collect();
                        warp::reply::json(
                            &json!({ "clock_ms": 1_000, "running": [], "ended": ended }),
                        )
                    }
                },
            );
            let listener =
                tokio::net::TcpListener::from_std(listener).expect("listener is non-blocking");
            warp::serve(warp::post().and(start_route.or(hold_route)))
                .incoming(listener)
                .run()
                .await;
        });
    });
    (address, started)
}

/// One control host, agent, entry and stub backend server.
pub(crate) struct QueueSystem {
    pub(crate) control: RunningRole,
    pub(crate) agent: RunningRole,
    pub(crate) entry: RunningRole,
    pub(crate) operators: SocketAddr,
    /// Bodies of the start requests that the backend server got.
    pub(crate) started: Arc<Mutex<Vec<Value>>>,
}

/// Ports of the control host. They are fixed, as each test has a loopback
/// address of its own.
pub(crate) const RPC_PORT: u16 = 7201;
const OPERATOR_PORT: u16 = 7202;

/// What differs between the control hosts of tests.
pub(crate) struct ControlSetup {
    pub(crate) data_folder: PathBuf,
    pub(crate) election_ms: u64,
}

/// A loopback address that differs between tests, by their number, and
/// between concurrent runs, by the process id.
fn unique_address(number: u8) -> IpAddr {
    let process_id = std::process::id();
    let (low, high) = ((process_id % 250) as u8, (process_id / 250 % 250) as u8);
    IpAddr::from([127, low + 1, high, number])
}

impl QueueSystem {
    /// Starts the system; `name` is of its data folder, `number` of its loopback
    /// address.
    fn start(name: &str, number: u8) -> QueueSystem {
        QueueSystem::start_with(name, number, StubRuns::Done, 5_000)
    }

    /// Starts the system with a backend server of this kind, and an entry that drains for at
    /// most `drain_limit_ms`.
    pub(crate) fn start_with(
        name: &str,
        number: u8,
        runs: StubRuns,
        drain_limit_ms: u64,
    ) -> QueueSystem {
        let data_folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let control = ControlSetup { data_folder, election_ms: 100 };
        QueueSystem::start_control(control, number, runs, drain_limit_ms)
    }

    /// Starts the system with a control host that is set up like this.
    pub(crate) fn start_control(
        control: ControlSetup,
        number: u8,
        runs: StubRuns,
        drain_limit_ms: u64,
    ) -> QueueSystem {
        let clock: SharedClock = Arc::new(SystemClock);
        let host = unique_address(number);
        let (rpc, operators) = (RPC_PORT, SocketAddr::new(host, OPERATOR_PORT));
        let seeds = json!([operators]);
        let control = json!({
            "name": "control-1", "domain": "north", "listen": SocketAddr::new(host, rpc),
            "data_folder": control.data_folder, "seeds": seeds, "seed_port": rpc,
            "operators": operators, "election_ms": control.election_ms
        });
        let control = read_control_settings(&control.to_string()).expect("valid settings");
        let control = start_control(&control, &clock).expect("control starts");
        let (server, started) = start_stub_server(runs);
        let agent = json!({
            "worker": "agent-1", "domain": "north", "rack": "r1", "listen": "127.0.0.1:0",
            "announce_listen": "127.0.0.1:0", "controls": seeds, "control_port": rpc,
            "server": { "address": server, "lease_ms": 1000 }, "cores": 1, "memory_mb": 1
        });
        let agent = read_agent_settings(&agent.to_string()).expect("valid settings");
        let agent = start_agent(&agent, &clock).expect("the agent starts");
        let entry = json!({
            "name": "entry-1", "domain": "north", "listen": "127.0.0.1:0", "controls": seeds,
            "control_port": rpc, "drain_limit_ms": drain_limit_ms,
            "front": { "listen": "127.0.0.1:0", "ready": "127.0.0.1:0", "linger_ms": 1 }
        });
        let entry = read_entry_settings(&entry.to_string()).expect("valid settings");
        let entry = start_entry(&entry, &clock).expect("the entry starts");
        QueueSystem { control, agent, entry, operators, started }
    }

    /// Repeats a call until it returns this status; panics after 400 attempts,
    /// which are at least 10 s.
    pub(crate) async fn retry_until(
        &self,
        status: u16,
        call: impl AsyncFn() -> Option<CallReply>,
    ) -> CallReply {
        for _ in 0..400 {
            match call().await {
                Some(reply) if reply.status == status => return reply,
                _ => tokio::time::sleep(Duration::from_millis(25)).await,
            }
        }
        panic!("no reply with status {status} after 400 attempts");
    }

    /// Sends a PUT request to the operator interface of the control host.
    pub(crate) async fn put(&self, path: &str, body: &Value) -> Option<CallReply> {
        Caller::new().call("PUT", self.operators, path, &[], body.to_string()).await.ok()
    }

    /// Sends a heartbeat of the stub backend server to the agent.
    pub(crate) async fn send_heartbeat(&self) -> Option<CallReply> {
        self.send_heartbeat_with("sequence", json!(1)).await
    }

    /// Sends a heartbeat of the stub backend server with this value of one field.
    async fn send_heartbeat_with(&self, field: &str, value: Value) -> Option<CallReply> {
        let mut heartbeat = json!({
            "service": "s", "address": "127.0.0.1:1", "zone": "north", "state": "ready",
            "capacity": { "cpu": 4000, "mem_mb": 1000, "gpu": 0 }, "labels": ["a", "r1"],
            "clock_ms": 1000, "sequence": 1, "born": 1
        });
        heartbeat[field] = value;
        let (agent, path) = (self.agent.address, "/cactuswing/instances/i-1");
        Caller::new().call("PUT", agent, path, &[], heartbeat.to_string()).await.ok()
    }

    /// Calls the job interface of the entry, without a body if it is null.
    async fn call_job(&self, method: &str, path: &str, body: &Value) -> Option<CallReply> {
        let headers = [("host", "a.example"), ("cactuswing-deadline-ms", "4000")];
        let text = if body.is_null() { String::new() } else { body.to_string() };
        Caller::new().call(method, self.entry.address, path, &headers, text).await.ok()
    }

    pub(crate) fn stop(self) {
        self.entry.stop();
        self.agent.stop();
        self.control.stop();
    }
}

pub(crate) fn config_body(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{ "name": "r", "host": "a.example", "path_prefix": "/x/", "timeout_ms": 5000,
                     "goal_ms": 60, "priority": 0, "service": "s", "max_attempts": 3,
                     "stretch": 1.6 }],
        "services": [{ "name": "s", "enforce_capacity": true }]
    })
}

fn one_step() -> Value {
    json!([{ "count": 3, "cpu": 100, "mem_mb": 1, "estimate_ms": 100 }])
}

#[tokio::test]
async fn jobs_run_and_end() {
    let system = QueueSystem::start("queue-jobs", 1);
    system.retry_until(200, async || system.send_heartbeat().await).await;
    system.retry_until(200, async || system.put("/cactuswing/config", &config_body(4)).await).await;

    let best_effort = json!({ "spec": "a", "steps": one_step(), "best_effort": true });
    let path = format!("/x/{JOB_ID}");
    let completed =
        system.retry_until(200, async || system.call_job("POST", &path, &best_effort).await).await;
    assert_eq!(completed.body, r#"{"state":"completed"}"#);

    let stored = json!({ "spec": "b", "steps": one_step() });
    let path = "/x/00000000000000aa";
    system.retry_until(200, async || system.call_job("POST", path, &stored).await).await;
    for _ in 0..200 {
        let state = system
            .retry_until(200, async || system.call_job("GET", path, &Value::Null).await)
            .await;
        if state.body == r#"{"state":"completed"}"# {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let again =
        system.retry_until(200, async || system.call_job("POST", path, &stored).await).await;
    assert_eq!(again.status, 200);
    let starts = system.started.lock().expect("lock is not poisoned").clone();
    let stored = starts.iter().filter(|start| start["spec"] == "b").count();
    assert_eq!(stored, 3, "{starts:?}");
    system.stop();
}

#[tokio::test]
async fn invalid_calls_rejected() {
    let system = QueueSystem::start("queue-wrong", 2);
    // The entry has no configuration yet.
    system.retry_until(503, async || system.call_job("GET", "/x/", &Value::Null).await).await;
    let mut invalid = config_body(5);
    invalid["routes"][0]["service"] = json!("t");
    system.retry_until(400, async || system.put("/cactuswing/config", &invalid).await).await;
    system.retry_until(200, async || system.put("/cactuswing/config", &config_body(4)).await).await;
    let waiting =
        system.retry_until(200, async || system.call_job("GET", "/x/", &Value::Null).await).await;
    assert_eq!(waiting.body, r#"{"waiting":0}"#);
    for (status, method, path) in [
        (404, "GET", "/y/"),
        (410, "GET", "/x/00000000000000bb"),
        (410, "DELETE", "/x/00000000000000bb"),
        (400, "GET", "/x/short"),
        (400, "POST", "/x/00000000000000bb"),
        (405, "PUT", "/x/00000000000000bb"),
    ] {
        let reply = system
            .call_job(method, path, &json!({ "steps": 7 }))
            .await
            .expect("the call gets a reply");
        assert_eq!(reply.status, status, "{method} {path}");
    }
    system.stop();
}

/// The body of a reply with status 400.
fn refusal_text(reply: Option<CallReply>) -> String {
    let reply = reply.expect("the call gets a reply");
    assert_eq!(reply.status, 400, "{reply:?}");
    reply.body
}

// Odd numbers over HTTP: each caller is told the field, and the system goes on.
#[tokio::test]
async fn odd_calls_refused() {
    let system = QueueSystem::start("queue-odd", 4);
    let mut odd_config = config_body(3);
    odd_config["routes"][0]["stretch"] = json!(-1);
    let reply =
        system.retry_until(400, async || system.put("/cactuswing/config", &odd_config).await);
    assert!(refusal_text(Some(reply.await)).contains("stretch"));
    system.retry_until(200, async || system.put("/cactuswing/config", &config_body(4)).await).await;
    system.retry_until(200, async || system.send_heartbeat().await).await;
    for (field, value) in [
        ("sequence", json!(u64::MAX)),
        ("born", json!(u64::MAX)),
        ("born", json!(1_u64 << 52)),
        ("capacity", json!({ "cpu": u64::MAX })),
        ("address", json!("127.0.0.1:65536")),
    ] {
        let reply = system.send_heartbeat_with(field, value).await;
        assert!(refusal_text(reply).contains(field), "{field}");
    }
    let mut odd_job = json!({ "steps": one_step(), "best_effort": true });
    odd_job["steps"][0]["estimate_ms"] = json!(u64::MAX);
    let path = format!("/x/{JOB_ID}");
    system.retry_until(404, async || system.call_job("GET", "/y/", &Value::Null).await).await;
    let reply = system.call_job("POST", &path, &odd_job).await;
    assert!(refusal_text(reply).contains("estimate_ms"));
    let job = json!({ "steps": one_step(), "best_effort": true });
    system.retry_until(200, async || system.call_job("POST", &path, &job).await).await;
    system.stop();
}

#[tokio::test]
async fn older_config_ignored() {
    let system = QueueSystem::start("queue-configs", 3);
    system.retry_until(200, async || system.put("/cactuswing/config", &config_body(9)).await).await;
    system.retry_until(200, async || system.put("/cactuswing/config", &config_body(4)).await).await;
    let (caller, path) = (Caller::new(), "/cactuswing/config");
    let read = caller.get(system.operators, path).await.expect("the call gets a reply");
    let read: Value = serde_json::from_str(&read.body).expect("valid JSON");
    assert_eq!(read, config_body(9));
    system.stop();
}
