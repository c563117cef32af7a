//! Decoding of what the platform adapter reads: configurations, jobs,
//! heartbeats and backend servers' replies. Invalid ones are rejected with their cause;
//! unknown fields and columns are ignored.

use assert_matches::assert_matches;
use model::{EndKind, ServerAnswer, StartRefusal};
use platform::{
    CatalogError, JobError, ServerReply, read_catalog, read_heartbeat, read_job, read_job_id,
    read_reply,
};
use serde_json::{Value, json};

const JOB_ID: &str = "5c0e7a21d94b36f8";

fn config_body() -> Value {
    json!({
        "version": 7,
        "routes": [
            { "name": "r-1", "host": "a.example", "path_prefix": "/x/", "kind": "unsafe",
              "timeout_ms": 1500, "goal_ms": 60, "priority": 2, "service": "s", "max_attempts": 4,
              "stretch": 1.6 }
        ],
        "services": [{ "name": "s", "health_path": "/health", "enforce_capacity": true }],
        "limits": { "max_body_bytes": 262144 }
    })
}

fn changed_config(change: impl FnOnce(&mut Value)) -> String {
    let mut config = config_body();
    change(&mut config);
    config.to_string()
}

#[test]
fn valid_config_read() {
    let text = config_body().to_string();
    let catalog = read_catalog(&text).expect("valid configuration");
    assert_eq!((catalog.version, catalog.document.as_str()), (7, text.as_str()));
    let queue = &catalog.queues["r-1"];
    assert_eq!(
        (queue.max_attempts, queue.base_objective_ms, queue.critical_path_factor),
        (4, 60, 1.6)
    );
    assert!(catalog.services["s"].enforces_capacity);
}

#[test]
fn invalid_configs_rejected() {
    let unknown_service = changed_config(|config| config["routes"][0]["service"] = json!("t"));
    assert_matches!(read_catalog(&unknown_service), Err(CatalogError::UnknownService { .. }));
    let zero_timeout = changed_config(|config| config["routes"][0]["timeout_ms"] = json!(0));
    assert_matches!(read_catalog(&zero_timeout), Err(CatalogError::ZeroTimeout { .. }));
    let shared_route = changed_config(|config| {
        let mut second = config["routes"][0].clone();
        second["name"] = json!("r-2");
        config["routes"].as_array_mut().expect("a JSON array").push(second);
    });
    assert_matches!(read_catalog(&shared_route), Err(CatalogError::DuplicateRoute { .. }));
    let missing_host = changed_config(|config| {
        config["routes"][0].as_object_mut().expect("a JSON object").remove("host");
    });
    assert_matches!(read_catalog(&missing_host), Err(CatalogError::Unreadable { .. }));
    let text = config_body().to_string();
    for end in [0, 1, text.len() / 2, text.len() - 1] {
        assert_matches!(read_catalog(&text[..end]), Err(CatalogError::Unreadable { .. }));
    }
}

fn read_job_body(job: Value) -> Result<model::QueuedJob, JobError> {
    read_job(&"r-1".into(), JOB_ID, job.to_string().as_bytes())
}

#[test]
fn omitted_fields_default() {
    let job = read_job_body(json!({ "spec": "work", "steps": [
        { "count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "affinity": "r1-3" },
        { "count": 2, "cpu": 2000, "depends_on": [0], "novel": true }
    ]}))
    .expect("valid job");
    assert_eq!((job.steps.len(), job.best_effort), (2, false));
    assert_eq!(job.steps[0].data_rack.as_deref(), Some("r1-3"));
    assert_eq!((job.steps[1].size.memory_mb, job.steps[1].required_label.clone()), (0, None));
    assert_eq!(job.steps[1].depends_on, [0]);
}

#[test]
fn invalid_jobs_rejected() {
    let steps = json!([{ "count": 1, "cpu": 1, "estimate_ms": 1 }]);
    assert_matches!(read_job_body(json!({ "steps": [] })), Err(JobError::NoTask));
    assert_matches!(read_job_body(json!({ "steps": [{ "count": 0 }] })), Err(JobError::NoTask));
    assert_matches!(read_job_body(json!({ "steps": 3 })), Err(JobError::Unreadable { .. }));
    let spec = "x".repeat(4_001);
    let long_spec = read_job_body(json!({ "spec": spec, "steps": steps }));
    assert_matches!(long_spec, Err(JobError::SpecTooLong { bytes: 4_001 }));
    let self_dependency = read_job_body(json!({ "steps": [{ "count": 1, "depends_on": [0] }] }));
    assert_matches!(self_dependency, Err(JobError::BadDependency { step: 0, dependency: 0 }));
    let gang_step = read_job_body(json!({ "steps": [{ "count": 2, "gang": true }] }));
    assert_matches!(gang_step, Err(JobError::Unsupported { .. }));
    assert_matches!(read_job(&"r".into(), JOB_ID, b"\xff{"), Err(JobError::Unreadable { .. }));
}

#[test]
fn job_ids_validated() {
    assert_matches!(read_job_id(JOB_ID), Ok(_));
    for invalid in
        ["", "5c0e7a21d94b36f", "5c0e7a21d94b36f88", "5c0e7a21d94b36fg", "5c0e/a21d94b36f8"]
    {
        assert_matches!(read_job_id(invalid), Err(JobError::BadId { .. }), "{invalid}");
    }
}

fn heartbeat_body() -> Value {
    json!({
        "service": "s", "address": "10.128.0.9:8080", "zone": "umea", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0,
        "capacity": { "cpu": 16000, "mem_mb": 32768, "gpu": 0 },
        "labels": ["a", "r1-3"], "clock_ms": 482113, "sequence": 4, "born": 17
    })
}

#[test]
fn valid_heartbeat_read() {
    let heartbeat =
        read_heartbeat("i-1", heartbeat_body().to_string().as_bytes()).expect("valid heartbeat");
    assert_eq!(
        (heartbeat.view.life.as_str(), heartbeat.generation, heartbeat.sequence),
        ("i-1/17", 17, 4)
    );
    assert_eq!((heartbeat.view.capacity.cpu_milli, heartbeat.view.draining), (16_000, false));
}

#[test]
fn invalid_heartbeats_rejected() {
    for (field, value) in [
        ("state", json!("asleep")),
        ("address", json!("somewhere")),
        ("sequence", json!("four")),
        ("labels", json!({ "rack": 1 })),
        ("service", Value::Null),
    ] {
        let mut heartbeat = heartbeat_body();
        heartbeat[field] = value;
        assert!(read_heartbeat("i-1", heartbeat.to_string().as_bytes()).is_err(), "{field}");
    }
    assert!(read_heartbeat("i-1", b"\x00\x01").is_err());
}

#[test]
fn extra_columns_ignored() {
    let body = json!({
        "clock_ms": 482113,
        "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb8", 41, 3]],
        "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", "", "more"],
                  [59, "5c0e7a21d94b36f8.0.1.8", 1, "broken", ""]]
    });
    let reply = read_reply(200, body.to_string().as_bytes()).expect("valid reply");
    let ServerReply { answer, clock, .. } = reply;
    assert_eq!(clock.map(|clock| clock.as_millis()), Some(482_113));
    assert_matches!(answer, ServerAnswer::Lists { running, ended } => {
        assert_eq!((running[0].task.index, running[0].run), (17, 2));
        assert_eq!((ended[0].number, ended[0].kind), (58, EndKind::Done));
        assert_eq!(ended[1].kind, EndKind::Lapsed);
    });
}

#[test]
fn reply_names_life() {
    let generation = |body: &str| read_reply(200, body.as_bytes()).expect("valid").generation;
    let lists = "\"clock_ms\":1,\"running\":[],\"ended\":[]";
    assert_eq!(generation(&format!("{{{lists},\"born\":1783700586461}}")), Some(1_783_700_586_461));
    assert_eq!(generation(&format!("{{{lists}}}")), None);
    for odd in ["0", "-1", "\"x\"", "null", "1e300"] {
        assert_eq!(generation(&format!("{{{lists},\"born\":{odd}}}")), None, "{odd}");
    }
}

#[test]
fn error_replies_classified() {
    let odd_row = read_reply(200, b"{\"clock_ms\":1,\"running\":[[7]],\"ended\":[]}");
    let odd_row = odd_row.expect("the rest of the reply can be read");
    assert!(odd_row.clock.is_some());
    assert_matches!(odd_row.answer, ServerAnswer::PartialLists { running, ended } => {
        assert!(running.is_empty() && ended.is_empty(), "nothing of an odd row is used");
    });
    assert!(read_reply(200, b"{\"clock_ms\":1,\"running\":7,\"ended\":[]}").is_err());
    assert!(read_reply(500, b"").is_err());
    let refused = read_reply(409, b"{\"clock_ms\":1,\"reason\":\"room\"}");
    assert_matches!(
        refused,
        Ok(ServerReply { answer: ServerAnswer::Refused(StartRefusal::Room), clock: Some(_), .. })
    );
    assert_matches!(
        read_reply(421, b""),
        Ok(ServerReply { answer: ServerAnswer::Refused(StartRefusal::Gone), clock: None, .. })
    );
}
