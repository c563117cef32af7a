//! Starts that are sent again because they have no answer yet.
//!
//! Handles the load pattern *orders without an answer*: a backend server leaves some calls
//! unanswered, and carries them out late or never. Waiting for the time-out of the call, and
//! barring the run before its task is placed elsewhere, takes longer than a short task may
//! take in all. The server takes a start of a run that is there as the same one, and refuses
//! one that has ended or was stopped, so a run is executed at most once however often its
//! start is sent.
//!
//! The delay follows the time that answers take, as the retransmission timer of TCP does.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ServerRequest, TaskRun};

use super::run_table::RunTable;
use super::server_life::RunPhase;

/// Number of times that a start is sent again.
const MAX_RESENDS: u32 = 2;
/// Bounds on the delay of the first one. The agent has a small share of a processor, so
/// several starts at once take a few milliseconds even if each is answered at once.
const MIN_DELAY: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_millis(50);
/// Weights of a new sample in the mean and in the deviation of answer times.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of deviations above the mean at which an answer counts as late.
const LATE_DEVIATIONS: f64 = 4.0;

/// Times that answers to starts take, as moving averages in seconds.
#[derive(Debug, Clone, Copy)]
struct AnswerTimes {
    mean: f64,
    deviation: f64,
}

impl AnswerTimes {
    fn add(self, time: Duration) -> AnswerTimes {
        let time = time.as_secs_f64();
        let error = time - self.mean;
        AnswerTimes {
            mean: self.mean + error * MEAN_WEIGHT,
            deviation: self.deviation + (error.abs() - self.deviation) * DEVIATION_WEIGHT,
        }
    }

    /// Time after which an answer is late.
    fn late_after(self) -> Duration {
        let seconds = self.mean + LATE_DEVIATIONS * self.deviation;
        Duration::from_secs_f64(seconds).clamp(MIN_DELAY, MAX_DELAY)
    }
}

/// A start that was sent and has no answer.
#[derive(Debug, Clone)]
struct PendingStart {
    run: TaskRun,
    spec: Arc<str>,
    resend_at: Instant,
    resends: u32,
}

/// The starts of one life that have no answer, in no order.
#[derive(Debug, Clone, Default)]
pub(super) struct StartResends {
    pending: Vec<PendingStart>,
    /// `None` before the first answer: starts are not sent again until it is known how long
    /// answers take.
    answer_times: Option<AnswerTimes>,
}

impl StartResends {
    /// Records a start that is sent now.
    pub(super) fn on_sent(&mut self, now: Instant, run: &TaskRun, spec: &Arc<str>) {
        let Some(times) = self.answer_times else { return };
        let resend_at = now + times.late_after();
        let (run, spec) = (run.clone(), Arc::clone(spec));
        self.pending.push(PendingStart { run, spec, resend_at, resends: 0 });
    }

    /// Records that a start has been answered this long after it was first sent. For one that
    /// was sent again that may be longer than its answer took, which can only make the delay
    /// longer.
    pub(super) fn on_started(&mut self, run: &TaskRun, took: Duration) {
        self.remove(run);
        let first = AnswerTimes { mean: took.as_secs_f64(), deviation: took.as_secs_f64() / 2.0 };
        self.answer_times = Some(self.answer_times.map_or(first, |times| times.add(took)));
    }

    /// Forgets a start that is not to be sent again.
    pub(super) fn remove(&mut self, run: &TaskRun) {
        self.pending.retain(|start| start.run != *run);
    }

    /// Time at which the next start is sent again.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.pending.iter().map(|start| start.resend_at).min()
    }

    /// Returns the starts to send again now. Each further one of a run waits twice as long.
    fn take_due(&mut self, now: Instant) -> Vec<(TaskRun, Arc<str>)> {
        let Some(times) = self.answer_times else { return Vec::new() };
        let mut due = Vec::new();
        for start in self.pending.iter_mut().filter(|start| start.resend_at <= now) {
            start.resends += 1;
            start.resend_at = now + times.late_after() * 2_u32.pow(start.resends);
            due.push((start.run.clone(), Arc::clone(&start.spec)));
        }
        self.pending.retain(|start| start.resends < MAX_RESENDS);
        due
    }
}

impl RunTable {
    /// Sends the starts again whose answers are late, if their runs may still start.
    pub(super) fn resend_starts(&mut self, now: Instant) {
        // A start extends the lease, so none is sent while it may not be extended.
        let may_start = !self.allowed_lease(now).is_zero();
        let Some(life) = &mut self.life else { return };
        let mut requests = Vec::new();
        for (run, spec) in life.start_resends.take_due(now) {
            let Some(state) = life.runs.get_mut(&run) else { continue };
            if state.phase != RunPhase::Starting || !may_start {
                continue;
            }
            state.is_resent = true;
            requests.push(ServerRequest::Start { run, spec });
        }
        for request in requests {
            self.call(now, request);
        }
    }
}
