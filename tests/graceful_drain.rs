//! Graceful shutdown: work in progress completes, and new work is refused. A process
//! that exits at once breaks off its tasks, and their callers don't know the outcome.

use cactuswing::roles::DrainEnd;
use model::{ErrorKind, Ran};
use standin::Caller;

use crate::support::{post_request, read_problem, small_cluster, task_body};

#[test]
fn entry_finishes_work() {
    let mut cluster = small_cluster();
    let entry = cluster.entries.remove(0);
    let address = entry.address;
    let running = cluster.host.handle().spawn(post_request(
        address,
        "order",
        Some("o-1"),
        task_body(300.0, "a"),
    ));
    cluster.host.block_on(async {
        while cluster.records.all().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    entry.begin_drain();
    let ready = cluster
        .host
        .block_on(Caller::new().get(address, "/readyz"))
        .expect("the call gets a reply");
    assert_eq!(ready.status, 503);
    let refused = cluster.host.block_on(post_request(address, "stock", None, task_body(1.0, "b")));
    let refused = read_problem(&refused);
    assert_eq!((refused.kind, refused.ran), (ErrorKind::ShuttingDown, Ran::No));
    assert_eq!(entry.drain(), DrainEnd::Idle);
    let finished = cluster.host.block_on(running).expect("request task panicked");
    assert_eq!(finished.status, 200);
    cluster.stop();
}

#[test]
fn agent_finishes_work() {
    let mut cluster = small_cluster();
    let entry = cluster.entries[0].address;
    let running =
        cluster.host.handle().spawn(post_request(entry, "stock", None, task_body(300.0, "a")));
    cluster.host.block_on(async {
        while cluster.records.all().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    let agent = cluster.workers[0].agent.take().expect("the agent is running");
    let drained = cluster.host.handle().spawn_blocking(move || agent.drain());
    assert_eq!(cluster.host.block_on(drained).expect("the drain ends"), DrainEnd::Idle);
    let finished = cluster.host.block_on(running).expect("request task panicked");
    assert_eq!(finished.status, 200, "{}", finished.body);
    cluster.stop();
}
