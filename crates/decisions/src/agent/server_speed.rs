//! Learns the speed of a backend server from the runs of all schedulers, as moving averages
//! of the logarithm of run time over estimate.
//!
//! Handles the load pattern *mixed speeds*: the tasks of a job share the error of its
//! estimate, so only many jobs tell servers apart, and an agent sees those of all
//! schedulers. Handles *servers that turn slow* and *tasks that stand still*: an average
//! over a few jobs takes over while it differs much, and jobs that are overdue count in it.
//!
//! Invariants:
//! - a job counts once for the time in which it has runs here, but not for longer than
//!   [`MAX_JOB_TIME`]; so a job that takes far longer than its estimate is one sample among
//!   others;
//! - the state is that of one life of the server.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{JobId, SpeedReport};

/// Window of the long average, in jobs.
const LONG_WINDOW_JOBS: u32 = 64;
/// Window of the long average while the recent one has taken over, so that a lasting change
/// is adopted.
const ADOPTION_WINDOW_JOBS: u32 = 32;
/// Window of the recent average, in jobs.
const RECENT_WINDOW_JOBS: u32 = 6;
/// Factor between the averages above which they differ.
const DIVERGED_FACTOR: f64 = 1.8;
/// Consecutive jobs after which the recent average takes over.
const DIVERGED_JOBS: u32 = 3;
/// Factor between the averages below which they agree.
const AGREED_FACTOR: f64 = 1.4;
/// Consecutive jobs after which the long average is used again. While a server recovers, the
/// recent average passes the long one in fewer jobs.
const AGREED_JOBS: u32 = 16;
/// Bounds on the ratio that one run gives.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 20.0;
/// Multiple of its expected run time from which a run counts as overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Time from the first end of a job's run after which the job is counted even if it has more
/// runs here.
const MAX_JOB_TIME: Duration = Duration::from_secs(1);
/// Time without samples after which a raised recent average starts to decay, the interval of
/// the decay, and the share of the difference that each step removes.
const DECAY_DELAY: Duration = Duration::from_secs(1);
const DECAY_INTERVAL: Duration = Duration::from_millis(250);
const DECAY_SHARE: f64 = 0.25;
/// Difference of the averages at which the decay ends.
const DECAYED: f64 = 0.01;
/// Change of the reported figure that is logged, and reported without waiting long for
/// other messages.
const NOTABLE_FACTOR: f64 = 1.25;
/// Number of jobs from which the figure is logged.
const MIN_LOGGED_JOBS: u32 = 8;

/// A run of a job that takes or took a known time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTime {
    /// Time since the start, or from the start to the end.
    pub ran: Duration,
    /// Run time by the job's estimate.
    pub estimate: Duration,
}

impl RunTime {
    /// Logarithm of run time over estimate; `None` without an estimate.
    pub(super) fn log_ratio(&self) -> Option<f64> {
        let ratio = self.ran.as_secs_f64() / self.estimate.as_secs_f64();
        (!self.estimate.is_zero()).then(|| ratio.clamp(MIN_RATIO, MAX_RATIO).ln())
    }
}

/// Ended runs of a job that is not counted yet.
#[derive(Debug, Clone)]
struct JobSample {
    first_end_at: Instant,
    /// Sum over the completed runs.
    log_sum: f64,
    completed: u32,
    /// Highest lower bound, from runs that were stopped.
    bound: Option<f64>,
}

/// Average over the latest jobs, and whether it is used in place of the long one.
#[derive(Debug, Clone, Copy, Default)]
struct RecentAverage {
    log: f64,
    jobs: u32,
    has_taken_over: bool,
    /// Consecutive jobs that called for a change of `has_taken_over`.
    streak: u32,
}

impl RecentAverage {
    /// Adds a job, given the long average.
    fn add(&mut self, sample: f64, long: f64) {
        self.jobs = self.jobs.saturating_add(1);
        self.log += (sample - self.log) / f64::from(self.jobs.min(RECENT_WINDOW_JOBS));
        let difference = (self.log - long).abs();
        let (calls_for_change, jobs) = match self.has_taken_over {
            false => (difference > DIVERGED_FACTOR.ln(), DIVERGED_JOBS),
            true => (difference < AGREED_FACTOR.ln(), AGREED_JOBS),
        };
        self.streak = if calls_for_change { self.streak + 1 } else { 0 };
        if self.streak >= jobs {
            self.has_taken_over = !self.has_taken_over;
            self.streak = 0;
        }
    }

    /// Adds a job of which only a lower bound is known; it can only raise the average.
    fn add_bound(&mut self, bound: f64, long: f64) {
        if bound > self.log {
            self.add(bound, long);
        }
    }
}

/// Speed of one life of a backend server.
#[derive(Debug, Clone)]
pub struct ServerSpeed {
    long_log: f64,
    long_jobs: u32,
    recent: RecentAverage,
    /// The recent average with the jobs that are overdue now.
    effective: RecentAverage,
    open_jobs: IndexMap<JobId, JobSample>,
    last_sample_at: Instant,
    last_decay_at: Instant,
    logged: Option<SpeedReport>,
}

impl ServerSpeed {
    /// Creates the state of a server without samples.
    pub fn new(now: Instant) -> ServerSpeed {
        ServerSpeed {
            long_log: 0.0,
            long_jobs: 0,
            recent: RecentAverage::default(),
            effective: RecentAverage::default(),
            open_jobs: IndexMap::new(),
            last_sample_at: now,
            last_decay_at: now,
            logged: None,
        }
    }

    /// The figure to report; `None` before the first job.
    pub fn report(&self) -> Option<SpeedReport> {
        let (log, jobs) = self.figure();
        let slowness_milli = (log.exp() * 1_000.0).round() as u32;
        (jobs > 0).then_some(SpeedReport { slowness_milli, jobs })
    }

    /// Whether the recent average is used in place of the long one.
    pub fn has_recent_taken_over(&self) -> bool {
        self.effective.has_taken_over
    }

    fn figure(&self) -> (f64, u32) {
        match self.effective.has_taken_over {
            true => (self.effective.log, self.effective.jobs),
            false => (self.long_log, self.long_jobs),
        }
    }

    /// Time after its start at which a run with this estimate counts as overdue, by the jobs
    /// that have ended: those that are overdue must not raise their own bound.
    pub fn overdue_after(&self, estimate: Duration) -> Duration {
        let ended_log = if self.recent.has_taken_over { self.recent.log } else { self.long_log };
        estimate.mul_f64(ended_log.exp() * OVERDUE_FACTOR)
    }

    /// Adds a run that has done its task.
    pub fn add_completed(&mut self, now: Instant, job: &JobId, run: RunTime) {
        if let Some(log) = run.log_ratio() {
            let sample = self.open_job(now, job);
            sample.log_sum += log;
            sample.completed += 1;
        }
    }

    /// Adds a run that was stopped: its run time would have been longer.
    pub fn add_stopped(&mut self, now: Instant, job: &JobId, run: RunTime) {
        if let Some(log) = run.log_ratio() {
            let sample = self.open_job(now, job);
            sample.bound = Some(sample.bound.map_or(log, |bound| bound.max(log)));
        }
    }

    fn open_job(&mut self, now: Instant, job: &JobId) -> &mut JobSample {
        let unused = JobSample { first_end_at: now, log_sum: 0.0, completed: 0, bound: None };
        self.open_jobs.entry(job.clone()).or_insert(unused)
    }

    /// Counts the jobs that have ended here. `running` are the runs that are active,
    /// with the time since their start.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        running: impl Iterator<Item = (&'a JobId, RunTime)> + Clone,
    ) {
        let open_jobs = std::mem::take(&mut self.open_jobs);
        for (job, sample) in open_jobs {
            let is_running = running.clone().any(|(other, _)| *other == job);
            if is_running && now < sample.first_end_at + MAX_JOB_TIME {
                self.open_jobs.insert(job, sample);
            } else {
                self.count_job(now, &sample);
            }
        }
        self.decay(now);
        self.count_overdue(now, running);
    }

    fn count_job(&mut self, now: Instant, sample: &JobSample) {
        if sample.completed > 0 {
            self.last_sample_at = now;
            let mean = sample.log_sum / f64::from(sample.completed);
            let window = match self.recent.has_taken_over {
                true => ADOPTION_WINDOW_JOBS,
                false => LONG_WINDOW_JOBS,
            };
            self.long_jobs = self.long_jobs.saturating_add(1);
            self.long_log += (mean - self.long_log) / f64::from(self.long_jobs.min(window));
            self.recent.add(mean, self.long_log);
        } else if let Some(bound) = sample.bound {
            self.last_sample_at = now;
            self.recent.add_bound(bound, self.long_log);
        }
    }

    /// Adds the jobs with overdue runs to the recent average, each once, until they end.
    fn count_overdue<'a>(
        &mut self,
        now: Instant,
        running: impl Iterator<Item = (&'a JobId, RunTime)>,
    ) {
        let mut bounds: IndexMap<&JobId, f64> = IndexMap::new();
        for (job, run) in running {
            if run.ran >= self.overdue_after(run.estimate)
                && let Some(log) = run.log_ratio()
            {
                let bound = bounds.entry(job).or_insert(log);
                *bound = bound.max(log);
            }
        }
        if !bounds.is_empty() {
            self.last_sample_at = now;
        }
        self.effective = self.recent;
        for bound in bounds.into_values() {
            self.effective.add_bound(bound, self.long_log);
        }
    }

    /// Time at which [`ServerSpeed::update`] is due without a change of the runs: a recent
    /// average that shows the server to be slow decays while there are no samples, so that
    /// a server that has recovered gets work again.
    pub fn next_decay(&self) -> Option<Instant> {
        let is_raised = self.recent.has_taken_over && self.recent.log > self.long_log;
        let due = (self.last_sample_at + DECAY_DELAY).max(self.last_decay_at + DECAY_INTERVAL);
        is_raised.then_some(due)
    }

    fn decay(&mut self, now: Instant) {
        if self.next_decay().is_none_or(|due| now < due) {
            return;
        }
        self.last_decay_at = now;
        self.recent.log += (self.long_log - self.recent.log) * DECAY_SHARE;
        if self.recent.log - self.long_log < DECAYED {
            self.recent.log = self.long_log;
            self.recent.has_taken_over = false;
            self.recent.streak = 0;
        }
    }

    /// Returns the figure and the one before if it has changed by more than a quarter since
    /// it was last returned here, or is based on enough jobs for the first time.
    pub fn take_notable_change(&mut self) -> Option<(Option<SpeedReport>, SpeedReport)> {
        let report = self.report().filter(|report| report.jobs >= MIN_LOGGED_JOBS)?;
        let is_notable = self.logged.is_none_or(|logged| differs(logged, report, NOTABLE_FACTOR));
        is_notable.then(|| (self.logged.replace(report), report))
    }
}

/// Whether two figures differ by more than a factor.
pub(super) fn differs(one: SpeedReport, other: SpeedReport, factor: f64) -> bool {
    let ratio = one.slowness() / other.slowness();
    !(1.0 / factor..=factor).contains(&ratio)
}
