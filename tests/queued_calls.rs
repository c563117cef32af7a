//! Calls that wait at an agent, since its backend server leaves others unanswered.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use kernel::{Kernel, PopResult, SharedClock, SystemClock, bounded};
use model::{
    EventLog, LogLine, ProcessCounters, ProcessLimits, ServerAnswer, ServerCall,
    ServerFrontMessage, ServerRequest, ServerRunsMessage, ServiceName, TaskName, TaskRun,
};
use platform::ServerFront;

/// More calls than an agent has in flight; the server leaves each unanswered for 0.15 s.
const CALLS: u32 = 13;
const LONG_LEASE: Duration = Duration::from_secs(10);
const SHORT_LEASE: Duration = Duration::from_millis(50);
/// Longer than all calls take.
const PATIENCE: Duration = Duration::from_secs(2);

/// A backend server that reads requests and answers none; passes on what it has read.
fn silent_server() -> (SocketAddr, kernel::RingReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (sender, receiver) = bounded(64);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, sender) = (stream.expect("a connection"), sender.clone());
            std::thread::spawn(move || {
                let mut text = [0; 4_096];
                while let Ok(length @ 1..) = stream.read(&mut text) {
                    let _closed = sender.push(String::from_utf8_lossy(&text[..length]).into());
                }
            });
        }
    });
    (address, receiver)
}

fn start(address: SocketAddr, index: u32, lease: Duration) -> Box<ServerCall> {
    let task = TaskName { job: "0000000000000001".into(), occurrence: 0, step: 0, index };
    Box::new(ServerCall {
        address,
        life: "i-1/1".into(),
        instance: "i-1".into(),
        fence: 1,
        lease_until: Some(lease),
        valid_until: Some(Instant::now() + lease),
        request: ServerRequest::Start { run: TaskRun { task, run: 1 }, spec: "work".into() },
    })
}

// Guards against a start that is sent after its lease has passed, while renewals, which don't
// wait, keep the runs of the backend server going: it has to refuse the start by itself.
#[test]
fn expired_start_kept() {
    let (server_address, requests) = silent_server();
    let clock: SharedClock = Arc::new(SystemClock);
    let (lines, _log) = bounded::<LogLine>(64);
    let log = EventLog::new(lines, clock.clone(), ProcessCounters::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket option");
    let (answers, answered) = bounded::<ServerRunsMessage>(64);
    let mut kernel: Kernel<ServiceName> = Kernel::default();
    let limits = ProcessLimits::default();
    let front = ServerFront { clock, server_address, limits, counters: ProcessCounters::default() };
    kernel
        .register::<ServerFrontMessage, _>(ServiceName::ServerFront, 64, move |ring, registry| {
            front.run(&ring, &registry, log, listener);
        })
        .expect("the name is free");
    kernel
        .register::<ServerRunsMessage, _>(ServiceName::ServerRuns, 64, |ring, _registry| {
            while !matches!(ring.pop(None), PopResult::Closed) {}
        })
        .expect("the name is free");
    let registry = kernel.start().expect("threads start");
    let calls = registry.find::<ServerFrontMessage>(ServiceName::ServerFront).expect("registered");
    for index in 0..CALLS {
        let lease = if index + 1 == CALLS { SHORT_LEASE } else { LONG_LEASE };
        let call = start(server_address, index, lease);
        let done = answers.reserve().expect("a free slot");
        assert!(calls.push(ServerFrontMessage::Call { call, done }).is_ok());
    }
    let deadline = Instant::now() + PATIENCE;
    let mut refused = Vec::new();
    for _ in 0..CALLS {
        let PopResult::Message(ServerRunsMessage::Answer { call, answer, .. }) =
            answered.pop(Some(deadline))
        else {
            panic!("each call is answered");
        };
        if answer == ServerAnswer::NotSent {
            refused.push(call.valid_until);
        }
    }
    assert_matches!(requests.pop(Some(deadline)), PopResult::Message(_), "others are sent");
    let sent: Vec<String> = std::iter::from_fn(|| requests.try_next()).collect();
    let last = format!(".0.0.{}", CALLS - 1);
    assert!(!sent.iter().any(|text| text.contains(&last)), "sent after its lease: {sent:?}");
    assert_eq!(refused.len(), 1);
    kernel.stop();
}
