//! The jobs of callers that the models of entries share: kinds and sizes, run
//! times of the tasks, and how a job ended for its caller.

use std::sync::Arc;
use std::time::Duration;

use model::{JobId, JobPhase, JobReply, JobStep, QueueId, QueuedJob, ResourceAmount};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::schedule_model::{QUEUE, catalog};

/// How long a caller waits.
pub(crate) const CALLER_WAIT: Duration = Duration::from_millis(1_475);
/// Processor need of each task, in thousandths of a core.
pub(crate) const TASK_CPU_MILLI: u64 = 1_200;

/// Mean number of tasks of a kind of job, and mean run time of each in milliseconds.
const JOB_KINDS: [(u32, u64); 3] = [(8, 60), (4, 900), (2, 200)];
/// Position of the kind with the longest tasks.
pub(crate) const LONG_KIND: usize = 1;
/// Standard deviation of the logarithm of widths and of run times, where jobs vary.
const JOB_SPREAD: f64 = 0.4;
/// The same for the tasks of one job.
const TASK_SPREAD: f64 = 0.15;

/// A job and how long each of its tasks runs.
pub(crate) struct CallerJob {
    /// Position among the kinds of job.
    pub(crate) kind: usize,
    pub(crate) job: Arc<QueuedJob>,
    /// Run time of each task, in milliseconds, on a server of slowness 1.
    pub(crate) run_ms: Vec<u64>,
}

/// How a submitted job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// Completed within its objective.
    InTime,
    /// Completed later, while its caller still waited.
    Late,
    Refused,
    CutOff,
}

impl CallerJob {
    /// The job of this number; all jobs of a kind are equal and last as long as
    /// estimated.
    pub(crate) fn equal(number: usize, kind: usize) -> CallerJob {
        let (count, kind_ms) = JOB_KINDS[kind];
        CallerJob::new(number, kind, kind_ms, vec![kind_ms; count as usize])
    }

    /// The job of this number, with a width and run times around the means of its kind;
    /// `estimate_spread` is the standard deviation of the logarithm of the estimate's
    /// error.
    pub(crate) fn varied(
        number: usize,
        kind: usize,
        estimate_spread: f64,
        random: &mut StdRng,
    ) -> CallerJob {
        let (count, kind_ms) = JOB_KINDS[kind];
        let count = (f64::from(count) * factor(random, JOB_SPREAD)).round().max(1.0) as usize;
        let run_ms = kind_ms as f64 * factor(random, JOB_SPREAD);
        let estimate_ms = (run_ms * factor(random, estimate_spread)) as u64;
        let tasks = (0..count).map(|_| (run_ms * factor(random, TASK_SPREAD)) as u64);
        CallerJob::new(number, kind, estimate_ms, tasks.collect())
    }

    fn new(number: usize, kind: usize, estimate_ms: u64, run_ms: Vec<u64>) -> CallerJob {
        let size = ResourceAmount { cpu_milli: TASK_CPU_MILLI, memory_mb: 1, accelerators: 0 };
        let count = run_ms.len() as u32;
        let step = JobStep { count, size, estimate_ms, ..JobStep::default() };
        let job = QueuedJob {
            id: format!("{number:016x}").into(),
            queue: QUEUE.into(),
            spec: String::new(),
            steps: vec![step],
            best_effort: true,
        };
        CallerJob { kind, job: Arc::new(job), run_ms }
    }

    /// Submits the job to this queue instead.
    pub(crate) fn move_to(&mut self, queue: QueueId) {
        self.job = Arc::new(QueuedJob { queue, ..QueuedJob::clone(&self.job) });
    }

    /// Sum of the run times of its tasks, in milliseconds.
    pub(crate) fn work_ms(&self) -> u64 {
        self.run_ms.iter().sum()
    }

    /// The outcome of the job for a caller that gets this reply after this time.
    pub(crate) fn outcome(&self, took: Duration, reply: &JobReply) -> JobOutcome {
        let objective = catalog(1).queues[QUEUE].objective(self.job.critical_path());
        match reply {
            JobReply::Phase(JobPhase::Completed) if took <= objective => JobOutcome::InTime,
            JobReply::Phase(JobPhase::Completed) if took <= CALLER_WAIT => JobOutcome::Late,
            JobReply::Refused { .. } => JobOutcome::Refused,
            _ => JobOutcome::CutOff,
        }
    }
}

/// The number of the job with this id.
pub(crate) fn number_of(id: &JobId) -> usize {
    usize::from_str_radix(id, 16).expect("the id is a number")
}

/// A random factor of mean 1 with about a log-normal distribution.
fn factor(random: &mut StdRng, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (normal * spread - spread * spread / 2.0).exp()
}
