//! Which connections a listener closes when its limits are reached, without a network.
//! Guards against clients that stop halfway and keep others out, and against requests that
//! are given up although they were read in full.

use std::time::{Duration, Instant};

use decisions::connections::{
    ConnectionId, ConnectionTable, ListenerKind, ListenerLimits, OpenStep, ReserveStep,
};
use model::{CloseCause, ProcessLimits};

const KB: u64 = 1_024;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits(max_connections: usize, max_held_bytes: u64) -> ListenerLimits {
    let process = ProcessLimits::default();
    let usual = ListenerLimits::new(ListenerKind::Clients, process);
    ListenerLimits { max_connections, max_held_bytes, ..usual }
}

fn accepted(step: OpenStep) -> ConnectionId {
    match step {
        OpenStep::Accept(id) => id,
        other => panic!("{other:?} in place of an accepted connection"),
    }
}

/// A connection whose request stops after this many bytes of its body.
fn stopped_body(table: &mut ConnectionTable, now: Instant, bytes: u64) -> ConnectionId {
    let id = accepted(table.on_connect(now));
    table.on_bytes(now, id, 100);
    table.on_request(now, id);
    table.on_body_start(now, id);
    table.on_bytes(now, id, bytes);
    assert_eq!(table.reserve(now, id, bytes), ReserveStep::Grant(Vec::new()));
    id
}

#[test]
fn slowest_gives_way() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(3, 1_000 * KB));
    let fast = stopped_body(&mut table, start, 200 * KB);
    let slow = stopped_body(&mut table, start, 10 * KB);
    let idle = accepted(table.on_connect(start));
    let later = start + ms(1_000);
    let OpenStep::Replace(newest, victim) = table.on_connect(later) else {
        panic!("one gives way")
    };
    assert_eq!(victim, slow);
    let OpenStep::Replace(_, victim) = table.on_connect(later) else { panic!("one gives way") };
    assert_eq!(victim, fast, "an idle connection is no burden");
    let OpenStep::Replace(_, victim) = table.on_connect(later) else { panic!("one gives way") };
    assert_eq!(victim, idle);
    let OpenStep::Replace(_, victim) = table.on_connect(later) else { panic!("one gives way") };
    assert_eq!(victim, newest, "the oldest of the new ones");
    assert_eq!(table.open_count(), 3);
}

#[test]
fn oldest_of_equals() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(2, 0));
    let ids: Vec<ConnectionId> = [0, 10]
        .map(|at| {
            let id = accepted(table.on_connect(start + ms(at)));
            table.on_bytes(start + ms(at), id, 0);
            id
        })
        .to_vec();
    let step = table.on_connect(start + ms(2_000));
    assert!(matches!(step, OpenStep::Replace(_, victim) if victim == ids[0]), "{step:?}");
}

// A request that was read in full may have an effect: its caller is to get the answer.
#[test]
fn served_kept() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(1, 100 * KB));
    let id = stopped_body(&mut table, start, 100 * KB);
    table.on_body_end(start, id);
    let later = start + ms(60_000);
    assert_eq!(table.on_connect(later), OpenStep::Refuse);
    assert_eq!(table.overdue(later), Vec::<ConnectionId>::new());
    table.on_reply(later, id);
    table.release(id);
    assert_eq!(table.held_bytes(), 0);
    table.on_flushed(later, id);
    let step = table.on_connect(later + ms(1_000));
    assert!(matches!(step, OpenStep::Replace(_, victim) if victim == id), "{step:?}");
}

#[test]
fn bytes_stay_bounded() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(100, 300 * KB));
    let stopped: Vec<ConnectionId> =
        (0..3).map(|number| stopped_body(&mut table, start + ms(number), 100 * KB)).collect();
    let later = start + ms(1_000);
    let id = accepted(table.on_connect(later));
    table.on_request(later, id);
    table.on_body_start(later, id);
    let step = table.reserve(later, id, 150 * KB);
    assert_eq!(step, ReserveStep::Grant(vec![stopped[0], stopped[1]]));
    assert_eq!(table.held_bytes(), 250 * KB);
    assert_eq!(table.reserve(later, id, 301 * KB), ReserveStep::Refuse, "above all limits");
    // Connections that were told to close free nothing twice.
    for id in stopped {
        table.on_closed(id);
    }
    table.on_closed(id);
    assert_eq!((table.held_bytes(), table.open_count()), (0, 0));
}

// Stopped bodies that fill the budget must not keep a job out that was read in full.
#[test]
fn read_request_first() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(100, 200 * KB));
    let id = stopped_body(&mut table, start, KB);
    table.on_body_end(start, id);
    let stopped = stopped_body(&mut table, start, 199 * KB);
    let step = table.reserve(start, id, 10 * KB);
    assert_eq!(step, ReserveStep::Grant(vec![stopped]));
    assert_eq!(table.held_bytes(), 11 * KB);
}

// A stopped request that goes on must not push out one that arrives at its usual speed.
#[test]
fn slow_pushes_none() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(100, 200 * KB));
    let slow = stopped_body(&mut table, start, 50 * KB);
    let later = start + ms(1_000);
    let _fast = stopped_body(&mut table, later, 150 * KB);
    assert_eq!(table.reserve(later, slow, KB), ReserveStep::Refuse);
}

#[test]
fn overdue_closed() {
    let start = Instant::now();
    let limits = limits(100, 1_000 * KB);
    let mut table = ConnectionTable::new(start, limits);
    let idle = accepted(table.on_connect(start));
    let head = accepted(table.on_connect(start));
    table.on_bytes(start, head, 10);
    let body = stopped_body(&mut table, start, KB);
    let steady = stopped_body(&mut table, start, KB);
    let reader = accepted(table.on_connect(start));
    table.on_request(start, reader);
    table.on_reply(start, reader);
    let mut closed = Vec::new();
    for step in 1..=160 {
        let now = start + ms(100 * step);
        if step < 90 {
            table.on_bytes(now, steady, 4 * KB);
        }
        if step == 90 {
            table.on_body_end(now, steady);
        }
        closed.extend(table.overdue(now));
    }
    assert_eq!(closed, vec![body, head, reader, idle]);
    let summary = table.take_summary(start + ms(16_000)).expect("something was closed");
    let expected = [
        (CloseCause::SlowHead, 1),
        (CloseCause::SlowBody, 1),
        (CloseCause::SlowReader, 1),
        (CloseCause::Idle, 1),
    ];
    assert_eq!(summary.closed, expected);
    assert_eq!(table.take_summary(start + ms(20_000)), None, "nothing happened since");
}

// The configuration's times hold for connections that are open already.
#[test]
fn timeouts_configured() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(100, 0));
    let idle = accepted(table.on_connect(start));
    table.set_timeouts(ms(100), ms(200));
    assert_eq!(table.overdue(start + ms(150)), Vec::<ConnectionId>::new());
    assert_eq!(table.overdue(start + ms(250)), vec![idle]);
    assert_eq!(table.overdue(start + ms(300)), Vec::<ConnectionId>::new(), "told once");
}

// Hosts of the sizes in use: what their ordinary callers need fits many times.
#[test]
fn usual_hosts_suffice() {
    for (memory_mb, max_fds) in [(120, 3_075), (160, 4_100), (400, 10_250)] {
        let process = ProcessLimits { memory_mb, max_fds };
        let callers = ListenerLimits::new(ListenerKind::Clients, process);
        let probes = ListenerLimits::new(ListenerKind::Probes, process);
        // 95 jobs a second, each of which waits for up to 1.5 s.
        assert!(callers.max_connections >= 3 * 143, "{callers:?}");
        assert!(callers.max_held_bytes >= 90 * 262_144, "{callers:?}");
        assert!(probes.max_connections >= 16, "{probes:?}");
        let descriptors = callers.max_connections + probes.max_connections;
        assert!(descriptors as u64 <= max_fds * 2 / 3, "{callers:?}");
    }
}

#[test]
fn memory_returned_once() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(100, 10_000 * KB));
    let id = stopped_body(&mut table, start, 4_000 * KB);
    let now = start + ms(10_000);
    assert!(!table.take_burst_end(now), "it lasts");
    table.on_closed(id);
    assert!(table.take_burst_end(now));
    assert!(!table.take_burst_end(now + ms(10_000)));
}

// A process whose first call takes a while to answer, beside a crowd that only connects: its
// connection must neither give way nor expire before the answer shows that it is known.
#[test]
fn answered_peer_stays() {
    let process = ProcessLimits { memory_mb: 64, max_fds: 256 };
    let limits = ListenerLimits::new(ListenerKind::Peers, process);
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits);
    let peer = accepted(table.on_connect(start));
    table.on_bytes(start, peer, 100);
    assert_eq!(table.reserve(start, peer, 100), ReserveStep::Grant(Vec::new()));
    table.on_request(start, peer);
    for number in 0..200 {
        if let OpenStep::Replace(_, victim) = table.on_connect(start + ms(number)) {
            assert_ne!(victim, peer);
        }
    }
    assert!(!table.overdue(start + ms(60_000)).contains(&peer));
    // Its answer was an error, so that it is not known.
    table.on_head_start(start + ms(60_000), peer);
    assert!(table.overdue(start + ms(75_000)).contains(&peer));
}

// A client that sends requests ahead and reads their replies too slowly had the time for a
// reply anew with each of them, and kept its connection.
#[test]
fn pipelined_reader_expires() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(3, KB));
    let slow = accepted(table.on_connect(start));
    let fast = accepted(table.on_connect(start));
    for id in [slow, fast] {
        table.on_bytes(start, id, 100);
        for millis in [0, 2_000, 4_000] {
            table.on_request(start + ms(millis), id);
            table.on_reply(start + ms(millis), id);
            if id == fast {
                table.on_flushed(start + ms(millis), id);
            }
        }
    }
    assert_eq!(table.overdue(start + ms(4_500)), Vec::<ConnectionId>::new());
    assert_eq!(table.overdue(start + ms(5_500)), vec![slow]);
}

// A request that was read in full is answered, although earlier replies wait to be read.
#[test]
fn served_request_kept() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits(3, KB));
    let slow = accepted(table.on_connect(start));
    table.on_request(start, slow);
    table.on_reply(start, slow);
    table.on_request(start + ms(4_000), slow);
    assert_eq!(table.overdue(start + ms(9_000)), Vec::<ConnectionId>::new());
    table.on_reply(start + ms(9_000), slow);
    assert_eq!(table.overdue(start + ms(9_000)), vec![slow]);
}

// An agent that has just started connects, and sends its first report only once the runs from
// before its start are over: its connection must not count as idle meanwhile.
#[test]
fn late_first_report_awaited() {
    let limits = ListenerLimits::new(ListenerKind::Peers, ProcessLimits::default());
    let start = Instant::now();
    let mut table = ConnectionTable::new(start, limits);
    let agent = accepted(table.on_connect(start));
    let silent = accepted(table.on_connect(start));
    table.on_bytes(start, agent, 1);
    assert_eq!(table.overdue(start + ms(5_000)), vec![silent]);
}
