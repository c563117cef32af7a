//! Where a control host sends operators that it can't serve. Guards against a host that has
//! been elected and holds no lease yet, or not any more, and sends them to itself: they use
//! up their redirects there, and no answer is clear.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kernel::{Kernel, PopResult, Registry, RingReceiver, SharedClock, SystemClock};
use model::{
    Command, ControlReply, ControlReplyBody, EventLog, LeaderHint, LogLine, LogMessage,
    ProcessCounters, ProcessLimits, ServiceName,
};
use platform::OperatorFront;

/// Slots of each ring.
const RING_SLOTS: usize = 64;
/// Bound on the wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn control_host(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, number), 7000))
}

/// The answer of host 1 to a request, and the commands that it proposed for it.
pub(crate) struct FrontAnswer {
    /// Status line, headers and body.
    pub(crate) text: String,
    pub(crate) commands: Vec<Command>,
}

/// Sends a request without a body to host 1, whose replicated log gives this reply. `request` is
/// its method and path.
pub(crate) fn ask_front(request: &str, body: ControlReplyBody) -> FrontAnswer {
    let mut kernel: Kernel<ServiceName> = Kernel::default();
    let proposed: Arc<Mutex<Vec<Command>>> = Arc::default();
    let seen = Arc::clone(&proposed);
    let run_log = move |ring: RingReceiver<LogMessage>, _| {
        while let PopResult::Message(message) = ring.pop(None) {
            let (call, reply) = match message {
                LogMessage::Query { call, reply, .. } => (call, reply),
                LogMessage::Propose { call, commands, reply } => {
                    seen.lock().expect("lock is not poisoned").extend(commands);
                    (call, reply)
                }
                _ => continue,
            };
            reply.push(ControlReply { call, body: body.clone() });
        }
    };
    kernel.register(ServiceName::ReplicatedLog, RING_SLOTS, run_log).expect("the name is free");
    let drop_lines =
        |ring: RingReceiver<LogLine>, _| while let PopResult::Message(_) = ring.pop(None) {};
    kernel.register(ServiceName::LogWriter, RING_SLOTS, drop_lines).expect("the name is free");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has a free port");
    listener.set_nonblocking(true).expect("the mode can be set");
    let address = listener.local_addr().expect("the listener has an address");
    let run_front = move |ring: RingReceiver<ControlReply>, registry: Registry<ServiceName>| {
        let lines = registry.find(ServiceName::LogWriter).expect("the log writer is registered");
        let clock: SharedClock = Arc::new(SystemClock);
        let log = EventLog::new(lines, clock, ProcessCounters::default());
        let front = OperatorFront {
            host: control_host(1),
            port: 8000,
            clock: Arc::new(SystemClock),
            limits: ProcessLimits::default(),
            counters: ProcessCounters::default(),
        };
        front.run(&ring, &registry, log, listener);
    };
    kernel.register(ServiceName::OperatorFront, RING_SLOTS, run_front).expect("the name is free");
    kernel.start().expect("the duties start");
    let mut stream = TcpStream::connect(address).expect("the front listens");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("the timeout can be set");
    let request = format!("{request} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the answer ends");
    kernel.stop();
    let commands = proposed.lock().expect("lock is not poisoned").clone();
    FrontAnswer { text, commands }
}

/// The reply of a log whose host names this leader.
pub(crate) fn not_leader(leader: Option<SocketAddr>) -> ControlReplyBody {
    ControlReplyBody::NotLeader(LeaderHint { leader, term: 2, ..LeaderHint::default() })
}

/// The answer to a read while host 1 names `leader`.
fn answer_to_read(leader: Option<SocketAddr>) -> String {
    ask_front("GET /cactuswing/config", not_leader(leader)).text
}

#[test]
fn own_name_not_followed() {
    let answer = answer_to_read(Some(control_host(1)));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

#[test]
fn leader_followed() {
    let answer = answer_to_read(Some(control_host(2)));
    assert!(answer.starts_with("HTTP/1.1 307"), "{answer}");
    assert!(answer.contains("http://10.1.0.2:8000/cactuswing/config"), "{answer}");
}

#[test]
fn unknown_leader_awaited() {
    let answer = answer_to_read(None);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}
