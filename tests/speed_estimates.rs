//! Speed estimates of backend servers that become slow, stall and recover. If only
//! ended runs counted, a stalled server would still get tasks; if an estimate never
//! decayed, a server that was slow once would stay without tasks.

use std::time::{Duration, Instant};

use decisions::schedule::SpeedEstimate;

const ESTIMATE: Duration = Duration::from_millis(100);

/// The estimate after 40 runs that each took `run_ms`.
fn steady_speed(now: Instant, run_ms: u64) -> SpeedEstimate {
    let mut speed = SpeedEstimate::new(now);
    for _ in 0..40 {
        speed.add_sample(now, Duration::from_millis(run_ms), ESTIMATE);
    }
    speed
}

#[test]
fn first_run_weighs_most() {
    let now = Instant::now();
    let mut speed = SpeedEstimate::new(now);
    speed.add_sample(now, ESTIMATE * 2, ESTIMATE);
    assert!((speed.slowness() - 2.0).abs() < 0.01);
}

#[test]
fn overdue_runs_count() {
    let now = Instant::now();
    let mut speed = steady_speed(now, 100);
    for multiple in 3..9 {
        speed.add_overdue_sample(now, ESTIMATE * multiple, ESTIMATE);
    }
    assert!(speed.slowness() > 2.0, "{}", speed.slowness());
}

#[test]
fn overdue_never_lowers_slowness() {
    let now = Instant::now();
    let mut speed = steady_speed(now, 900);
    let before = speed.slowness();
    speed.add_overdue_sample(now, ESTIMATE * 3, ESTIMATE);
    assert!(speed.slowness() >= before);
}

#[test]
fn idle_server_recovers() {
    let now = Instant::now();
    let mut speed = steady_speed(now, 100);
    for _ in 0..20 {
        speed.add_sample(now, ESTIMATE * 6, ESTIMATE);
    }
    let slowness = speed.slowness();
    speed.decay(now + Duration::from_millis(900));
    assert_eq!(speed.slowness(), slowness, "recovery starts after 1 s without runs");
    for step in 0..20 {
        speed.decay(now + Duration::from_millis(1_000 + 250 * step));
    }
    assert!(speed.slowness() < slowness / 1.5, "{}", speed.slowness());
}

/// The latest eight runs are those of two or three jobs, so an error of one job must not
/// replace the agent's figure, which is based on many.
#[test]
fn reported_speed_preferred() {
    let now = Instant::now();
    let reported = Some(0.8);
    for run_ms in [40, 100, 150] {
        let speed = steady_speed(now, run_ms);
        assert!((speed.slowness_with(reported) - 0.8).abs() < 0.001, "{run_ms} ms");
    }
}

/// A server that stands still is not given more tasks until its agent has reported that.
#[test]
fn own_runs_blended() {
    let now = Instant::now();
    let mut speed = steady_speed(now, 100);
    for _ in 0..20 {
        speed.add_sample(now, ESTIMATE * 8, ESTIMATE);
    }
    let reported = Some(1.0);
    let slowness = speed.slowness_with(reported);
    assert!(slowness > 3.0 && slowness < speed.slowness(), "{slowness}");
}

#[test]
fn zero_estimate_ignored() {
    let now = Instant::now();
    let mut speed = steady_speed(now, 100);
    speed.add_sample(now, ESTIMATE, Duration::ZERO);
    speed.add_overdue_sample(now, ESTIMATE, Duration::ZERO);
    assert!((speed.slowness() - 1.0).abs() < 0.01);
}
