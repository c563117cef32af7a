//! Invalid requests of every kind are refused as "not run", and none reaches a
//! backend server.

use model::{ErrorKind, Ran};
use standin::{CallReply, Caller};

use crate::support::{job_body, post_job, post_request, read_problem, small_cluster, task_body};

#[test]
fn refused_as_not_run() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let expect_problem = |reply: CallReply, kind: ErrorKind, status: u16| {
        let problem = read_problem(&reply);
        assert_eq!((problem.kind, problem.ran, reply.status), (kind, Ran::No, status), "{reply:?}");
    };
    cluster.host.block_on(async {
        let malformed = post_request(entry, "stock", None, "{\"run_ms\": ".to_owned()).await;
        expect_problem(malformed, ErrorKind::MalformedRequest, 400);
        expect_problem(
            post_request(entry, "stock", None, String::new()).await,
            ErrorKind::MalformedRequest,
            400,
        );
        let oversized = task_body(1.0, &"x".repeat(2 * 1024 * 1024));
        expect_problem(
            post_request(entry, "stock", None, oversized).await,
            ErrorKind::BodyTooLarge,
            413,
        );
        expect_problem(
            post_request(entry, "nothing", None, task_body(1.0, "a")).await,
            ErrorKind::UnknownService,
            404,
        );
        expect_problem(
            post_request(entry, "order", None, task_body(1.0, "a")).await,
            ErrorKind::MissingKey,
            400,
        );
        let unreadable = post_request(entry, "order", Some("bad/key"), task_body(1.0, "a")).await;
        expect_problem(unreadable, ErrorKind::MalformedRequest, 400);
        expect_problem(
            post_job(entry, "{\"submission\": 7}".to_owned()).await,
            ErrorKind::MalformedRequest,
            400,
        );
        expect_problem(
            post_job(entry, job_body("big", &[1.0; 181])).await,
            ErrorKind::TooManyTasks,
            422,
        );
        expect_problem(
            post_job(entry, job_body("none", &[])).await,
            ErrorKind::MalformedRequest,
            400,
        );
        let giant = job_body("giant", &[1.0]).replace("\"payload\"", "\"cores\": 999, \"payload\"");
        expect_problem(post_job(entry, giant).await, ErrorKind::NeverRunnable, 422);
        let unknown_team = Caller::new()
            .post(
                entry,
                "/v1/services/stock/requests",
                &[("cactuswing-team", "nobody")],
                task_body(1.0, "a"),
            )
            .await;
        expect_problem(unknown_team.expect("the call gets a reply"), ErrorKind::UnknownTeam, 403);
    });
    assert!(cluster.records.all().is_empty());
    cluster.stop();
}

#[test]
fn short_deadline_refused() {
    let cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let headers = [("cactuswing-team", "north"), ("cactuswing-deadline-ms", "1")];
    let reply = cluster.host.block_on(async {
        Caller::new()
            .post(entry, "/v1/services/stock/requests", &headers, task_body(1.0, "a"))
            .await
    });
    let problem = read_problem(&reply.expect("the call gets a reply"));
    assert_eq!((problem.kind, problem.ran), (ErrorKind::DeadlineTooShort, Ran::No));
    assert!(problem.retry_after_ms.is_some());
    assert!(cluster.records.all().is_empty());
    cluster.stop();
}
