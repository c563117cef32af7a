//! Updates about runs between processes of different versions, as during a rolling
//! upgrade. Guards against a report that a scheduler of the other version can't decode,
//! since a report that is not decoded ends the agent's session.

use model::{EndKind, RunUpdate, TaskName, TaskRun};
use serde_json::{Value, json};

fn run() -> TaskRun {
    let task = TaskName { job: "5c0e7a21d94b36f8".into(), occurrence: 0, step: 0, index: 0 };
    TaskRun { task, run: 1 }
}

fn ended(ran_ms: Option<u64>) -> RunUpdate {
    RunUpdate::Ended { number: 3, run: run(), kind: EndKind::Done, ran_ms }
}

fn encode(update: &RunUpdate) -> Value {
    serde_json::to_value(update).expect("an update encodes")
}

#[test]
fn run_time_optional() {
    let mut body = encode(&ended(Some(120)));
    assert_eq!(body["ended"]["ran_ms"], json!(120));
    let fields = body["ended"].as_object_mut().expect("an object");
    fields.remove("ran_ms");
    let decoded: RunUpdate = serde_json::from_value(body).expect("the field is optional");
    assert_eq!(decoded, ended(None));
}

#[test]
fn unknown_time_left_out() {
    let body = encode(&ended(None));
    assert_eq!(body["ended"].get("ran_ms"), None, "{body}");
}
