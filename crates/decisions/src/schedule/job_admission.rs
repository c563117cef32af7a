//! Admission control, and the expiry of best-effort jobs.
//!
//! Handles the load pattern *burst above capacity*: a job that queued work would
//! delay until its result has no value is refused at once, with the time after
//! which a retry can be admitted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{
    AdmissionRule, CallId, Command, EventLine, JobId, JobPhase, JobReply, QueuedJob, RefusalCause,
    ServiceId, scaled, span_sum,
};

use super::agent_state::AgentState;
use super::job_claims::ClaimStart;
use super::job_expiry::{ExpiredJob, ratio_text};
use super::live_job::{JobWaiter, LiveJob, MAX_OBJECTIVE_FACTOR};
use super::scheduler::{JobDecision, ScheduleStep, Scheduler};
use crate::control::JobChange;

/// Time after its start by which a scheduler has seen all kinds of backend servers.
const DISCOVERY_TIME: Duration = Duration::from_secs(30);
/// Delay after which a job that fits on no backend server may be tried again: a larger one
/// may have started.
const LARGER_SERVER_WAIT: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Decides on the admission of a stored job. A job that is stored already is
    /// accepted again regardless of load, so that submission is idempotent.
    pub(super) fn admit(&mut self, now: Instant, job: &Arc<QueuedJob>) -> JobDecision {
        if self.store.job(&job.id).is_some() {
            return JobDecision::Reply(JobReply::Accepted);
        }
        match self.refusal(now, job, None) {
            Some(reply) => JobDecision::Reply(reply),
            None => JobDecision::Commit(Command::AcceptJob { job: Arc::clone(job) }),
        }
    }

    /// Decides on the admission of a best-effort job. A job that is submitted
    /// again before it has ended continues, for the latest caller.
    pub(super) fn admit_best_effort(
        &mut self,
        now: Instant,
        job: &Arc<QueuedJob>,
        waiter: JobWaiter,
    ) -> JobDecision {
        if let Some(live) = self.live.get_mut(&job.id) {
            if let Some(earlier) = live.waiter.replace(waiter) {
                let reply = JobReply::Unclear;
                self.steps.push(ScheduleStep::JobEnd { call: earlier.call, reply });
            }
            return JobDecision::Wait;
        }
        if self.is_claim_recalled(&job.id) {
            // Its caller has sent it to another entry, which waits for its runs to end.
            return JobDecision::Reply(JobReply::Unclear);
        }
        let wait = waiter.until.saturating_duration_since(now);
        if let Some(reply) = self.refusal(now, job, Some(wait)) {
            return JobDecision::Reply(reply);
        }
        let change = self.volatile_store.accept(job, 0, self.term.unwrap_or_default());
        if change == JobChange::None {
            // Its record outlived its scheduling state, so its outcome is unknown.
            return JobDecision::Reply(JobReply::Unclear);
        }
        if self.make_live(now, &job.id) {
            if let Some(live) = self.live.get_mut(&job.id) {
                live.waiter = Some(waiter);
            }
            if !self.unreported_agents.is_empty() {
                self.held_jobs.insert(job.id.clone());
            }
            if self.claim_job(now, &job.id) == ClaimStart::Granted {
                self.release_steps(&job.id);
            }
            self.note_expiry(&job.id);
        }
        JobDecision::Wait
    }

    /// Returns the refusal of a job that is beyond the bounds of jobs, whose queue is
    /// unknown, that is known to fit on no backend server while its caller waits, or that
    /// is not expected to end within both `limit` and its maximum useful duration.
    fn refusal(
        &mut self,
        now: Instant,
        job: &QueuedJob,
        limit: Option<Duration>,
    ) -> Option<JobReply> {
        if let Err(error) = job.check_bounds() {
            let line = EventLine::new("job_refused").with("job", &job.id).with("reason", error);
            self.steps.push(ScheduleStep::Log(line));
            let cause = RefusalCause::Unsupported;
            return Some(JobReply::Refused { cause, retry_after_ms: 0 });
        }
        let catalog = self.store.catalog();
        let queue = catalog.as_ref().and_then(|catalog| catalog.queues.get(&job.queue));
        let Some(queue) = queue else {
            let cause = RefusalCause::UnknownQueue;
            return Some(JobReply::Refused { cause, retry_after_ms: 0 });
        };
        if limit.is_some() && self.is_oversized(now, job, &queue.service) {
            return Some(self.refuse_oversized(job));
        }
        let critical_path = job.critical_path();
        let objective = queue.objective(critical_path);
        let max_duration = objective.saturating_mul(MAX_OBJECTIVE_FACTOR);
        if let (AdmissionRule::ExpectedStart, Some(caller_wait)) = (self.limits.admission, limit) {
            let service = queue.service.clone();
            return self.refusal_by_start(now, job, &service, objective, caller_wait);
        }
        let limit = limit.map_or(max_duration, |limit| limit.min(max_duration));
        let wait = self.expected_wait(&queue.service, job);
        // Estimates are rough: with free capacity, an attempt delays no other job.
        let run = scaled(critical_path, self.min_slowness());
        if wait.is_zero() || span_sum(wait, run) <= limit {
            return None;
        }
        let cause = RefusalCause::QueueFull;
        self.counts.refusals.queue_full += 1;
        let line = EventLine::new("job_refused")
            .with("job", &job.id)
            .with("queue", &job.queue)
            .with("cause", cause)
            .with("wait_ms", wait.as_millis())
            .with("run_ms", run.as_millis())
            .with("limit_ms", limit.as_millis())
            .with("term", self.term.unwrap_or_default());
        self.steps.push(ScheduleStep::Log(line));
        let retry_after_ms = wait.as_millis() as u64;
        Some(JobReply::Refused { cause, retry_after_ms })
    }

    /// Returns the refusal of a job that is more likely to end after its limit than before,
    /// or whose expected start is too late: for its objective, or for its caller.
    fn refusal_by_start(
        &mut self,
        now: Instant,
        job: &QueuedJob,
        service: &ServiceId,
        objective: Duration,
        caller_wait: Duration,
    ) -> Option<JobReply> {
        let limit = caller_wait.min(objective.saturating_mul(MAX_OBJECTIVE_FACTOR));
        let ratio = self.median_ratio(now, job);
        let slowness = self.slowness_for(service, job);
        let run = scaled(job.critical_path(), slowness * ratio.unwrap_or(1.0));
        // Work of jobs that come later may be placed first, so all work of the queues that
        // precede this one counts, in whatever order.
        let wait = self.expected_wait(service, job);
        // A job that misses its objective anyway is worth a late start.
        let end = if run > objective { limit } else { limit.min(objective) };
        // A job without a start is held for no longer than half of its caller's wait.
        let latest_start = end.saturating_sub(run).min(caller_wait / 2);
        let cause = if ratio.is_some() && run > limit {
            self.counts.refusals.too_long += 1;
            RefusalCause::TooLong
        } else if wait > latest_start {
            // Without backlog the wait is zero, and an attempt delays no other job.
            self.counts.refusals.queue_full += 1;
            RefusalCause::QueueFull
        } else {
            return None;
        };
        let line = EventLine::new("job_refused")
            .with("job", &job.id)
            .with("queue", &job.queue)
            .with("cause", cause)
            .with("wait_ms", wait.as_millis())
            .with("run_ms", run.as_millis())
            .with("quantile", ratio_text(ratio))
            .with("limit_ms", limit.as_millis())
            .with("latest_start_ms", latest_start.as_millis())
            .with("term", self.term.unwrap_or_default());
        self.steps.push(ScheduleStep::Log(line));
        let retry_after_ms = wait.as_millis() as u64;
        Some(JobReply::Refused { cause, retry_after_ms })
    }

    /// Whether a step of the job exceeds every backend server of its service that this
    /// scheduler has seen. Nothing is known of the first servers shortly after a start.
    fn is_oversized(&self, now: Instant, job: &QueuedJob, service: &ServiceId) -> bool {
        if now < self.leader_since + DISCOVERY_TIME {
            return false;
        }
        let is_held = |step| self.seen_servers.iter().any(|shape| shape.can_run(service, step));
        let is_served = self.seen_servers.iter().any(|shape| shape.serves(service));
        is_served && !job.steps.iter().all(is_held)
    }

    fn refuse_oversized(&mut self, job: &QueuedJob) -> JobReply {
        let cause = RefusalCause::NoServer;
        self.counts.refusals.no_server += 1;
        let line = EventLine::new("job_refused")
            .with("job", &job.id)
            .with("queue", &job.queue)
            .with("cause", cause)
            .with("seen_servers", self.seen_servers.len());
        self.steps.push(ScheduleStep::Log(line));
        let retry_after_ms = LARGER_SERVER_WAIT.as_millis() as u64;
        JobReply::Refused { cause, retry_after_ms }
    }

    /// Moves the next check for expired jobs forward to that of this one.
    pub(super) fn note_expiry(&mut self, id: &JobId) {
        let Some(live) = self.live.get(id) else { return };
        let waiting = self.waiting_path(id, live);
        let bounds = match (self.limits.admission, waiting) {
            (AdmissionRule::ExpectedStart, Some(waiting)) if !live.may_have_run() => {
                let service = self.service_of(&live.job);
                let slowness = service.map(|service| self.slowness_for(&service, &live.job));
                let ratio = self.median_ratio(self.expiry_checked_at, &live.job);
                live.start_bounds(waiting, slowness.unwrap_or(1.0), ratio)
            }
            _ => None,
        };
        let check_at = match bounds {
            Some(bounds) => Some(bounds.first_check(self.expiry_checked_at)),
            None => live.expires_at(waiting, self.min_slowness()),
        };
        self.next_expiry = self.next_expiry.into_iter().chain(check_at).min();
    }

    /// Estimated run time from the earliest task of a job that waits for a placement
    /// to its end; `None` if no task waits.
    pub(super) fn waiting_path(&self, id: &JobId, live: &LiveJob) -> Option<Duration> {
        if self.is_held(id) {
            return Some(live.critical_path);
        }
        let mut waiting = self.ready.steps_of(id, &live.job).peekable();
        waiting.peek()?;
        Some(live.job.path_from(waiting))
    }

    /// Ends best-effort jobs that can't complete while their callers wait. A job of
    /// which no task was placed, or each start was refused, is refused itself: it has not
    /// run. The runs of another are stopped, so that their capacity goes to jobs that can.
    pub(super) fn expire_jobs(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|at| at > now) {
            return;
        }
        let checks = match self.limits.admission {
            AdmissionRule::Backlog => self.check_ends(now),
            AdmissionRule::ExpectedStart => self.check_starts(now),
        };
        self.expiry_checked_at = now;
        self.next_expiry = checks.next_check;
        for ExpiredJob { id, cause, grant_wait, line } in checks.expired {
            self.counts.refusals.add_expired(cause);
            self.steps.push(ScheduleStep::Log(line));
            self.learn_expired(now, &id, cause);
            let live = self.live.get(&id);
            let reply = if live.is_some_and(LiveJob::may_have_run) {
                JobReply::Unclear
            } else {
                let wait = live.and_then(|live| {
                    let service = self.service_of(&live.job)?;
                    Some(self.expected_wait(&service, &live.job))
                });
                let retry_after_ms = wait.unwrap_or_default().max(grant_wait).as_millis() as u64;
                JobReply::Refused { cause: RefusalCause::TimeOver, retry_after_ms }
            };
            self.answer_waiter(&id, reply);
            let change = self.volatile_store.close(&id, JobPhase::Cancelled, 0);
            self.on_change(now, change);
        }
    }

    /// Handles the shutdown of an entry: no caller waits beyond `until`. What can't end by then
    /// is refused or given up in time, as at the end of its caller's wait.
    pub fn on_drain(&mut self, now: Instant, until: Instant) {
        let waiters = self.live.values_mut().filter_map(|live| live.waiter.as_mut());
        let mut callers = 0;
        for waiter in waiters {
            waiter.until = waiter.until.min(until);
            callers += 1;
        }
        let left = until.saturating_duration_since(now);
        let line = EventLine::new("callers_limited").with("callers", callers);
        self.steps.push(ScheduleStep::Log(line.with("left_ms", left.as_millis())));
        self.next_expiry = Some(now);
        self.placement_due = true;
    }

    /// Cancels a best-effort job whose caller has disconnected, to free its
    /// capacity.
    pub fn on_abandoned(&mut self, now: Instant, call: CallId) {
        let mut jobs = self.live.iter();
        let found = jobs.find(|(_, live)| live.waiter.is_some_and(|waiter| waiter.call == call));
        if let Some(id) = found.map(|(id, _)| id.clone()) {
            let line = EventLine::new("job_abandoned").with("job", &id);
            self.steps.push(ScheduleStep::Log(line));
            let change = self.volatile_store.close(&id, JobPhase::Cancelled, 0);
            self.on_change(now, change);
        }
    }

    /// Slowness of the fastest backend server, or 1 if there is none.
    pub(super) fn min_slowness(&self) -> f64 {
        let servers = self.agents.values().filter(|state| state.server.is_some());
        servers.map(AgentState::slowness).min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Expected queueing delay of a new job of a queue: the time for the work that is placed
    /// before it.
    fn expected_wait(&self, service: &ServiceId, job: &QueuedJob) -> Duration {
        let left_work = self.work_before_new(service, &job.queue);
        if left_work == 0 {
            return Duration::ZERO;
        }
        self.service_speed(service).time_for(left_work, job)
    }

    pub(super) fn answer_waiter(&mut self, id: &JobId, reply: JobReply) {
        let waiter = self.live.get_mut(id).and_then(|live| live.waiter.take());
        if let Some(JobWaiter { call, .. }) = waiter {
            self.steps.push(ScheduleStep::JobEnd { call, reply });
        }
    }
}
