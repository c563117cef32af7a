//! The edge between an agent and the backend servers on its host: serves their
//! announcements, and calls them to run tasks.
//!
//! Invariants:
//! - the end of a run is reported exactly once, through its reserved slot;
//! - `NeverSent` is reported only when the request was not built or no
//!   connection to the backend server was established.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use decisions::connections::ListenerKind;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kernel::{Registry, Reservation, RingReceiver, RingSender, SharedClock, StopSignal};
use model::{
    BackendMessage, EventLog, Payload, ProcessCounters, ProcessLimits, RunEnd, ServiceId,
    ServiceName, StartMessage, TaskKey, TaskOutcome,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::announce_routes::{announce_routes, body_limit, refuse_body};
use crate::edge_runtime::{block_on, spawn_lasting};
use crate::http_listener::{HttpServer, ListenerSettings};
use crate::warp_routes::warp_handler;

/// How long opening a connection to a backend server may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a backend server's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// How long an idle connection to a backend server is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

type BackendClient = Client<HttpConnector, Full<Bytes>>;

/// Configuration of the backend servers' edge.
#[derive(Clone)]
pub struct BackendEdge {
    /// Clock that measures how long tasks run.
    pub clock: SharedClock,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Raised while the process drains; `/readyz` then fails.
    pub stop: StopSignal,
    /// Limits of the process.
    pub limits: ProcessLimits,
    /// Stops running tasks at the platform.
    pub stopper: std::sync::Arc<dyn TaskStopper>,
}

/// Stops running tasks at the platform. A trait, since the platform is outside
/// the process and reached through a published protocol.
pub trait TaskStopper: Send + Sync {
    /// Requests that the platform stops a task; the outcome is still reported by
    /// the end of the run.
    fn stop(&self, key: &TaskKey);
}

/// A platform that can't stop tasks: stopping a run only closes its connection.
#[derive(Debug, Default)]
pub struct NoopStopper;

impl TaskStopper for NoopStopper {
    fn stop(&self, _key: &TaskKey) {}
}

/// A task to run on a backend server; `remaining` is the time until its deadline.
struct RunOrder {
    address: SocketAddr,
    service: ServiceId,
    key: TaskKey,
    remaining: Duration,
    payload: Payload,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the start service or the log writer is not registered, or the listener is not usable.
pub fn run(
    ring: &RingReceiver<BackendMessage>,
    registry: &Registry<ServiceName>,
    edge: BackendEdge,
    listener: std::net::TcpListener,
) {
    let starts: RingSender<StartMessage> =
        registry.find(ServiceName::TaskStarts).expect("task starts is registered");
    let log = registry.find(ServiceName::LogWriter).expect("the log writer is registered");
    let server = HttpServer::new(ListenerSettings {
        name: "announcements",
        clock: edge.clock.clone(),
        log: EventLog::new(log, edge.clock.clone(), edge.counters.clone()),
        counters: edge.counters.clone(),
        kind: ListenerKind::Inner,
        process: edge.limits,
    });
    block_on(async move {
        let (stop, stopped) = watch::channel(false);
        let handler = warp_handler(announce_routes(starts, edge.clone()), body_limit, refuse_body);
        spawn_lasting(server.serve(listener, handler, stopped));
        serve_runs(ring, &edge).await;
        drop(stop);
    });
}

async fn serve_runs(ring: &RingReceiver<BackendMessage>, edge: &BackendEdge) {
    let client = new_client();
    let mut running: HashMap<TaskKey, oneshot::Sender<()>> = HashMap::new();
    let (ended_sender, mut ended_keys) = mpsc::channel::<TaskKey>(1_024);
    loop {
        tokio::select! {
            message = ring.next() => match message {
                Some(BackendMessage::Run { address, service, key, remaining, payload, done }) => {
                    let (stop, stopped) = oneshot::channel();
                    running.insert(key.clone(), stop);
                    let order = RunOrder { address, service, key: key.clone(), remaining, payload };
                    let run = run_task(client.clone(), edge.clock.clone(), order, stopped, done);
                    let ended_sender = ended_sender.clone();
                    tokio::task::spawn_local(async move {
                        run.await;
                        // Fails only when this edge stops, which drops the receiver.
                        let _closed = ended_sender.send(key).await;
                    });
                }
                Some(BackendMessage::Stop { key }) => {
                    edge.stopper.stop(&key);
                    running.remove(&key);
                }
                None => return,
            },
            Some(key) = ended_keys.recv() => {
                running.remove(&key);
            }
        }
    }
}

fn new_client() -> BackendClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_idle_timeout(IDLE_TIMEOUT).build(connector)
}

/// Runs one task until it ends, is stopped or reaches its deadline, and reports
/// the end.
async fn run_task(
    client: BackendClient,
    clock: SharedClock,
    order: RunOrder,
    stopped: oneshot::Receiver<()>,
    done: Reservation<StartMessage>,
) {
    let RunOrder { address, key, remaining, .. } = &order;
    let (address, key, remaining) = (*address, key.clone(), *remaining);
    let end = tokio::select! {
        end = call(&client, &clock, order) => end,
        _stop = stopped => unknown_outcome("stopped while it ran"),
        () = tokio::time::sleep(remaining) => unknown_outcome("the deadline passed while it ran"),
    };
    done.push(StartMessage::RunEnded { key, address, end });
}

async fn call(client: &BackendClient, clock: &SharedClock, order: RunOrder) -> RunEnd {
    let Some(request) = build_request(&order) else {
        return RunEnd::NeverSent { reason: "the request can't be built".into() };
    };
    let started = clock.now();
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return RunEnd::NeverSent { reason: "the backend server can't be reached".into() };
        }
        Err(_) => return unknown_outcome("the connection to the backend server failed"),
    };
    let status = response.status();
    let Some(body) = read_body(response).await else {
        return unknown_outcome("the backend server's answer is incomplete or too large");
    };
    let run_us = clock.now().saturating_duration_since(started).as_micros() as u64;
    RunEnd::Outcome(parse_outcome(status, &body, run_us))
}

fn build_request(order: &RunOrder) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{}/run/{}", order.address, order.service);
    let body = Full::new(Bytes::from(order.payload.text().to_owned()));
    Request::post(uri)
        .header("content-type", "application/json")
        .header("idempotency-key", order.key.to_string())
        .header("cactuswing-deadline-ms", order.remaining.as_millis().to_string())
        .body(body)
        .ok()
}

/// Reads the whole body; `None` when it is truncated or too large.
async fn read_body(response: Response<hyper::body::Incoming>) -> Option<Bytes> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    body.collect().await.ok().map(|collected| collected.to_bytes())
}

fn parse_outcome(status: StatusCode, body: &Bytes, run_us: u64) -> TaskOutcome {
    if !status.is_success() {
        let reason = compact_str::format_compact!("the backend server answered {status}");
        return TaskOutcome::Failed { reason, run_us };
    }
    let text = std::str::from_utf8(body).unwrap_or("");
    match Payload::parse(text) {
        Ok(answer) => TaskOutcome::Completed { answer, run_us },
        Err(_) => {
            let reason = "the backend server's answer is not JSON".into();
            TaskOutcome::Failed { reason, run_us }
        }
    }
}

/// The end of a run whose task may have completed.
fn unknown_outcome(reason: &str) -> RunEnd {
    RunEnd::Outcome(TaskOutcome::Unknown { reason: reason.into() })
}
