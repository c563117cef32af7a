//! Duties that end without being asked to. Guards against a process that runs on without one
//! of its duties: it answers nothing that needs it, and nobody starts it again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactuswing::ExitKind;
use cactuswing::commands::serve::{await_end, report_failure};
use cactuswing::roles::RunningRole;
use edges::{block_on, spawn_lasting};
use kernel::{DrainGate, DutyEnd, DutyFailure, Kernel, PopResult, RingReceiver, SystemClock};
use model::{ProcessCounters, ServiceName};
use services::ServiceContext;

/// Bound on the wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);

type Body = fn(&RingReceiver<u8>);

/// A kernel with a duty that waits for its end, and one with this body.
fn kernel_with(body: Body) -> Kernel<ServiceName> {
    let mut kernel = Kernel::default();
    kernel.register(ServiceName::LogWriter, 1, |ring, _| wait_closed(&ring)).expect("free");
    kernel.register(ServiceName::ServerRuns, 1, move |ring, _| body(&ring)).expect("free");
    kernel
}

fn wait_closed(ring: &RingReceiver<u8>) {
    while let PopResult::Message(_) = ring.pop(None) {}
}

/// The first failure that the kernel reports of a duty with this body.
fn first_failure(body: Body) -> DutyFailure {
    let mut kernel = kernel_with(body);
    let failures = kernel.take_failures().expect("taken once");
    kernel.start().expect("the duties start");
    match failures.pop(Some(Instant::now() + REPORT_TIMEOUT)) {
        PopResult::Message(failure) => failure,
        other => panic!("no failure: {other:?}"),
    }
}

fn panicked(message: &str) -> DutyFailure {
    let end = DutyEnd::Panicked { message: message.to_owned() };
    DutyFailure { duty: "server_runs".to_owned(), end }
}

#[test]
fn panic_is_reported() {
    assert_eq!(first_failure(|_| panic!("odd {}", 1)), panicked("odd 1"));
}

#[test]
fn return_is_reported() {
    let failure = DutyFailure { duty: "server_runs".to_owned(), end: DutyEnd::Returned };
    assert_eq!(first_failure(|_| {}), failure);
}

#[test]
fn stop_is_none() {
    let mut kernel = kernel_with(wait_closed);
    let failures = kernel.take_failures().expect("taken once");
    kernel.start().expect("the duties start");
    kernel.stop();
    assert_eq!(failures.try_next(), None);
}

/// A listener's task that panics leaves a duty that waits for its ring, and accepts nothing.
#[test]
fn lasting_task_counts() {
    let body: Body = |ring| {
        block_on(async {
            spawn_lasting(async { panic!("no listener") });
            while ring.next().await.is_some() {}
        });
    };
    assert_eq!(first_failure(body), panicked("no listener"));
}

/// The task of one connection that panics ends alone: one odd message ends no process.
#[test]
fn connection_task_alone() {
    let body: Body = |ring| {
        block_on(async {
            let connection = tokio::task::spawn_local(async { panic!("odd message") });
            assert!(connection.await.is_err());
            while ring.next().await.is_some() {}
        });
    };
    let mut kernel = kernel_with(body);
    let failures = kernel.take_failures().expect("taken once");
    kernel.start().expect("the duties start");
    kernel.stop();
    assert_eq!(failures.try_next(), None);
}

/// Without the report it waits for a signal to stop for ever.
#[test]
fn failure_ends_process() {
    let mut kernel = kernel_with(|_| panic!("odd state"));
    kernel.start().expect("the duties start");
    let (clock, counters) = (Arc::new(SystemClock), ProcessCounters::default());
    let context = ServiceContext { clock, counters, gate: DrainGate::default() };
    let address = "127.0.0.1:0".parse().expect("an address");
    let mut running = RunningRole::without_drain(kernel, address, context);
    let failures = running.take_failures().expect("taken once");
    block_on(async {
        let failure = await_end(&failures, std::future::pending()).await.expect("no stop is asked");
        assert_eq!(report_failure("agent", &failure), ExitKind::DutyFailed);
    });
}
