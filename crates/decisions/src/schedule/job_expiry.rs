//! Finds the best-effort jobs that are to be ended before their callers have left.

use std::time::{Duration, Instant};

use model::{EventLine, JobId, later, scaled};

use super::live_job::LiveJob;
use super::scheduler::Scheduler;
use super::start_bounds::{ExpiryCause, StartBounds, StartVerdict};
use super::start_forecast::StartForecast;

/// A job that is to be ended.
pub(super) struct ExpiredJob {
    pub(super) id: JobId,
    pub(super) cause: ExpiryCause,
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
        ExpiredJob { id: live.job.id.clone(), cause, line }
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
        let bounds = live.start_bounds(waiting, slowness)?;
        let wait = match bounds.in_time <= now {
            true => forecast.wait(&service, &live.job),
            false => Duration::ZERO,
        };
        match bounds.verdict(now, later(now, wait)) {
            StartVerdict::Wait { until } => Some(ExpiryCheck::Later(until)),
            StartVerdict::Refuse(cause) => {
                let job = ExpiredJob::new(now, live, cause, scaled(waiting, slowness));
                let line = with_bounds(job.line, now, &bounds, wait, cause);
                Some(ExpiryCheck::Expired(ExpiredJob { line, ..job }))
            }
        }
    }
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
