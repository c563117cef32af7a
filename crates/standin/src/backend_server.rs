//! A stand-in backend server: announces itself to an agent, runs tasks by
//! sleeping, and simulates faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use model::{Announcement, LeaveNotice, Payload, ServiceId};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::caller::Caller;
use crate::precise_sleep::precise_sleep;
use crate::start_records::StartRecords;

/// How often a backend server repeats its announcement.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Configuration of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct BackendShape {
    /// The worker it runs on.
    pub worker: String,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// Tasks that run at a time.
    pub slots: u32,
    /// Connections that it announces as its limit.
    pub connections: u32,
    /// Run time relative to what a task states; above 1 is slower.
    pub speed: f64,
}

/// How a stand-in backend server handles the tasks it receives.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Runs each task for its run time and answers.
    Normal,
    /// Fails each task immediately with HTTP status 500.
    FailAll,
    /// Runs tasks slower by this factor.
    Straggle(f64),
    /// Starts tasks and never answers.
    Hang,
    /// Starts tasks and closes the connection without an answer.
    Truncate,
}

/// The payload of a task, as a stand-in backend server reads it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct TaskInput {
    /// Run time on a backend server of speed 1.
    run_ms: f64,
    /// Returned in the answer, so that answers can be matched to their tasks.
    #[serde(default)]
    echo: String,
}

/// Makes the payload of a task that runs for `run_ms` milliseconds on a backend
/// server of speed 1 and returns `echo` in its answer.
pub fn task_payload(run_ms: f64, echo: &str) -> Payload {
    let input = TaskInput { run_ms, echo: echo.to_owned() };
    let text = serde_json::to_string(&input).unwrap_or_default();
    Payload::parse(&text).unwrap_or_else(|_| Payload::null())
}

/// State that the handle shares with the tasks that serve and announce.
struct BackendCore {
    shape: BackendShape,
    records: StartRecords,
    behaviour: Mutex<Behaviour>,
    /// Set once the agent is notified; stops the announcements.
    leaving: AtomicBool,
}

/// A running stand-in backend server. Dropping it closes its connections, so that
/// the tasks it runs get no answer.
pub struct BackendServer {
    core: Arc<BackendCore>,
    address: SocketAddr,
    agent: SocketAddr,
    caller: Caller,
    /// Dropped to stop serving.
    stop: Option<oneshot::Sender<()>>,
}

impl BackendServer {
    /// Starts a backend server and announces it to the agent at `agent`.
    ///
    /// # Errors
    /// When no port can be listened on.
    pub async fn start(
        shape: BackendShape,
        agent: SocketAddr,
        records: StartRecords,
    ) -> std::io::Result<BackendServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let behaviour = Mutex::new(Behaviour::Normal);
        let core =
            Arc::new(BackendCore { shape, records, behaviour, leaving: AtomicBool::new(false) });
        let (stop, stopped) = oneshot::channel();
        let caller = Caller::new();
        let announcing = announce_repeatedly(caller.clone(), Arc::clone(&core), agent, address);
        let serving = serve(listener, Arc::clone(&core));
        tokio::spawn(async move {
            tokio::select! {
                () = serving => {}
                () = announcing => {}
                _dropped = stopped => {}
            }
        });
        Ok(BackendServer { core, address, agent, caller, stop: Some(stop) })
    }

    /// Sets the behaviour for tasks received from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        *self.core.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// The name of the worker it runs on.
    pub fn worker(&self) -> &str {
        &self.core.shape.worker
    }

    /// The address at which it serves HTTP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Notifies the agent that it is leaving; running tasks continue.
    pub async fn leave(&mut self) {
        self.core.leaving.store(true, Ordering::Release);
        let notice = LeaveNotice { address: self.address };
        let body = serde_json::to_string(&notice).unwrap_or_default();
        let _reply = self.caller.post(self.agent, "/v1/leave", &[], body).await;
    }

    /// Ends it at once and closes its connections, as a crash does.
    pub fn kill(&mut self) {
        self.stop.take();
    }
}

async fn announce_repeatedly(
    caller: Caller,
    core: Arc<BackendCore>,
    agent: SocketAddr,
    address: SocketAddr,
) {
    let announcement = Announcement {
        service: core.shape.service.clone(),
        address,
        slots: core.shape.slots,
        connections: core.shape.connections,
    };
    let body = serde_json::to_string(&announcement).unwrap_or_default();
    while !core.leaving.load(Ordering::Acquire) {
        // A lost announcement is made up for by the next one.
        let _reply = caller.post(agent, "/v1/announce", &[], body.clone()).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
    // Never returns, since that would end the server: it still serves tasks.
    std::future::pending::<()>().await;
}

async fn serve(listener: TcpListener, core: Arc<BackendCore>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _peer)) = listener.accept().await else { return };
        // Without the option the connection is slower but works.
        let _unsupported = stream.set_nodelay(true);
        let core = Arc::clone(&core);
        connections.spawn(async move {
            let service = service_fn(move |request| handle_task(Arc::clone(&core), request));
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A broken connection is reported by the client side.
            let _broken = served.await;
        });
    }
}

/// Records the start of a task and answers it according to the current behaviour;
/// an error closes the connection.
async fn handle_task(
    core: Arc<BackendCore>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let key = request.headers().get("idempotency-key").and_then(|value| value.to_str().ok());
    let key = key.unwrap_or("").to_owned();
    let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
    core.records.add(&key, &core.shape.worker);
    let behaviour = *core.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
    let Ok(input) = serde_json::from_slice::<TaskInput>(&body) else {
        return Ok(response(StatusCode::BAD_REQUEST, "{\"error\":\"input\"}".to_owned()));
    };
    match behaviour {
        Behaviour::Normal => sleep_ms(input.run_ms * core.shape.speed).await,
        Behaviour::Straggle(factor) => sleep_ms(input.run_ms * core.shape.speed * factor).await,
        Behaviour::FailAll => {
            return Ok(response(StatusCode::INTERNAL_SERVER_ERROR, "{}".to_owned()));
        }
        Behaviour::Hang => std::future::pending().await,
        Behaviour::Truncate => return Err(std::io::Error::other("simulated broken connection")),
    }
    let answer = serde_json::json!({ "echo": input.echo, "worker": core.shape.worker });
    Ok(response(StatusCode::OK, answer.to_string()))
}

async fn sleep_ms(ms: f64) {
    precise_sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3)).await;
}

fn response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
