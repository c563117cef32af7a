//! Fast and slow backend servers: which tasks run where.

use decisions::schedule::TaskHurry;

const FAST: f64 = 0.6;
const SLOW: f64 = 1.6;

/// A task whose caller waits much longer than it may take.
fn hurry(left: f64) -> TaskHurry {
    TaskHurry::new(left, 10.0, [FAST, SLOW, SLOW, SLOW].into_iter())
}

#[test]
fn short_leaves_fast_free() {
    let short = hurry(2.6);
    assert!(short.cost(FAST, 0.1) < short.cost(SLOW, 0.1), "an empty fast server is best");
    assert!(short.cost(SLOW, 0.6) < short.cost(FAST, 0.4), "the rest of it is left to others");
}

#[test]
fn long_takes_fast() {
    let long = hurry(1.4);
    assert!(long.cost(FAST, 0.9) < long.cost(SLOW, 0.0));
}

#[test]
fn long_waits_for_fast() {
    let long = hurry(1.4);
    assert!(long.should_wait(SLOW));
    assert!(!long.should_wait(FAST));
}

#[test]
fn late_waits_for_nobody() {
    let late = hurry(0.3);
    assert!(!late.should_wait(SLOW), "it ends late anywhere");
    assert!(late.cost(FAST, 0.9) < late.cost(SLOW, 0.0), "and least late where it is fast");
}

#[test]
fn equals_share() {
    let equal = TaskHurry::new(2.6, 10.0, [1.0, 1.0].into_iter());
    assert!(equal.cost(1.0, 0.2) < equal.cost(1.0, 0.3));
}

#[test]
fn uneven_waits_for_fast() {
    // Its caller leaves after 1.6 run times; some tasks of a step take as long.
    let uneven = TaskHurry::new(1.6, 1.6, [FAST, 1.3, 1.3].into_iter());
    assert!(uneven.should_wait(1.3));
    assert!(!uneven.should_wait(FAST));
}

#[test]
fn patient_caller_needs_no_wait() {
    // It may end late on a slow server, but not after its caller has left.
    let patient = TaskHurry::new(1.6, 7.0, [FAST, 1.3, 1.3].into_iter());
    assert!(!patient.should_wait(1.3));
}
