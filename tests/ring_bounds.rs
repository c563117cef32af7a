//! Bounded rings: a push to a full ring fails at once, and a reserved slot stays
//! available to its holder.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use kernel::{Kernel, KernelError, PopResult, PushError, bounded};
use model::{ErrorKind, Ran, ServiceName};

use crate::support::{post_request, read_problem, small_shape, task_body};

#[test]
fn full_ring_refuses() {
    let (sender, receiver) = bounded(2);
    sender.push(1).expect("a free slot");
    let reserved = sender.reserve().expect("a free slot");
    assert_matches!(sender.push(2), Err(PushError::Full { message: 2 }));
    assert!(sender.reserve().is_none());
    reserved.push(3);
    assert_eq!(receiver.pop(None), PopResult::Message(1));
    assert_eq!(receiver.pop(None), PopResult::Message(3));
    drop(sender.reserve());
    sender.push(4).expect("a dropped reservation frees its slot");
}

#[test]
fn closed_ring_drains() {
    let (sender, receiver) = bounded(4);
    sender.push(1).expect("a free slot");
    sender.close();
    assert_matches!(sender.push(2), Err(PushError::Closed { message: 2 }));
    assert_eq!(receiver.pop(None), PopResult::Message(1));
    assert_eq!(receiver.pop(None), PopResult::Closed);
}

#[test]
fn deadline_wakes_receiver() {
    let (_sender, receiver) = bounded::<u8>(1);
    let deadline = Instant::now() + Duration::from_millis(5);
    assert_eq!(receiver.pop(Some(deadline)), PopResult::DeadlinePassed);
    assert!(Instant::now() >= deadline);
}

#[test]
fn service_names_unique() {
    let mut kernel: Kernel<ServiceName> = Kernel::default();
    kernel
        .register::<u8, _>(ServiceName::LogWriter, 1, |_ring, _registry| {})
        .expect("the name is free");
    let again = kernel.register::<u8, _>(ServiceName::LogWriter, 1, |_ring, _registry| {});
    assert_matches!(again, Err(KernelError::NameTaken { .. }));
    let registry = kernel.start().expect("threads start");
    assert_matches!(registry.find::<u8>(ServiceName::LogWriter), Ok(_));
    assert_matches!(registry.find::<u16>(ServiceName::LogWriter), Err(_));
    assert_matches!(registry.find::<u8>(ServiceName::TaskStarts), Err(_));
    kernel.stop();
}

#[test]
fn full_queue_sheds_load() {
    let mut shape = small_shape();
    shape.queue_limit = 2;
    let cluster = cactuswing::replay::LocalCluster::start(&shape).expect("cluster starts");
    let entry = cluster.entries[0].address;
    let replies = cluster.host.block_on(async {
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..60 {
            calls.spawn(post_request(
                entry,
                "stock",
                None,
                task_body(50.0, &format!("c-{number}")),
            ));
        }
        calls.join_all().await
    });
    let completed = replies.iter().filter(|reply| reply.status == 200).count();
    let refused: Vec<_> =
        replies.iter().filter(|reply| reply.status != 200).map(read_problem).collect();
    assert!(refused.iter().all(|problem| problem.ran == Ran::No));
    assert!(refused.iter().all(|problem| problem.kind == ErrorKind::Overloaded));
    assert_eq!(completed, cluster.records.all().len(), "exactly the completed requests ran");
    assert_eq!(completed + refused.len(), 60);
    assert!(!refused.is_empty() && completed > 0);
    let after = cluster.host.block_on(post_request(entry, "stock", None, task_body(1.0, "after")));
    assert_eq!(after.status, 200, "requests are admitted again after the burst");
    cluster.stop();
}
