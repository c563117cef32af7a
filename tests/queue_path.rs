//! The way of a job from its caller to a backend server and back, and of a
//! catalog, with all roles over loopback.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactuswing::roles::{RunningRole, start_agent, start_control, start_entry};
use kernel::{SharedClock, SystemClock};
use model::{read_agent_settings, read_control_settings, read_entry_settings};
use serde_json::{Value, json};
use standin::{CallReply, Caller};
use warp::Filter;

const ID: &str = "5c0e7a21d94b36f8";

/// A backend server that ends every run at once; gives what was started.
fn serve_backend() -> (SocketAddr, Arc<Mutex<Vec<Value>>>) {
    let started: Arc<Mutex<Vec<Value>>> = Arc::default();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("it can be");
    let address = listener.local_addr().expect("it has one");
    let starts = Arc::clone(&started);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let holds = Arc::clone(&starts);
            let start = warp::path!("cactuswing" / "run-start").and(warp::body::json()).map(
                move |body: Value| {
                    starts.lock().expect("no test panics with it").push(body);
                    warp::reply::json(&json!({ "clock_ms": 1_000 }))
                },
            );
            let hold = warp::path!("cactuswing" / "hold").and(warp::body::json()).then(
                move |body: Value| {
                    let starts = holds.lock().expect("no test panics with it").clone();
                    async move {
                        let acked = body["acked_upto"].as_u64().unwrap_or(0) as usize;
                        if starts.len() <= acked {
                            tokio::time::sleep(Duration::from_millis(20)).await;
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
            let listener = tokio::net::TcpListener::from_std(listener).expect("non-blocking");
            warp::serve(warp::post().and(start.or(hold))).incoming(listener).run().await;
        });
    });
    (address, started)
}

struct QueueSystem {
    control: RunningRole,
    agent: RunningRole,
    entry: RunningRole,
    operators: SocketAddr,
    started: Arc<Mutex<Vec<Value>>>,
}

/// Ports of a control host; each test has a loopback address of its own.
const RPC_PORT: u16 = 7201;
const OPERATORS_PORT: u16 = 7202;

/// A loopback address that no other test, and no other run, uses.
fn own_address(number: u8) -> IpAddr {
    let process = std::process::id();
    let (low, high) = ((process % 250) as u8, (process / 250 % 250) as u8);
    IpAddr::from([127, low + 1, high, number])
}

impl QueueSystem {
    fn start(name: &str, number: u8) -> QueueSystem {
        let clock: SharedClock = Arc::new(SystemClock);
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let host = own_address(number);
        let (rpc, operators) = (RPC_PORT, SocketAddr::new(host, OPERATORS_PORT));
        let seeds = json!([operators]);
        let control = json!({
            "name": "control-1", "domain": "north", "listen": SocketAddr::new(host, rpc),
            "data_folder": folder, "seeds": seeds, "seed_port": rpc,
            "operators": operators, "election_ms": 100
        });
        let control = read_control_settings(&control.to_string()).expect("right settings");
        let control = start_control(&control, &clock).expect("control starts");
        let (server, started) = serve_backend();
        let agent = json!({
            "worker": "agent-1", "domain": "north", "rack": "r1", "listen": "127.0.0.1:0",
            "announce_listen": "127.0.0.1:0", "controls": seeds, "control_port": rpc,
            "server": { "address": server, "lease_ms": 1000 }, "cores": 1, "memory_mb": 1
        });
        let agent = read_agent_settings(&agent.to_string()).expect("right settings");
        let agent = start_agent(&agent, &clock).expect("the agent starts");
        let entry = json!({
            "name": "entry-1", "domain": "north", "listen": "127.0.0.1:0", "controls": seeds,
            "control_port": rpc, "drain_limit_ms": 5000,
            "front": { "listen": "127.0.0.1:0", "ready": "127.0.0.1:0", "linger_ms": 1 }
        });
        let entry = read_entry_settings(&entry.to_string()).expect("right settings");
        let entry = start_entry(&entry, &clock).expect("the entry starts");
        QueueSystem { control, agent, entry, operators, started }
    }

    /// Makes a call again until its status is the wanted one.
    async fn until(&self, status: u16, call: impl AsyncFn() -> Option<CallReply>) -> CallReply {
        for _ in 0..400 {
            match call().await {
                Some(reply) if reply.status == status => return reply,
                _ => tokio::time::sleep(Duration::from_millis(25)).await,
            }
        }
        panic!("status {status} never came");
    }

    async fn put(&self, path: &str, body: &Value) -> Option<CallReply> {
        Caller::new().call("PUT", self.operators, path, &[], body.to_string()).await.ok()
    }

    async fn beat(&self) -> Option<CallReply> {
        let beat = json!({
            "service": "s", "address": "127.0.0.1:1", "zone": "north", "state": "ready",
            "capacity": { "cpu": 4000, "mem_mb": 1000, "gpu": 0 }, "labels": ["a", "r1"],
            "clock_ms": 1000, "sequence": 1, "born": 1
        });
        let (agent, path) = (self.agent.address, "/cactuswing/instances/i-1");
        Caller::new().call("PUT", agent, path, &[], beat.to_string()).await.ok()
    }

    async fn job(&self, method: &str, path: &str, body: &Value) -> Option<CallReply> {
        let headers = [("host", "a.example"), ("cactuswing-deadline-ms", "4000")];
        let text = if body.is_null() { String::new() } else { body.to_string() };
        Caller::new().call(method, self.entry.address, path, &headers, text).await.ok()
    }

    fn stop(self) {
        self.entry.stop();
        self.agent.stop();
        self.control.stop();
    }
}

fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{ "name": "r", "host": "a.example", "path_prefix": "/x/", "timeout_ms": 5000,
                     "goal_ms": 60, "priority": 0, "service": "s", "max_attempts": 3,
                     "stretch": 1.6 }],
        "services": [{ "name": "s", "enforce_capacity": true }]
    })
}

fn steps() -> Value {
    json!([{ "count": 3, "cpu": 100, "mem_mb": 1, "estimate_ms": 100 }])
}

#[tokio::test]
async fn jobs_run_and_end() {
    let system = QueueSystem::start("queue-jobs", 1);
    system.until(200, async || system.beat().await).await;
    system.until(200, async || system.put("/cactuswing/config", &config(4)).await).await;

    let unstored = json!({ "spec": "a", "steps": steps(), "best_effort": true });
    let path = format!("/x/{ID}");
    let done = system.until(200, async || system.job("POST", &path, &unstored).await).await;
    assert_eq!(done.body, r#"{"state":"completed"}"#);

    let stored = json!({ "spec": "b", "steps": steps() });
    let path = "/x/00000000000000aa";
    system.until(200, async || system.job("POST", path, &stored).await).await;
    for _ in 0..200 {
        let state = system.until(200, async || system.job("GET", path, &Value::Null).await).await;
        if state.body == r#"{"state":"completed"}"# {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let again = system.until(200, async || system.job("POST", path, &stored).await).await;
    assert_eq!(again.status, 200);
    let starts = system.started.lock().expect("no test panics with it").clone();
    let stored = starts.iter().filter(|start| start["spec"] == "b").count();
    assert_eq!(stored, 3, "{starts:?}");
    system.stop();
}

#[tokio::test]
async fn wrong_calls_told() {
    let system = QueueSystem::start("queue-wrong", 2);
    system.until(503, async || system.job("GET", "/x/", &Value::Null).await).await;
    let mut invalid = config(5);
    invalid["routes"][0]["service"] = json!("t");
    system.until(400, async || system.put("/cactuswing/config", &invalid).await).await;
    system.until(200, async || system.put("/cactuswing/config", &config(4)).await).await;
    let waiting = system.until(200, async || system.job("GET", "/x/", &Value::Null).await).await;
    assert_eq!(waiting.body, r#"{"waiting":0}"#);
    for (status, method, path) in [
        (404, "GET", "/y/"),
        (410, "GET", "/x/00000000000000bb"),
        (410, "DELETE", "/x/00000000000000bb"),
        (400, "GET", "/x/short"),
        (400, "POST", "/x/00000000000000bb"),
        (405, "PUT", "/x/00000000000000bb"),
    ] {
        let reply = system.job(method, path, &json!({ "steps": 7 })).await.expect("an answer");
        assert_eq!(reply.status, status, "{method} {path}");
    }
    system.stop();
}

#[tokio::test]
async fn older_config_changes_nothing() {
    let system = QueueSystem::start("queue-configs", 3);
    system.until(200, async || system.put("/cactuswing/config", &config(9)).await).await;
    system.until(200, async || system.put("/cactuswing/config", &config(4)).await).await;
    let (caller, path) = (Caller::new(), "/cactuswing/config");
    let read = caller.get(system.operators, path).await.expect("an answer");
    let read: Value = serde_json::from_str(&read.body).expect("it is JSON");
    assert_eq!(read, config(9));
    system.stop();
}
