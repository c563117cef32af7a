//! Placement of tasks among fast and slow backend servers, by how urgent they
//! are. Guards against long tasks that end late because short ones take the capacity
//! of the fast servers. Times are multiples of the task's estimated run time, so the
//! deadline of a short task is further away than that of a long one.

use decisions::schedule::{RunTimeRange, TaskUrgency};

/// Run time on a fast server.
const FAST: f64 = 0.6;
/// Run time on a slow server.
const SLOW: f64 = 1.6;

/// A task with its deadline after `remaining`; its caller waits much longer, for 10.
fn urgency(remaining: f64) -> TaskUrgency {
    TaskUrgency::new(remaining, 10.0, RunTimeRange::from_iter([FAST, SLOW, SLOW, SLOW]))
}

#[test]
fn short_spares_fast() {
    let short = urgency(2.6);
    assert!(short.cost(FAST, 0.1) < short.cost(SLOW, 0.1), "a nearly idle fast server costs least");
    assert!(
        short.cost(SLOW, 0.6) < short.cost(FAST, 0.4),
        "a fast server's remaining capacity is kept for urgent tasks"
    );
}

// Guards against a reserve of fast servers that is lost as soon as one server turns
// slow, since the mean and the slowest of all run times decided on it.
#[test]
fn slow_server_keeps_reserve() {
    let range = RunTimeRange::from_iter([FAST, 1.2, 1.2, 7.0]);
    let short = TaskUrgency::new(2.6, 10.0, range);
    assert!(short.is_reserved(FAST, 0.6), "it meets its deadline on most servers");
    assert!(!short.is_reserved(1.2, 0.6), "most servers are not fast");
}

// Guards against short tasks that refill each fast server as soon as it has free
// capacity, so that another entry's long tasks never find any.
#[test]
fn fast_capacity_kept() {
    let short = urgency(2.6);
    assert!(short.is_kept(FAST, 0.8), "the rest of a fast server is kept for long tasks");
    assert!(!short.is_kept(FAST, 0.7));
    assert!(!short.is_kept(SLOW, 0.9), "slow servers are kept for nobody");
    assert!(!urgency(1.4).is_kept(FAST, 0.9), "a long task takes what was kept");
}

#[test]
fn long_prefers_fast() {
    let long = urgency(1.4);
    assert!(long.cost(FAST, 0.9) < long.cost(SLOW, 0.0));
}

#[test]
fn long_waits_for_fast() {
    let long = urgency(1.4);
    assert!(long.should_wait(SLOW));
    assert!(!long.should_wait(FAST));
}

#[test]
fn late_never_waits() {
    let late = urgency(0.3);
    assert!(!late.should_wait(SLOW), "it ends late on every server, so waiting gains nothing");
    assert!(late.cost(FAST, 0.9) < late.cost(SLOW, 0.0), "and it is least late on a fast server");
}

#[test]
fn equal_servers_balance() {
    let equal = TaskUrgency::new(2.6, 10.0, RunTimeRange::from_iter([1.0, 1.0]));
    assert!(equal.cost(1.0, 0.2) < equal.cost(1.0, 0.3));
}

#[test]
fn uneven_step_waits() {
    // The caller leaves after 1.6 estimated run times. Tasks of a step may run
    // longer than their common estimate, some as long as that.
    let uneven = TaskUrgency::new(1.6, 1.6, RunTimeRange::from_iter([FAST, 1.3, 1.3]));
    assert!(uneven.should_wait(1.3));
    assert!(!uneven.should_wait(FAST));
}

#[test]
fn patient_caller_skips_wait() {
    // The task may end late on a slow server, but before its caller leaves.
    let patient = TaskUrgency::new(1.6, 7.0, RunTimeRange::from_iter([FAST, 1.3, 1.3]));
    assert!(!patient.should_wait(1.3));
}
