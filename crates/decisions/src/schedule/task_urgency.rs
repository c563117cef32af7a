//! How much a task is in a hurry, and what that means for where it runs.
//!
//! Answers the pattern *mixed speeds*: long tasks end in time only on the
//! fastest backend servers, short ones end in time on any. Short ones leave
//! most of the room of the fast servers free, and a long one rather waits for
//! a fast server than starts at once on one where it surely ends late.

/// Run times that are learnt are off by less than this factor, mostly.
const RUN_TIME_MARGIN: f64 = 1.1;
/// Tasks of a step run longer than their common estimate by less than this
/// factor, mostly.
const STEP_MARGIN: f64 = 1.5;
/// A server is fast when its run times are below this share of the mean.
const FAST_SHARE: f64 = 0.8;
/// Share of a fast server's room that tasks with time to spare may fill.
const RESERVE_THRESHOLD: f64 = 0.35;
/// How much a full server counts against itself, for each run time of slack.
const UTILIZATION_WEIGHT: f64 = 2.0;
/// Least slack that counts, so that equal servers share.
const MIN_SLACK: f64 = 0.1;
/// Cost of a server that is to be left to others, and of one where the task
/// surely ends late; above the cost of any other.
const RESERVED_COST: f64 = 1_000.0;
const LATE_COST: f64 = 1_000_000.0;

/// A task's hurry among the servers that suit it. Times are multiples of its
/// estimated run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskHurry {
    /// Until it is late.
    remaining: f64,
    /// Until its caller stops waiting.
    caller_remaining: f64,
    fastest: f64,
    slowest: f64,
    mean: f64,
}

impl TaskHurry {
    /// A task with this much time left until it is late, and until its caller
    /// stops waiting, among servers of these run times.
    pub fn new(
        remaining: f64,
        caller_remaining: f64,
        run_times: impl Iterator<Item = f64>,
    ) -> TaskHurry {
        let (mut fastest, mut slowest, mut sum, mut count) = (f64::INFINITY, 0.0_f64, 0.0, 0.0);
        for run_time in run_times {
            fastest = fastest.min(run_time);
            slowest = slowest.max(run_time);
            sum += run_time;
            count += 1.0;
        }
        TaskHurry {
            remaining,
            caller_remaining,
            fastest,
            slowest,
            mean: sum / f64::max(count, 1.0),
        }
    }

    /// What it costs to run the task on a server; the least is best.
    pub fn cost(&self, run_time: f64, utilization: f64) -> f64 {
        if run_time * RUN_TIME_MARGIN > self.remaining {
            return LATE_COST * run_time;
        }
        let slack = (self.remaining - 1.0).max(MIN_SLACK);
        let cost = run_time * (1.0 + UTILIZATION_WEIGHT * slack * utilization);
        if self.is_reserved(run_time, utilization) { RESERVED_COST + cost } else { cost }
    }

    /// Whether the rest of a server's room is for tasks that need it more.
    pub fn is_reserved(&self, run_time: f64, utilization: f64) -> bool {
        self.meets_deadline_anywhere() && self.is_fast(run_time) && utilization > RESERVE_THRESHOLD
    }

    /// Whether the task ends in time wherever it runs.
    fn meets_deadline_anywhere(&self) -> bool {
        self.slowest * RUN_TIME_MARGIN <= self.remaining
    }

    fn is_fast(&self, run_time: f64) -> bool {
        run_time < FAST_SHARE * self.mean
    }

    /// Whether a server that has room now is worse than waiting for a faster
    /// one: the task ends late on this one, or may well not end before its
    /// caller has left, and may yet end in time on that.
    pub fn should_wait(&self, run_time: f64) -> bool {
        self.meets_deadline_by_waiting(run_time, self.remaining, RUN_TIME_MARGIN)
            || self.meets_deadline_by_waiting(run_time, self.caller_remaining, STEP_MARGIN)
    }

    fn meets_deadline_by_waiting(&self, run_time: f64, remaining: f64, margin: f64) -> bool {
        run_time * margin > remaining && self.fastest * margin <= remaining
    }
}
