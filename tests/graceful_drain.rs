//! Graceful shutdown: work in progress completes, and new work is refused. A process
//! that exits at once breaks off its tasks, and their callers don't know the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswing::roles::DrainEnd;
use model::{ErrorKind, Ran};
use serde_json::json;
use standin::{CallReply, Caller};

use crate::queue_path::{QueueSystem, StubRuns, config_body};
use crate::support::{post_request, read_problem, small_cluster, task_body};

#[test]
fn entry_finishes_work() {
    let mut cluster = small_cluster();
    let entry = cluster.entries.remove(0);
    let address = entry.address;
    let running = cluster.host.handle().spawn(post_request(
        address,
        "order",
        Some("o-1"),
        task_body(300.0, "a"),
    ));
    cluster.host.block_on(async {
        while cluster.records.all().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    entry.begin_drain();
    let ready = cluster
        .host
        .block_on(Caller::new().get(address, "/readyz"))
        .expect("the call gets a reply");
    assert_eq!(ready.status, 503);
    let refused = cluster.host.block_on(post_request(address, "stock", None, task_body(1.0, "b")));
    let refused = read_problem(&refused);
    assert_eq!((refused.kind, refused.ran), (ErrorKind::ShuttingDown, Ran::No));
    assert_eq!(entry.drain(), DrainEnd::Idle);
    let finished = cluster.host.block_on(running).expect("request task panicked");
    assert_eq!(finished.status, 200);
    cluster.stop();
}

#[test]
fn agent_finishes_work() {
    let mut cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let running =
        cluster.host.handle().spawn(post_request(entry, "stock", None, task_body(300.0, "a")));
    cluster.host.block_on(async {
        while cluster.records.all().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    let agent = cluster.workers[0].agent.take().expect("the agent is running");
    let drained = cluster.host.handle().spawn_blocking(move || agent.drain());
    assert_eq!(cluster.host.block_on(drained).expect("the drain ends"), DrainEnd::Idle);
    let finished = cluster.host.block_on(running).expect("request task panicked");
    assert_eq!(finished.status, 200, "{}", finished.body);
    cluster.stop();
}

/// An entry that drains for a shorter time than its callers wait.
const SHORT_DRAIN_MS: u64 = 1_500;

/// Time in which a request arrives that leaves no trace elsewhere.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// How an entry stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryStop {
    Drain,
    /// Without a drain, as after a second signal.
    AtOnce,
}

/// Submits a job to an entry, with a caller that waits for 4 s.
async fn submit(entry: SocketAddr, best_effort: bool) -> Result<CallReply, String> {
    // An objective beyond the caller's wait, so that the job isn't refused before.
    let steps = json!([{ "count": 3, "cpu": 100, "mem_mb": 1, "estimate_ms": 1_500 }]);
    let job = json!({ "spec": "a", "steps": steps, "best_effort": best_effort });
    let headers = [("host", "a.example"), ("cactuswing-deadline-ms", "4000")];
    let (caller, path) = (Caller::new(), "/x/5c0e7a21d94b36f8");
    let sent = caller.call("POST", entry, path, &headers, job.to_string()).await;
    sent.map_err(|error| format!("{error:?}"))
}

/// Starts a system with a configuration; without a heartbeat no backend server is known.
async fn start_system(name: &str, number: u8, has_server: bool) -> QueueSystem {
    let system = QueueSystem::start_with(name, number, StubRuns::Endless, SHORT_DRAIN_MS);
    if has_server {
        system.retry_until(200, async || system.send_heartbeat().await).await;
    }
    system.retry_until(200, async || system.put("/cactuswing/config", &config_body(4)).await).await;
    let (entry, headers) = (system.entry.address, [("host", "a.example")]);
    let get = async || Caller::new().call("GET", entry, "/x/", &headers, String::new()).await.ok();
    system.retry_until(200, get).await;
    system
}

type SentRequest = tokio::task::JoinHandle<Result<CallReply, String>>;

/// Submits a best-effort job until a task of it has started: an agent that has just started
/// grants no claims.
async fn submit_started(system: &QueueSystem) -> SentRequest {
    for _ in 0..20 {
        let request = tokio::spawn(submit(system.entry.address, true));
        while !request.is_finished() {
            if !system.started.lock().expect("lock is not poisoned").is_empty() {
                return request;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    panic!("no task has started");
}

/// Stops the entry while a request waits there; returns its reply.
async fn stop_entry(system: QueueSystem, stop: EntryStop, request: SentRequest) -> CallReply {
    let QueueSystem { control, agent, entry, .. } = system;
    let stopped = tokio::task::spawn_blocking(move || match stop {
        EntryStop::Drain => _ = entry.drain(),
        EntryStop::AtOnce => entry.stop(),
    });
    let reply = request.await.expect("the request ends");
    stopped.await.expect("the entry stops");
    agent.stop();
    control.stop();
    reply.expect("a request that was read gets an answer")
}

// Guards against a drain that ends the connections of requests which wait for capacity.
#[tokio::test(flavor = "multi_thread")]
async fn drain_answers_waiting() {
    let system = start_system("drain-waiting", 11, false).await;
    let request = tokio::spawn(submit(system.entry.address, true));
    tokio::time::sleep(ARRIVAL_TIME).await;
    let reply = stop_entry(system, EntryStop::Drain, request).await;
    assert_eq!(reply.status, 503, "nothing was started: {reply:?}");
}

// Guards against a drain that ends the connections of requests whose tasks run.
#[tokio::test(flavor = "multi_thread")]
async fn drain_answers_started() {
    let system = start_system("drain-started", 12, true).await;
    let request = submit_started(&system).await;
    let reply = stop_entry(system, EntryStop::Drain, request).await;
    assert_eq!(reply.status, 504, "tasks have started: {reply:?}");
}

// Guards against a drain that ends the connections of calls which wait for control.
#[tokio::test(flavor = "multi_thread")]
async fn drain_answers_calls() {
    let system = start_system("drain-calls", 13, false).await;
    let QueueSystem { control, agent, entry, operators, started } = system;
    tokio::task::spawn_blocking(move || control.stop()).await.expect("control stops");
    let request = tokio::spawn(submit(entry.address, false));
    tokio::time::sleep(ARRIVAL_TIME).await;
    let drained = tokio::task::spawn_blocking(move || entry.drain());
    let reply = request.await.expect("the request ends").expect("the call is answered");
    assert!(matches!(reply.status, 503 | 504), "{reply:?}");
    drained.await.expect("the entry stops");
    agent.stop();
    drop((operators, started));
}

// The same for a request that comes once the drain has begun.
#[tokio::test(flavor = "multi_thread")]
async fn late_request_answered() {
    let system = start_system("drain-late", 14, false).await;
    system.entry.begin_drain();
    let request = tokio::spawn(submit(system.entry.address, true));
    let reply = stop_entry(system, EntryStop::Drain, request).await;
    assert_eq!(reply.status, 503, "nothing was started: {reply:?}");
}

// Guards against connections that end without an answer when a drain is cut short.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_open() {
    let system = start_system("stop-open", 15, true).await;
    let request = submit_started(&system).await;
    let reply = stop_entry(system, EntryStop::AtOnce, request).await;
    assert_eq!(reply.status, 504, "{reply:?}");
}

// The same for the product's own interface.
#[test]
fn stop_answers_tasks() {
    let mut cluster = small_cluster();
    let entry = cluster.entries.remove(0);
    let address = entry.address;
    let request = post_request(address, "order", Some("o-1"), task_body(2_000.0, "a"));
    let request = cluster.host.handle().spawn(request);
    cluster.host.block_on(async {
        while cluster.records.all().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    entry.stop();
    let reply = cluster.host.block_on(request).expect("a request that was read gets an answer");
    let problem = read_problem(&reply);
    assert_eq!((problem.kind, problem.ran), (ErrorKind::OutcomeUnknown, Ran::Unknown));
    cluster.stop();
}
