//! Announcements of backend servers with odd content: nested, with slots beyond any real
//! number, or with a port out of range. The agent refuses them and serves the others.

use std::time::{Duration, Instant};

use decisions::agent::InstancePool;
use model::{Announcement, ErrorKind};
use standin::Caller;

use crate::support::{post_request, read_problem, small_cluster, task_body};

fn body(address: &str, slots: &str, connections: &str) -> String {
    format!(
        "{{\"service\":\"stock\",\"address\":\"{address}\",\"slots\":{slots},\"connections\":{connections}}}"
    )
}

// Two servers with the largest number of slots overflowed their sum.
#[test]
fn odd_announcements_refused() {
    let cluster = small_cluster();
    let agent = cluster.workers[0].agent.as_ref().expect("the agent runs");
    let announce = agent.announce_address.expect("an agent takes announcements");
    let deep = format!("{}{}", "[".repeat(2_000), "]".repeat(2_000));
    let largest = u32::MAX.to_string();
    cluster.host.block_on(async {
        for odd in [
            body("127.0.0.1:9", &largest, &largest),
            body("127.0.0.2:9", &largest, &largest),
            body("127.0.0.1:9", "4294967296", "4"),
            body("127.0.0.1:9", "-1", "4"),
            body("127.0.0.1:9", "1e999", "4"),
            body("127.0.0.1:9", &deep, "4"),
            body("127.0.0.1:65536", "4", "4"),
            body("127.0.0.1:0", "4", "4"),
        ] {
            let reply = Caller::new().post(announce, "/v1/announce", &[], odd.clone()).await;
            let problem = read_problem(&reply.expect("the agent replies"));
            assert_eq!(problem.kind, ErrorKind::MalformedRequest, "{odd:.80}");
        }
        let entry = cluster.entries[0].address;
        let reply = post_request(entry, "stock", None, task_body(1.0, "a")).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    });
    cluster.stop();
}

#[test]
fn slot_sums_saturate() {
    let mut pool = InstancePool::new(Duration::from_secs(1));
    for port in 1..=3 {
        let address = ([127, 0, 0, 1], port).into();
        let service = "stock".into();
        let announcement =
            Announcement { service, address, slots: u32::MAX, connections: u32::MAX };
        pool.announce(Instant::now(), &announcement);
    }
    assert_eq!(pool.slots()["stock"], u32::MAX);
}
