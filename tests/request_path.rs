//! Single requests end to end, through entry, agent and backend server. A request that
//! is sent again under its key must not run again.

use assert_matches::assert_matches;
use model::{ErrorKind, Ran};

use crate::support::{post_request, read_problem, small_cluster, task_body};

#[test]
fn reply_reaches_caller() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let reply = cluster.host.block_on(post_request(entry, "stock", None, task_body(5.0, "tin-7")));
    assert_eq!(reply.status, 200);
    assert!(reply.body.contains("\"tin-7\""), "{}", reply.body);
    assert_eq!(cluster.records.all().len(), 1);
    cluster.stop();
}

#[test]
fn repeated_key_runs_once() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let first =
        cluster.host.block_on(post_request(entry, "order", Some("o-1"), task_body(5.0, "a")));
    let again =
        cluster.host.block_on(post_request(entry, "order", Some("o-1"), task_body(5.0, "a")));
    assert_eq!(first, again);
    assert_eq!(cluster.records.count_job_starts("north/o-1"), 1);
    cluster.stop();
}

#[test]
fn changed_content_conflicts() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    cluster.host.block_on(post_request(entry, "order", Some("o-2"), task_body(5.0, "a")));
    let other =
        cluster.host.block_on(post_request(entry, "order", Some("o-2"), task_body(5.0, "b")));
    assert_matches!(read_problem(&other).kind, ErrorKind::SubmissionConflict);
    assert_eq!(cluster.records.count_job_starts("north/o-2"), 1);
    cluster.stop();
}

#[test]
fn down_dependency_refused() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let reply = cluster.host.block_on(post_request(entry, "ledgerless", None, task_body(5.0, "a")));
    let problem = read_problem(&reply);
    assert_matches!((problem.kind, problem.ran), (ErrorKind::DependencyDown, Ran::No));
    assert!(cluster.records.all().is_empty());
    cluster.stop();
}
