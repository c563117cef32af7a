//! Jobs end to end: complete answers in task order, each task run once, lookup
//! of recorded jobs, explanation and cancellation.

use model::ErrorKind;
use standin::{Behaviour, Caller};

use crate::support::{job_body, post_job, post_request, read_problem, small_cluster, task_body};

#[test]
fn answers_in_order() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let runs = [30.0, 5.0, 20.0, 1.0, 10.0];
    let reply = cluster.host.block_on(post_job(entry, job_body("j-1", &runs)));
    assert_eq!(reply.status, 200, "{}", reply.body);
    let value: serde_json::Value = serde_json::from_str(&reply.body).expect("valid JSON");
    let echoes: Vec<&str> = value["answers"]
        .as_array()
        .expect("a JSON array")
        .iter()
        .filter_map(|a| a["echo"].as_str())
        .collect();
    assert_eq!(echoes, ["j-1/0", "j-1/1", "j-1/2", "j-1/3", "j-1/4"]);
    assert_eq!(cluster.records.count_job_starts("north/j-1"), 5);
    cluster.stop();
}

#[test]
fn recorded_answer_returned() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let caller = Caller::new();
    let posted = cluster.host.block_on(async {
        caller.post(entry, "/v1/jobs?wait=false", &[], job_body("j-2", &[5.0])).await
    });
    assert_eq!(posted.expect("the call gets a reply").status, 202);
    // A resubmission waits until the job has ended.
    let completed = cluster.host.block_on(post_job(entry, job_body("j-2", &[5.0])));
    let looked_up = cluster.host.block_on(caller.get(entry, "/v1/jobs/north/j-2"));
    assert_eq!(looked_up.expect("the call gets a reply").body, completed.body);
    assert_eq!(cluster.records.count_job_starts("north/j-2"), 1);
    cluster.stop();
}

#[test]
fn no_partial_answer() {
    let cluster = small_cluster();
    for worker in &cluster.workers {
        worker.backend.behave(Behaviour::FailAll);
    }
    let entry = cluster.entries[0].address;
    let reply = cluster.host.block_on(post_job(entry, job_body("j-3", &[5.0, 5.0, 5.0])));
    assert_eq!(read_problem(&reply).kind, ErrorKind::BackendFailed);
    assert!(!reply.body.contains("answers"));
    cluster.stop();
}

#[test]
fn truncated_reply_unknown() {
    let cluster = small_cluster();
    for worker in &cluster.workers {
        worker.backend.behave(Behaviour::Truncate);
    }
    let entry = cluster.entries[0].address;
    let reply =
        cluster.host.block_on(post_request(entry, "order", Some("o-9"), task_body(5.0, "a")));
    assert_eq!(read_problem(&reply).kind, ErrorKind::OutcomeUnknown);
    assert_eq!(cluster.records.count_job_starts("north/o-9"), 1);
    cluster.stop();
}

#[test]
fn explain_lists_steps() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    cluster.host.block_on(post_job(entry, job_body("j-4", &[5.0])));
    let explained = cluster.host.block_on(Caller::new().get(entry, "/v1/jobs/north/j-4/explain"));
    let lines = explained.expect("the call gets a reply").body;
    for step in ["submitted", "admitted", "claimed", "sent to worker-", "completed at worker-"] {
        assert!(lines.contains(step), "{step} is missing in {lines}");
    }
    cluster.stop();
}

#[test]
fn cancel_reports_outcome() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let caller = Caller::new();
    // 20 long tasks on 8 slots: the job is cancelled while 8 run and 12 wait.
    let runs = [60_000.0; 20];
    let (submitted, cancelled) = cluster.host.block_on(async {
        let submitting = tokio::spawn(post_job(entry, job_body("j-5", &runs)));
        while cluster.records.count_job_starts("north/j-5") < 8 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        let cancelled =
            caller.delete(entry, "/v1/jobs/north/j-5").await.expect("the call gets a reply");
        (submitting.await.expect("submitting task panicked"), cancelled)
    });
    let kind = read_problem(&cancelled).kind;
    assert!(matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::CancelledAfterStart), "{kind}");
    assert_eq!(read_problem(&submitted), read_problem(&cancelled));
    assert_eq!(cluster.records.count_job_starts("north/j-5"), 8);
    cluster.stop();
}
