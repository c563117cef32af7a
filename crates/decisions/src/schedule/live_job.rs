//! State of the jobs that have not ended, and of the placements of their tasks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    CallId, JobStep, LifeId, NodeId, QueueId, QueuedJob, ResourceAmount, RunNumber, TaskName,
    later, scaled,
};

use super::queue_shares::WorkClass;
use super::start_bounds::StartBounds;
use super::task_urgency::MIN_RUN_TIME_SHARE;

/// Multiple of its objective beyond which a job has no value left.
pub(super) const MAX_OBJECTIVE_FACTOR: u32 = 3;

/// Multiple of its expected run time at which a run first counts as overdue.
const FIRST_OVERDUE_FACTOR: u32 = 3;

/// Assignment of a task to an agent, and to one life of its backend server.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Placement {
    pub(super) agent: NodeId,
    pub(super) life: LifeId,
    pub(super) run: RunNumber,
    pub(super) size: ResourceAmount,
    /// Queue of the job, the task's kind.
    pub(super) queue: QueueId,
    /// Time of the placement, or of its adoption from an agent's report.
    pub(super) since: Instant,
    /// Slowness of the backend server when the run was placed.
    pub(super) slowness: f64,
    /// Whether the run has been reported as ended; its capacity is released and
    /// its end is yet to be recorded.
    pub(super) ended: bool,
    /// Multiple of the expected run time at which the run next counts as overdue.
    pub(super) overdue_factor: u32,
}

impl Placement {
    pub(super) fn new(
        agent: NodeId,
        life: LifeId,
        run: RunNumber,
        size: ResourceAmount,
        since: Instant,
    ) -> Placement {
        Placement {
            agent,
            life,
            run,
            size,
            queue: QueueId::default(),
            since,
            slowness: 1.0,
            ended: false,
            overdue_factor: FIRST_OVERDUE_FACTOR,
        }
    }

    /// Sets the queue of the job.
    pub(super) fn of_queue(self, queue: QueueId) -> Placement {
        Placement { queue, ..self }
    }

    /// Ratio of a run time here to its estimate, on a backend server of slowness 1.
    pub(super) fn run_ratio(&self, ran: Duration, estimate: Duration) -> f64 {
        ran.as_secs_f64() / (estimate.as_secs_f64() * self.slowness).max(f64::MIN_POSITIVE)
    }
}

/// Scheduling state of a job that has not ended.
#[derive(Debug, Clone)]
pub(super) struct LiveJob {
    pub(super) job: Arc<QueuedJob>,
    /// End of the queue's objective for this job, from when it became live here.
    pub(super) deadline: Instant,
    /// Time at which the job became live here.
    pub(super) since: Instant,
    /// Run time of the job's longest chain of dependent steps, by its estimates.
    pub(super) critical_path: Duration,
    /// Whether a task of the job is done or was placed.
    pub(super) started: bool,
    /// Number of runs that were placed and not reported as refused: a refused start never ran. A run whose placement is given up stays counted.
    pub(super) unrefused_runs: u32,
    /// Whether a run of the job is known to have begun. A start that was ordered may have been
    /// refused.
    pub(super) begun: bool,
    /// Highest ratio of run time to estimate of its ended runs; 0 without any.
    pub(super) run_ratio: f64,
    /// Whose share its tasks are of.
    pub(super) class: WorkClass,
    /// Steps whose dependencies are done and whose tasks were queued.
    pub(super) released_steps: IndexSet<u32>,
    /// Number of the latest run of each task that was placed or adopted.
    pub(super) last_runs: IndexMap<TaskName, RunNumber>,
    /// Lowest run number that this term may give to a task of the job.
    pub(super) first_run: RunNumber,
    /// Caller that waits for the end; best-effort jobs only.
    pub(super) waiter: Option<JobWaiter>,
}

impl LiveJob {
    /// Whether a run of the job was or may have been active. A job of which each start was
    /// refused has not run, and may be refused.
    pub(super) fn may_have_run(&self) -> bool {
        self.begun || self.unrefused_runs > 0
    }

    /// Time by which the job must end: its deadline or the end of its caller's
    /// wait, whichever is earlier.
    pub(super) fn latest_end(&self) -> Instant {
        self.waiter.map_or(self.deadline, |waiter| waiter.until.min(self.deadline))
    }

    /// Latest time at which a task of the step can start and still end in time.
    pub(super) fn latest_start(&self, step: &JobStep) -> Instant {
        let latest_end = self.latest_end();
        latest_end.checked_sub(step.estimate()).unwrap_or(latest_end)
    }

    /// Latest times at which the job may start if nothing of it has run; `None` without a
    /// caller. `waiting` is the run time from its earliest waiting task to its end, by the
    /// estimates; `slowness` that of the fastest server that can hold it; `ratio` the median
    /// ratio of run time to estimate, if it is known.
    pub(super) fn start_bounds(
        &self,
        waiting: Duration,
        slowness: f64,
        ratio: Option<f64>,
    ) -> Option<StartBounds> {
        let waiter = self.waiter?;
        let run = scaled(waiting, slowness * ratio.unwrap_or(1.0));
        let objective = self.deadline.saturating_duration_since(self.since);
        let max_useful = objective.saturating_mul(MAX_OBJECTIVE_FACTOR);
        let useful_end = waiter.until.min(later(self.since, max_useful));
        // One that is expected to end too late wherever it runs may still end sooner, while it
        // is not known how far estimates are off.
        let is_too_long = run > useful_end.saturating_duration_since(self.since);
        let least_run = match ratio {
            None if is_too_long => scaled(run, MIN_RUN_TIME_SHARE),
            _ => run,
        };
        let before = |end: Instant, run| {
            end.checked_sub(run).map_or(self.since, |start| start.max(self.since))
        };
        let caller_wait = waiter.until.saturating_duration_since(waiter.since);
        Some(StartBounds {
            in_time: before(self.latest_end(), run),
            useful: before(useful_end, least_run),
            held: later(waiter.since, caller_wait / 2),
        })
    }

    /// Time at which the job can no longer be expected to end while its caller
    /// waits, or, before it may have run, while its result has a value; `None` without a
    /// caller. `waiting` is the run time from its earliest waiting task to its end, by
    /// the estimates; `None` if no task waits.
    pub(super) fn expires_at(
        &self,
        waiting: Option<Duration>,
        min_slowness: f64,
    ) -> Option<Instant> {
        let until = self.waiter?.until;
        let Some(waiting) = waiting else { return Some(until) };
        let objective = self.deadline.saturating_duration_since(self.since);
        let until = match self.may_have_run() {
            true => until,
            false => until.min(later(self.since, objective.saturating_mul(MAX_OBJECTIVE_FACTOR))),
        };
        let run = scaled(waiting, min_slowness * MIN_RUN_TIME_SHARE);
        Some(until.checked_sub(run).map_or(self.since, |start| start.max(self.since)))
    }
}

/// Caller of a best-effort job and the time until which it waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct JobWaiter {
    pub(super) call: CallId,
    pub(super) since: Instant,
    pub(super) until: Instant,
}
