//! Urgency of a task, and the cost function for its placement.
//!
//! Handles the load pattern *mixed speeds*: long tasks meet their deadline only
//! on the fastest backend servers, short ones on any. Short tasks leave most of
//! the capacity of fast servers free, and a long task waits for a fast server
//! rather than start at once on one where it is expected to end late. In an overload
//! short tasks take more, but not the last part, which long tasks of other schedulers
//! would never find free otherwise.
//!
//! Handles the load pattern *rough estimates*: a task that is expected to end in time on
//! every server may outlast its caller on a slow one, since its estimate may be too short.
//! The probability of that is a part of the cost.

/// Margin on estimated run times; most estimates are off by a smaller factor.
const RUN_TIME_MARGIN: f64 = 1.1;
/// Margin on estimated run times against the end of the caller's wait. The tasks
/// of a step share one estimate, which most exceed by a smaller factor.
const STEP_MARGIN: f64 = 1.5;
/// Share of the estimated run time in which a run may end after all, since
/// estimates are rough.
pub(super) const MIN_RUN_TIME_SHARE: f64 = 0.6;
/// Share of the median run time below which a server counts as fast.
const FAST_SHARE: f64 = 0.8;
/// Utilization of a fast server above which the rest of its capacity is
/// reserved for tasks that meet their deadline only on fast servers.
const RESERVE_THRESHOLD: f64 = 0.35;
/// Utilization of a fast server above which the rest of its capacity is kept free
/// for tasks that accept only fast servers, while there are any.
const KEEP_THRESHOLD: f64 = 0.75;
/// Weight of a server's utilization in its cost, for each run time of slack.
const UTILIZATION_WEIGHT: f64 = 2.0;
/// Lower bound on slack, in estimated run times, so that load is balanced between
/// equal servers.
const MIN_SLACK: f64 = 0.1;
/// Cost added for a server whose free capacity is reserved for others; above the
/// cost of any other server on which the task ends in time.
const RESERVED_COST: f64 = 1_000.0;
/// Cost per run time of a server on which the task is expected to end late; above
/// all other costs.
const LATE_COST: f64 = 1_000_000.0;
/// Cost of a task that outlasts its caller, in estimated run times: what it has used is
/// wasted, and its caller has waited in vain. Below the cost of reserved capacity.
const OUTLAST_COST: f64 = 10.0;
/// Factor that makes the logistic function approximate the normal distribution.
const LOGISTIC_SCALE: f64 = 1.702;

/// Run times of a task on its eligible servers, as multiples of its estimated
/// run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTimeRange {
    fastest: f64,
    /// Unlike a mean, it does not move when a few servers turn slow.
    median: f64,
}

impl FromIterator<f64> for RunTimeRange {
    fn from_iter<I: IntoIterator<Item = f64>>(run_times: I) -> RunTimeRange {
        let mut run_times: Vec<f64> = run_times.into_iter().collect();
        run_times.sort_by(f64::total_cmp);
        RunTimeRange {
            fastest: run_times.first().copied().unwrap_or(f64::INFINITY),
            median: run_times.get(run_times.len() / 2).copied().unwrap_or(0.0),
        }
    }
}

/// Urgency of a task relative to the servers that are eligible for it. Times
/// are multiples of its estimated run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskUrgency {
    /// Time left until its deadline.
    remaining: f64,
    /// Time left until its caller stops waiting.
    caller_remaining: f64,
    range: RunTimeRange,
    /// Standard deviation of the natural logarithm of run times over estimates; 0 takes
    /// estimates as exact.
    estimate_spread: f64,
}

impl TaskUrgency {
    /// Margin on estimated run times against the deadline.
    pub(super) const MARGIN: f64 = RUN_TIME_MARGIN;

    /// Creates the urgency of a task from the time left until its deadline and
    /// until its caller stops waiting, and the run times on eligible servers.
    pub fn new(remaining: f64, caller_remaining: f64, range: RunTimeRange) -> TaskUrgency {
        TaskUrgency { remaining, caller_remaining, range, estimate_spread: 0.0 }
    }

    /// Sets the spread of run times over estimates: the standard deviation of the natural
    /// logarithm of their ratio.
    pub fn with_estimate_spread(self, estimate_spread: f64) -> TaskUrgency {
        TaskUrgency { estimate_spread, ..self }
    }

    /// Cost of placing the task on a server; the lowest is best. `utilization` is
    /// the share of the server's capacity in use.
    pub fn cost(&self, run_time: f64, utilization: f64) -> f64 {
        if self.is_late(run_time) {
            return LATE_COST * run_time;
        }
        let run_cost = run_time * (1.0 + UTILIZATION_WEIGHT * self.slack() * utilization);
        let cost = run_cost + OUTLAST_COST * self.outlast_probability(run_time);
        if self.is_reserved(run_time, utilization) { RESERVED_COST + cost } else { cost }
    }

    /// Part of the cost of a server on which the task ends in time that stems from its
    /// utilization.
    pub(super) fn utilization_cost(&self, run_time: f64, utilization: f64) -> f64 {
        run_time * UTILIZATION_WEIGHT * self.slack() * utilization
    }

    fn slack(&self) -> f64 {
        (self.remaining - 1.0).max(MIN_SLACK)
    }

    /// Whether a run of this run time that starts now is expected to end after the deadline.
    pub(super) fn is_late(&self, run_time: f64) -> bool {
        run_time * RUN_TIME_MARGIN > self.remaining
    }

    /// Run time on the fastest server.
    pub(super) fn fastest(&self) -> f64 {
        self.range.fastest
    }

    /// Whether a server's free capacity is reserved for more urgent tasks.
    pub fn is_reserved(&self, run_time: f64, utilization: f64) -> bool {
        !self.needs_fast() && self.is_fast(run_time) && utilization > RESERVE_THRESHOLD
    }

    /// Whether a server's free capacity is kept for tasks that accept only fast servers,
    /// while there are such tasks; others wait for another server.
    pub fn is_kept(&self, run_time: f64, utilization: f64) -> bool {
        !self.needs_fast() && self.is_fast(run_time) && utilization > KEEP_THRESHOLD
    }

    /// Whether the task accepts only servers that are faster than most.
    pub fn needs_fast(&self) -> bool {
        self.range.median > self.max_run_time()
    }

    /// Whether a run of this run time that starts now is expected to end after its caller
    /// has stopped waiting.
    pub fn outlasts_caller(&self, run_time: f64) -> bool {
        run_time > self.caller_remaining
    }

    /// Probability that a run of this expected run time that starts now ends after its caller
    /// has stopped waiting, from 0 to 1.
    pub fn outlast_probability(&self, run_time: f64) -> f64 {
        if self.estimate_spread <= 0.0 || self.caller_remaining.is_infinite() {
            return 0.0;
        }
        let margin = (self.caller_remaining / run_time).ln() / self.estimate_spread;
        1.0 / (1.0 + (LOGISTIC_SCALE * margin).exp())
    }

    fn is_fast(&self, run_time: f64) -> bool {
        run_time < FAST_SHARE * self.range.median
    }

    /// Whether the task should wait for a faster server rather than start on one
    /// with free capacity.
    pub fn should_wait(&self, run_time: f64) -> bool {
        run_time > self.max_run_time()
    }

    /// Longest run time that the task accepts rather than wait for a faster server:
    /// on a slower one it is expected to end late, or after its caller has stopped
    /// waiting. If it ends late on the fastest one too, any on which it ends while its
    /// caller waits.
    pub fn max_run_time(&self) -> f64 {
        let by_deadline = self.max_run_time_within(self.remaining, RUN_TIME_MARGIN);
        let by_caller = self.max_run_time_within(self.caller_remaining, STEP_MARGIN);
        by_deadline.min(by_caller).min(self.caller_remaining / MIN_RUN_TIME_SHARE)
    }

    fn max_run_time_within(&self, remaining: f64, margin: f64) -> f64 {
        let run_time = remaining / margin;
        if self.range.fastest <= run_time { run_time } else { f64::INFINITY }
    }
}
