//! Rings are bounded: a full one answers at once, and reserved room holds.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use kernel::{Kernel, KernelError, Popped, PushError, bounded};
use model::{ErrorKind, Ran, ServiceName};

use crate::support::{body, problem, request, small_shape};

#[test]
fn full_ring_refuses() {
    let (sender, receiver) = bounded(2);
    sender.push(1).expect("room");
    let reserved = sender.reserve().expect("room");
    assert_matches!(sender.push(2), Err(PushError::Full { message: 2 }));
    assert!(sender.reserve().is_none());
    reserved.push(3);
    assert_eq!(receiver.pop(None), Popped::Message(1));
    assert_eq!(receiver.pop(None), Popped::Message(3));
    drop(sender.reserve());
    sender.push(4).expect("a dropped reservation gives its room back");
}

#[test]
fn closed_ring_drains() {
    let (sender, receiver) = bounded(4);
    sender.push(1).expect("room");
    sender.close();
    assert_matches!(sender.push(2), Err(PushError::Closed { message: 2 }));
    assert_eq!(receiver.pop(None), Popped::Message(1));
    assert_eq!(receiver.pop(None), Popped::Closed);
}

#[test]
fn deadline_wakes_receiver() {
    let (_sender, receiver) = bounded::<u8>(1);
    let deadline = Instant::now() + Duration::from_millis(5);
    assert_eq!(receiver.pop(Some(deadline)), Popped::DeadlinePassed);
    assert!(Instant::now() >= deadline);
}

#[test]
fn names_are_unique() {
    let mut kernel: Kernel<ServiceName> = Kernel::default();
    kernel.register::<u8, _>(ServiceName::LogWriter, 1, |_ring, _registry| {}).expect("free");
    let again = kernel.register::<u8, _>(ServiceName::LogWriter, 1, |_ring, _registry| {});
    assert_matches!(again, Err(KernelError::NameTaken { .. }));
    let registry = kernel.start().expect("threads");
    assert_matches!(registry.find::<u8>(ServiceName::LogWriter), Ok(_));
    assert_matches!(registry.find::<u16>(ServiceName::LogWriter), Err(_));
    assert_matches!(registry.find::<u8>(ServiceName::TaskStarts), Err(_));
    kernel.stop();
}

#[test]
fn full_queue_sheds_truthfully() {
    let mut shape = small_shape();
    shape.queue_limit = 2;
    let cluster = cactuswing::replay::LocalCluster::start(&shape).expect("the system starts");
    let entry = cluster.entries[0].address;
    let replies = cluster.host.block_on(async {
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..60 {
            calls.spawn(request(entry, "stock", None, body(50.0, &format!("c-{number}"))));
        }
        calls.join_all().await
    });
    let whole = replies.iter().filter(|reply| reply.status == 200).count();
    let refused: Vec<_> = replies.iter().filter(|reply| reply.status != 200).map(problem).collect();
    assert!(refused.iter().all(|problem| problem.ran == Ran::No));
    assert!(refused.iter().all(|problem| problem.kind == ErrorKind::Overloaded));
    assert_eq!(whole, cluster.records.all().len(), "only what was answered ran");
    assert_eq!(whole + refused.len(), 60);
    assert!(!refused.is_empty() && whole > 0);
    let after = cluster.host.block_on(request(entry, "stock", None, body(1.0, "after")));
    assert_eq!(after.status, 200, "it recovers");
    cluster.stop();
}
