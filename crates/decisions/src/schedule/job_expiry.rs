//! Finds the best-effort jobs that are to be ended before their callers have left.

use std::time::{Duration, Instant};

use model::{AdmissionRule, EventLine, JobId, QueuedJob, StepIndex, later, scaled};

use super::live_job::LiveJob;
use super::scheduler::Scheduler;
use super::start_bounds::{ExpiryCause, StartBounds, StartVerdict};
use super::start_forecast::StartForecast;

/// Assumed ratio of the whole run time of a run that is stopped to its run time so far: the
/// mean for a log-normal distribution of the spread that estimates have (0.4). Without it no
/// run would ever count as longer than its caller waits.
const STOPPED_RUN_FACTOR: f64 = 1.25;
/// Share of the jobs of a queue that end sooner than is expected.
const MEDIAN: f64 = 0.5;

/// A job that is to be ended.
pub(super) struct ExpiredJob {
    pub(super) id: JobId,
    pub(super) cause: ExpiryCause,
    /// Time for which no agent grants its claim, as far as is known.
    pub(super) grant_wait: Duration,
    /// Log line with the inputs of the decision.
    pub(super) line: EventLine,
}

/// Result of a check of a job.
enum ExpiryCheck {
    Expired(ExpiredJob),
    /// It is checked again at this time.
    Later(Instant),
}

/// Results of a check of all jobs.
#[derive(Default)]
pub(super) struct ExpiryChecks {
    pub(super) expired: Vec<ExpiredJob>,
    pub(super) next_check: Option<Instant>,
}

impl ExpiryChecks {
    fn add(&mut self, check: Option<ExpiryCheck>) {
        match check {
            Some(ExpiryCheck::Expired(job)) => self.expired.push(job),
            Some(ExpiryCheck::Later(at)) => {
                self.next_check = self.next_check.into_iter().chain([at]).min();
            }
            None => {}
        }
    }
}

impl ExpiredJob {
    /// `run` is the run time of what waits, on the fastest backend server.
    fn new(now: Instant, live: &LiveJob, cause: ExpiryCause, run: Duration) -> ExpiredJob {
        let until = live.waiter.map_or(now, |waiter| waiter.until);
        let line = EventLine::new("job_expired")
            .with("job", &live.job.id)
            .with("started", live.may_have_run())
            .with("run_ms", run.as_millis())
            .with("caller_ms", until.saturating_duration_since(now).as_millis());
        ExpiredJob { id: live.job.id.clone(), cause, grant_wait: Duration::ZERO, line }
    }
}

impl Scheduler {
    /// The jobs that can't complete while their callers wait or, without a start, while
    /// their results have a value.
    pub(super) fn check_ends(&self, now: Instant) -> ExpiryChecks {
        let slowness = self.min_slowness();
        let mut checks = ExpiryChecks::default();
        for (id, live) in &self.live {
            checks.add(self.check_end(now, id, live, slowness));
        }
        checks
    }

    /// The same, but that a job without a start is ended as soon as none is expected in time.
    pub(super) fn check_starts(&self, now: Instant) -> ExpiryChecks {
        let slowness = self.min_slowness();
        let mut forecast = StartForecast::new(now, self);
        let mut checks = ExpiryChecks::default();
        for (id, live) in &self.live {
            let check = self.check_start(now, id, live, &mut forecast);
            checks.add(check.or_else(|| self.check_end(now, id, live, slowness)));
        }
        checks
    }

    /// Checks whether a job can end in time; `None` without a caller.
    fn check_end(
        &self,
        now: Instant,
        id: &JobId,
        live: &LiveJob,
        slowness: f64,
    ) -> Option<ExpiryCheck> {
        let waiting = self.waiting_path(id, live);
        let at = live.expires_at(waiting, slowness)?;
        if at > now {
            return Some(ExpiryCheck::Later(at));
        }
        let cause = match live.may_have_run() {
            true => ExpiryCause::CallerTime,
            false => ExpiryCause::LatestStart,
        };
        let run = scaled(waiting.unwrap_or_default(), slowness);
        Some(ExpiryCheck::Expired(ExpiredJob::new(now, live, cause, run)))
    }

    /// Checks whether a job of which nothing has run can start in time; `None` for others.
    fn check_start(
        &self,
        now: Instant,
        id: &JobId,
        live: &LiveJob,
        forecast: &mut StartForecast<'_>,
    ) -> Option<ExpiryCheck> {
        if live.may_have_run() {
            return None;
        }
        let waiting = self.waiting_path(id, live)?;
        let service = self.service_of(&live.job)?;
        let slowness = forecast.slowness(&service, &live.job);
        let ratio = self.median_ratio(now, &live.job);
        let bounds = live.start_bounds(waiting, slowness, ratio)?;
        let wait = match bounds.in_time <= now {
            true => forecast.wait(&service, &live.job),
            false => Duration::ZERO,
        };
        let grants_at = self.grant_time(now, id).filter(|at| bounds.are_over_by(*at));
        let verdict = match grants_at {
            Some(_) => StartVerdict::Refuse(ExpiryCause::NoGrant),
            None => bounds.verdict(now, later(now, wait)),
        };
        match verdict {
            StartVerdict::Wait { until } => Some(ExpiryCheck::Later(until)),
            StartVerdict::Refuse(cause) => {
                let run = scaled(waiting, slowness * ratio.unwrap_or(1.0));
                let job = ExpiredJob::new(now, live, cause, run);
                let grant_wait =
                    grants_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
                let line = with_bounds(job.line, now, &bounds, wait.max(grant_wait), cause);
                let line = line.with("quantile", ratio_text(ratio));
                Some(ExpiryCheck::Expired(ExpiredJob { grant_wait, line, ..job }))
            }
        }
    }
}

impl Scheduler {
    /// Median ratio of run time to estimate of such jobs, on a backend server of slowness 1;
    /// `None` until enough jobs of the queue are known.
    pub(super) fn median_ratio(&self, now: Instant, job: &QueuedJob) -> Option<f64> {
        self.run_times.quantile(now, &job.queue, job.critical_path(), MEDIAN)
    }

    /// Learns from the run time of a best-effort job that has completed.
    pub(super) fn learn_run_time(&mut self, now: Instant, id: &JobId) {
        let Some(live) = self.live.get(id) else { return };
        self.learn_ratio(now, id, live.run_ratio);
    }

    /// Learns from the run time so far of a job whose runs are about to be stopped. A job of
    /// which tasks wait tells nothing, nor does one that is stopped sooner than most end.
    fn learn_stopped(&mut self, now: Instant, id: &JobId) {
        let Some(live) = self.live.get(id) else { return };
        if self.waiting_path(id, live).is_some() {
            return;
        }
        let mut ratio = live.run_ratio;
        for step in 0..live.job.steps.len() {
            let estimate = live.job.steps[step].estimate();
            for task in live.job.tasks_of(step as StepIndex) {
                let Some(placed) = self.placements.get(&task) else { continue };
                let agent = self.agents.get(&placed.agent);
                if placed.ended || agent.is_none_or(|state| state.link.is_none()) {
                    continue;
                }
                let seen = now.saturating_duration_since(placed.since);
                let ran = seen.saturating_sub(self.report_delay.estimate());
                ratio = ratio.max(placed.run_ratio(ran, estimate) * STOPPED_RUN_FACTOR);
            }
        }
        if ratio >= self.median_ratio(now, &live.job).unwrap_or(1.0) {
            self.learn_ratio(now, id, ratio);
        }
    }

    fn learn_ratio(&mut self, now: Instant, id: &JobId, ratio: f64) {
        let Some(live) = self.live.get(id).filter(|live| live.job.best_effort) else { return };
        if self.limits.admission == AdmissionRule::ExpectedStart && ratio > 0.0 {
            self.run_times.add_job(now, &live.job.queue, live.critical_path, ratio);
        }
    }

    /// Checks a job soon whose claim can't be granted for a while.
    pub(super) fn note_declined(&mut self, now: Instant, id: &JobId) {
        let is_checked = self.limits.admission == AdmissionRule::ExpectedStart;
        if is_checked && self.grant_time(now, id).is_some() {
            self.next_expiry = Some(now);
        }
    }

    /// Learns from a job that is about to be ended by its expiry.
    pub(super) fn learn_expired(&mut self, now: Instant, id: &JobId, cause: ExpiryCause) {
        let is_learning = self.limits.admission == AdmissionRule::ExpectedStart;
        if is_learning && cause == ExpiryCause::CallerTime {
            self.learn_stopped(now, id);
        }
    }
}

/// A learned ratio for a log line.
pub(super) fn ratio_text(ratio: Option<f64>) -> String {
    ratio.map_or_else(|| "none".to_owned(), |ratio| format!("{ratio:.2}"))
}

/// Adds the bounds of a job's start, relative to now: those that have passed are negative.
fn with_bounds(
    line: EventLine,
    now: Instant,
    bounds: &StartBounds,
    wait: Duration,
    cause: ExpiryCause,
) -> EventLine {
    line.with("cause", cause)
        .with("wait_ms", wait.as_millis())
        .with("limit_ms", millis_until(now, bounds.held))
        .with("latest_start_ms", millis_until(now, bounds.useful))
}

fn millis_until(now: Instant, at: Instant) -> i128 {
    let left = at.saturating_duration_since(now).as_millis() as i128;
    left - now.saturating_duration_since(at).as_millis() as i128
}
