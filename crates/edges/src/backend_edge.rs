//! The edge towards the backend servers beside an agent: their announcements,
//! and the calls that run tasks there.
//!
//! Invariants:
//! - a run is reported exactly once, through room reserved for it;
//! - "never sent" is said only when no connection to the backend server came
//!   about.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kernel::{Registry, Reservation, RingReceiver, RingSender, SharedClock, StopSignal};
use model::{
    BackendMessage, Payload, ProcessCounters, RunEnd, ServiceId, ServiceName, StartMessage,
    TaskKey, TaskOutcome,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::announce_routes::announce_routes;
use crate::edge_runtime::block_on;

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Largest answer of a backend server, in bytes.
const MOST_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// How long an idle connection to a backend server is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

type BackendClient = Client<HttpConnector, Full<Bytes>>;

/// What the backend servers' edge is given.
#[derive(Clone)]
pub struct BackendEdge {
    /// The clock.
    pub clock: SharedClock,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Raised while the process drains.
    pub stop: StopSignal,
    /// The platform's means to stop what runs.
    pub platform: std::sync::Arc<dyn Platform>,
}

/// What the platform offers for a running task. A trait, since it is met at
/// the edge of the process through a published protocol.
pub trait Platform: Send + Sync {
    /// Asks the platform to stop a task; the run's own end still tells what
    /// came of it.
    fn stop(&self, key: &TaskKey);
}

/// A platform that offers nothing: a run that is stopped loses its connection.
#[derive(Debug, Default)]
pub struct BarePlatform;

impl Platform for BarePlatform {
    fn stop(&self, _key: &TaskKey) {}
}

struct RunOrder {
    address: SocketAddr,
    service: ServiceId,
    key: TaskKey,
    left: Duration,
    payload: Payload,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the start service is not registered, or the listener is not usable.
pub fn run(
    ring: &RingReceiver<BackendMessage>,
    registry: &Registry<ServiceName>,
    edge: BackendEdge,
    listener: std::net::TcpListener,
) {
    let starts: RingSender<StartMessage> =
        registry.find(ServiceName::TaskStarts).expect("task starts is registered");
    block_on(async move {
        let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
        let (stop, stopped) = oneshot::channel::<()>();
        let routes = announce_routes(starts, edge.clone());
        let server = warp::serve(routes).incoming(listener).graceful(async move {
            let _closed = stopped.await;
        });
        tokio::task::spawn_local(server.run());
        serve_runs(ring, &edge).await;
        drop(stop);
    });
}

async fn serve_runs(ring: &RingReceiver<BackendMessage>, edge: &BackendEdge) {
    let client = new_client();
    let mut running: HashMap<TaskKey, oneshot::Sender<()>> = HashMap::new();
    let (ended, mut ends) = mpsc::channel::<TaskKey>(1_024);
    loop {
        tokio::select! {
            message = ring.next() => match message {
                Some(BackendMessage::Run { address, service, key, left, payload, done }) => {
                    let (stop, stopped) = oneshot::channel();
                    running.insert(key.clone(), stop);
                    let order = RunOrder { address, service, key: key.clone(), left, payload };
                    let run = run_one(client.clone(), edge.clock.clone(), order, stopped, done);
                    let ended = ended.clone();
                    tokio::task::spawn_local(async move {
                        run.await;
                        // The receiver lives as long as this edge.
                        let _closed = ended.send(key).await;
                    });
                }
                Some(BackendMessage::Stop { key }) => {
                    edge.platform.stop(&key);
                    running.remove(&key);
                }
                None => return,
            },
            Some(key) = ends.recv() => {
                running.remove(&key);
            }
        }
    }
}

fn new_client() -> BackendClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_LIMIT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_idle_timeout(IDLE_LIMIT).build(connector)
}

/// Runs one task and reports its end.
async fn run_one(
    client: BackendClient,
    clock: SharedClock,
    order: RunOrder,
    stopped: oneshot::Receiver<()>,
    done: Reservation<StartMessage>,
) {
    let RunOrder { address, key, left, .. } = &order;
    let (address, key, left) = (*address, key.clone(), *left);
    let end = tokio::select! {
        end = call(&client, &clock, order) => end,
        _stop = stopped => unknown("stopped while it ran"),
        () = tokio::time::sleep(left) => unknown("the deadline passed while it ran"),
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
        Err(_) => return unknown("the backend server broke the connection off"),
    };
    let status = response.status();
    let Some(body) = whole_body(response).await else {
        return unknown("the backend server's answer broke off");
    };
    let run_us = clock.now().saturating_duration_since(started).as_micros() as u64;
    RunEnd::Outcome(read_outcome(status, &body, run_us))
}

fn build_request(order: &RunOrder) -> Option<Request<Full<Bytes>>> {
    let uri = format!("http://{}/run/{}", order.address, order.service);
    let body = Full::new(Bytes::from(order.payload.text().to_owned()));
    Request::post(uri)
        .header("content-type", "application/json")
        .header("idempotency-key", order.key.to_string())
        .header("cactuswing-deadline-ms", order.left.as_millis().to_string())
        .body(body)
        .ok()
}

/// The whole body, or nothing: an answer that is cut short is no answer.
async fn whole_body(response: Response<hyper::body::Incoming>) -> Option<Bytes> {
    let body = Limited::new(response.into_body(), MOST_ANSWER_BYTES);
    body.collect().await.ok().map(|collected| collected.to_bytes())
}

fn read_outcome(status: StatusCode, body: &Bytes, run_us: u64) -> TaskOutcome {
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

fn unknown(reason: &str) -> RunEnd {
    RunEnd::Outcome(TaskOutcome::Unknown { reason: reason.into() })
}
