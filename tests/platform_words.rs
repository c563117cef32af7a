//! What the adapter reads: configurations, jobs, heartbeats and backend
//! servers' answers, right ones and wrong ones.

use assert_matches::assert_matches;
use model::{EndKind, ServerAnswer, StartRefusal};
use platform::{
    CatalogMistake, JobMistake, read_answer, read_beat, read_catalog, read_job, read_job_id,
};
use serde_json::{Value, json};

const ID: &str = "5c0e7a21d94b36f8";

fn config() -> Value {
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

fn changed(change: impl FnOnce(&mut Value)) -> String {
    let mut config = config();
    change(&mut config);
    config.to_string()
}

#[test]
fn whole_config_read() {
    let text = config().to_string();
    let catalog = read_catalog(&text).expect("it is valid");
    assert_eq!((catalog.version, catalog.document.as_str()), (7, text.as_str()));
    let queue = &catalog.queues["r-1"];
    assert_eq!((queue.most_attempts, queue.goal_ms, queue.stretch), (4, 60, 1.6));
    assert!(catalog.services["s"].guards_room);
}

#[test]
fn bad_configs_refused() {
    let unknown = changed(|config| config["routes"][0]["service"] = json!("t"));
    assert_matches!(read_catalog(&unknown), Err(CatalogMistake::UnknownService { .. }));
    let no_time = changed(|config| config["routes"][0]["timeout_ms"] = json!(0));
    assert_matches!(read_catalog(&no_time), Err(CatalogMistake::NoTimeout { .. }));
    let same_place = changed(|config| {
        let mut second = config["routes"][0].clone();
        second["name"] = json!("r-2");
        config["routes"].as_array_mut().expect("a list").push(second);
    });
    assert_matches!(read_catalog(&same_place), Err(CatalogMistake::SharedPlace { .. }));
    let missing = changed(|config| {
        config["routes"][0].as_object_mut().expect("an object").remove("host");
    });
    assert_matches!(read_catalog(&missing), Err(CatalogMistake::Unreadable { .. }));
    let text = config().to_string();
    for end in [0, 1, text.len() / 2, text.len() - 1] {
        assert_matches!(read_catalog(&text[..end]), Err(CatalogMistake::Unreadable { .. }));
    }
}

fn job(job: Value) -> Result<model::QueuedJob, JobMistake> {
    read_job(&"r-1".into(), ID, job.to_string().as_bytes())
}

#[test]
fn left_out_is_zero() {
    let job = job(json!({ "spec": "work", "steps": [
        { "count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "affinity": "r1-3" },
        { "count": 2, "cpu": 2000, "depends_on": [0], "novel": true }
    ]}))
    .expect("it is valid");
    assert_eq!((job.steps.len(), job.best_effort), (2, false));
    assert_eq!(job.steps[0].data_rack.as_deref(), Some("r1-3"));
    assert_eq!((job.steps[1].size.memory_mb, job.steps[1].required_label.clone()), (0, None));
    assert_eq!(job.steps[1].depends_on, [0]);
}

#[test]
fn bad_jobs_refused() {
    let steps = json!([{ "count": 1, "cpu": 1, "estimate_ms": 1 }]);
    assert_matches!(job(json!({ "steps": [] })), Err(JobMistake::NoTask));
    assert_matches!(job(json!({ "steps": [{ "count": 0 }] })), Err(JobMistake::NoTask));
    assert_matches!(job(json!({ "steps": 3 })), Err(JobMistake::Unreadable { .. }));
    let long = "x".repeat(4_001);
    let long = job(json!({ "spec": long, "steps": steps }));
    assert_matches!(long, Err(JobMistake::LongSpec { bytes: 4_001 }));
    let forward = job(json!({ "steps": [{ "count": 1, "depends_on": [0] }] }));
    assert_matches!(forward, Err(JobMistake::BadDependency { step: 0, on: 0 }));
    let gang = job(json!({ "steps": [{ "count": 2, "gang": true }] }));
    assert_matches!(gang, Err(JobMistake::Unsupported { .. }));
    assert_matches!(read_job(&"r".into(), ID, b"\xff{"), Err(JobMistake::Unreadable { .. }));
}

#[test]
fn ids_are_checked() {
    assert_matches!(read_job_id(ID), Ok(_));
    for wrong in
        ["", "5c0e7a21d94b36f", "5c0e7a21d94b36f88", "5c0e7a21d94b36fg", "5c0e/a21d94b36f8"]
    {
        assert_matches!(read_job_id(wrong), Err(JobMistake::BadId { .. }), "{wrong}");
    }
}

fn beat() -> Value {
    json!({
        "service": "s", "address": "10.128.0.9:8080", "zone": "umea", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0,
        "capacity": { "cpu": 16000, "mem_mb": 32768, "gpu": 0 },
        "labels": ["a", "r1-3"], "clock_ms": 482113, "sequence": 4, "born": 17
    })
}

#[test]
fn heartbeat_read() {
    let beat = read_beat("i-1", beat().to_string().as_bytes()).expect("it is valid");
    assert_eq!((beat.view.life.as_str(), beat.born, beat.sequence), ("i-1/17", 17, 4));
    assert_eq!((beat.view.room.cpu_milli, beat.view.draining), (16_000, false));
}

#[test]
fn foreign_heartbeats_refused() {
    for (field, value) in [
        ("state", json!("asleep")),
        ("address", json!("somewhere")),
        ("sequence", json!("four")),
        ("labels", json!({ "rack": 1 })),
        ("service", Value::Null),
    ] {
        let mut beat = beat();
        beat[field] = value;
        assert!(read_beat("i-1", beat.to_string().as_bytes()).is_err(), "{field}");
    }
    assert!(read_beat("i-1", b"\x00\x01").is_err());
}

#[test]
fn rows_may_be_longer() {
    let body = json!({
        "clock_ms": 482113,
        "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb8", 41, 3]],
        "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", "", "more"],
                  [59, "5c0e7a21d94b36f8.0.1.8", 1, "broken", ""]]
    });
    let (answer, clock) = read_answer(200, body.to_string().as_bytes()).expect("it is valid");
    assert_eq!(clock.map(|clock| clock.as_millis()), Some(482_113));
    assert_matches!(answer, ServerAnswer::Lists { running, ended } => {
        assert_eq!((running[0].task.index, running[0].run), (17, 2));
        assert_eq!((ended[0].number, ended[0].kind), (58, EndKind::Done));
        assert_eq!(ended[1].kind, EndKind::Lapsed);
    });
}

#[test]
fn odd_answers_say_nothing() {
    assert!(read_answer(200, b"{\"clock_ms\":1,\"running\":[[7]],\"ended\":[]}").is_err());
    assert!(read_answer(500, b"").is_err());
    let refused = read_answer(409, b"{\"clock_ms\":1,\"reason\":\"room\"}");
    assert_matches!(refused, Ok((ServerAnswer::Refused(StartRefusal::Room), Some(_))));
    assert_matches!(read_answer(421, b""), Ok((ServerAnswer::Refused(StartRefusal::Gone), None)));
}
