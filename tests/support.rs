//! Fixtures that several test files share: a small local cluster, request
//! bodies and calls to an entry.

use std::net::SocketAddr;

use cactuswing::replay::{ClusterShape, LocalCluster};
use model::{OperatorConfig, Problem, read_operator_config};
use standin::{CallReply, Caller, InstanceLine, task_payload};

/// An operator text with an idempotent service, one that is not idempotent, and
/// one that depends on a service without backend servers.
pub(crate) fn small_config() -> OperatorConfig {
    let text = r#"{
        "services": {
            "stock": { "idempotent": true },
            "order": { "idempotent": false },
            "ledgerless": { "idempotent": true, "depends_on": ["absent"] },
            "absent": { "idempotent": true }
        },
        "teams": { "north": {}, "south": {} }
    }"#;
    read_operator_config(text).expect("valid operator text")
}

/// A worker with a backend server of 4 slots for this service.
pub(crate) fn instance(worker: &str, service: &str) -> InstanceLine {
    InstanceLine {
        worker: worker.to_owned(),
        domain: "kolin".to_owned(),
        rack: "rack-1".to_owned(),
        cores: 16,
        memory_mb: 32_768,
        service: service.into(),
        slots: 4,
        connections: 16,
        speed: 1.0,
    }
}

/// One worker for `stock` and two for `order`, 4 slots each.
pub(crate) fn small_shape() -> ClusterShape {
    let instances = vec![
        instance("worker-1", "stock"),
        instance("worker-2", "order"),
        instance("worker-3", "order"),
    ];
    ClusterShape::small(instances, small_config())
}

pub(crate) fn small_cluster() -> LocalCluster {
    LocalCluster::start(&small_shape()).expect("cluster starts")
}

/// The body of a request whose task runs for this time and echoes `echo`.
pub(crate) fn task_body(run_ms: f64, echo: &str) -> String {
    task_payload(run_ms, echo).text().to_owned()
}

/// The body of a job for `order` with one task for each run time; the task at
/// position `n` echoes `submission/n`.
pub(crate) fn job_body(submission: &str, run_ms: &[f64]) -> String {
    let tasks: Vec<serde_json::Value> = run_ms
        .iter()
        .enumerate()
        .map(|(position, run)| {
            let echo = format!("{submission}/{position}");
            serde_json::json!({ "payload": { "run_ms": run, "echo": echo } })
        })
        .collect();
    serde_json::json!({
        "submission": submission, "team": "north", "service": "order", "tasks": tasks
    })
    .to_string()
}

/// Sends a request of team `north` to an entry, with this idempotency key.
pub(crate) async fn post_request(
    entry: SocketAddr,
    service: &str,
    key: Option<&str>,
    body: String,
) -> CallReply {
    let mut headers = vec![("cactuswing-team", "north")];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let path = format!("/v1/services/{service}/requests");
    Caller::new().post(entry, &path, &headers, body).await.expect("complete reply")
}

/// Submits a job to an entry and waits for its reply.
pub(crate) async fn post_job(entry: SocketAddr, body: String) -> CallReply {
    Caller::new().post(entry, "/v1/jobs", &[], body).await.expect("complete reply")
}

/// The problem document of a reply; panics if it has none.
pub(crate) fn read_problem(reply: &CallReply) -> Problem {
    reply.problem().unwrap_or_else(|| panic!("no problem document in {reply:?}"))
}

/// Number of cases of a property test: `CACTUSWING_CASES` where it is set,
/// else this default.
pub(crate) fn case_count(default: u32) -> u32 {
    let requested = std::env::var("CACTUSWING_CASES").ok().and_then(|text| text.parse().ok());
    requested.unwrap_or(default)
}
