//! Backend servers that turn slow or stand still, and recover.

use std::time::{Duration, Instant};

use decisions::schedule::LearntSpeed;

const ESTIMATE: Duration = Duration::from_millis(100);

fn steady(now: Instant, ran: u64) -> LearntSpeed {
    let mut speed = LearntSpeed::new(now);
    for _ in 0..40 {
        speed.learn_end(now, Duration::from_millis(ran), ESTIMATE);
    }
    speed
}

#[test]
fn first_runs_teach_most() {
    let now = Instant::now();
    let mut speed = LearntSpeed::new(now);
    speed.learn_end(now, ESTIMATE * 2, ESTIMATE);
    assert!((speed.slowness() - 2.0).abs() < 0.01);
}

#[test]
fn standing_runs_teach() {
    let now = Instant::now();
    let mut speed = steady(now, 100);
    for tenths in 3..9 {
        speed.learn_overdue(now, ESTIMATE * tenths, ESTIMATE);
    }
    assert!(speed.slowness() > 2.0, "{}", speed.slowness());
}

#[test]
fn overdue_never_speeds_up() {
    let now = Instant::now();
    let mut speed = steady(now, 900);
    let before = speed.slowness();
    speed.learn_overdue(now, ESTIMATE * 3, ESTIMATE);
    assert!(speed.slowness() >= before);
}

#[test]
fn quiet_server_recovers() {
    let now = Instant::now();
    let mut speed = steady(now, 100);
    for _ in 0..20 {
        speed.learn_end(now, ESTIMATE * 6, ESTIMATE);
    }
    let slow = speed.slowness();
    speed.recover(now + Duration::from_millis(900));
    assert_eq!(speed.slowness(), slow, "it was just seen");
    for step in 0..20 {
        speed.recover(now + Duration::from_millis(1_000 + 250 * step));
    }
    assert!(speed.slowness() < slow / 1.5, "{}", speed.slowness());
}

#[test]
fn estimate_of_zero_teaches_nothing() {
    let now = Instant::now();
    let mut speed = steady(now, 100);
    speed.learn_end(now, ESTIMATE, Duration::ZERO);
    speed.learn_overdue(now, ESTIMATE, Duration::ZERO);
    assert!((speed.slowness() - 1.0).abs() < 0.01);
}
