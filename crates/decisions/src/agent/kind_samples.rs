//! Compares run times of each kind of tasks with and without other kinds on the same backend
//! server.
//!
//! Handles the load pattern *tasks that slow each other down*. Samples are compared within
//! blocks of a few jobs of one kind, in which the server's speed, the load and the kind's
//! estimation error are the same: only the present kinds differ.
//!
//! Invariants:
//! - a job counts once for the time in which it has runs here, but not for longer than
//!   [`MAX_JOB_TIME`];
//! - the state is that of one life of the server;
//! - the number of kinds is bounded, and so is the work for each run.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{JobId, QueueId};

use super::server_speed::RunTime;
use crate::pair_sums::PairSums;

/// Number of kinds that are compared; others are ignored.
const MAX_KINDS: usize = 8;
/// Time without runs after which a kind gives way to another.
const UNUSED_TIME: Duration = Duration::from_secs(60);
/// Number of jobs in a block, and the time after which a smaller one ends.
const BLOCK_JOBS: usize = 16;
const BLOCK_TIME: Duration = Duration::from_secs(8);
/// Largest distance of a sample from the median of its block, as a factor: a job that takes
/// several times as long counts as one of three times.
const MAX_FACTOR: f64 = 3.0;
/// Share of the observed time during which a kind has to be active beside a job to count as
/// present.
const PRESENT_SHARE: f64 = 0.5;
/// Share of its estimated run time, from its start, in which a run is observed. Over the whole
/// of their run times long runs would meet busy kinds more often than short ones, and these
/// kinds would seem to make them long.
const OBSERVED_SHARE: f64 = 0.5;
/// Time from the first end of a job's run after which the job is counted even if it has more
/// runs here.
const MAX_JOB_TIME: Duration = Duration::from_secs(1);

/// The kinds beside a run. That of the run itself counts only while others of it are active.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PresenceMark {
    kind: usize,
    at: Instant,
    /// Time from the start after which the observation ends.
    window: Duration,
    /// Time for which the run was observed, once that has ended.
    observed: Option<Duration>,
    /// Time in which each kind was active: until then, that up to the start, and afterwards
    /// that in the observed time.
    active: [Duration; MAX_KINDS],
}

/// One job: logarithm of run time over estimate, and whether each kind was present.
#[derive(Debug, Clone, Copy)]
struct Sample {
    log: f64,
    present: [bool; MAX_KINDS],
}

/// Ended runs of a job that is not counted yet.
#[derive(Debug, Clone)]
struct OpenJob {
    kind: usize,
    first_end_at: Instant,
    log_sum: f64,
    runs: u32,
    /// Time for which these runs were observed, and the part of it in which each kind was
    /// active.
    observed: Duration,
    active: [Duration; MAX_KINDS],
}

#[derive(Debug, Clone)]
struct Kind {
    queue: QueueId,
    /// Number of active runs.
    runs: u32,
    /// Time so far in which at least one run was active, and at least two.
    any_time: Duration,
    several_time: Duration,
    used_at: Instant,
    /// Samples of the current block, and the time of the first.
    block: Vec<Sample>,
    block_since: Instant,
}

/// Comparisons of the kinds of tasks that run on one life of a backend server.
#[derive(Debug, Clone)]
pub struct KindSamples {
    kinds: Vec<Kind>,
    open_jobs: IndexMap<JobId, OpenJob>,
    /// Sums by the indexes of the kinds.
    pairs: IndexMap<(usize, usize), PairSums>,
    advanced_at: Instant,
}

impl KindSamples {
    /// Creates the state of a server without runs.
    pub fn new(now: Instant) -> KindSamples {
        KindSamples {
            kinds: Vec::new(),
            open_jobs: IndexMap::new(),
            pairs: IndexMap::new(),
            advanced_at: now,
        }
    }

    /// Takes the runs that are active from now on, counts the jobs that have ended here, and
    /// ends the blocks that are full or old.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        active: impl Iterator<Item = (&'a JobId, &'a QueueId)> + Clone,
    ) {
        self.advance(now);
        for kind in &mut self.kinds {
            kind.runs = 0;
        }
        for (_, queue) in active.clone() {
            if let Some(index) = self.find_or_add(now, queue) {
                self.kinds[index].runs += 1;
                self.kinds[index].used_at = now;
            }
        }
        if !self.open_jobs.is_empty() {
            self.count_jobs(now, active);
        }
        for index in 0..self.kinds.len() {
            let kind = &self.kinds[index];
            let is_old = !kind.block.is_empty() && now >= kind.block_since + BLOCK_TIME;
            if is_old || kind.block.len() >= BLOCK_JOBS {
                self.end_block(now, index);
            }
        }
    }

    /// Adds the time since the last input to the kinds that were active in it.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_at);
        self.advanced_at = self.advanced_at.max(now);
        for kind in &mut self.kinds {
            if kind.runs >= 1 {
                kind.any_time += elapsed;
            }
            if kind.runs >= 2 {
                kind.several_time += elapsed;
            }
        }
    }

    fn find(&self, queue: &QueueId) -> Option<usize> {
        self.kinds.iter().position(|kind| kind.queue == *queue)
    }

    /// Index of a kind; `None` if it is unknown and there is no place for it.
    fn find_or_add(&mut self, now: Instant, queue: &QueueId) -> Option<usize> {
        if let Some(index) = self.find(queue) {
            return Some(index);
        }
        let kind = Kind {
            queue: queue.clone(),
            runs: 0,
            any_time: Duration::ZERO,
            several_time: Duration::ZERO,
            used_at: now,
            block: Vec::new(),
            block_since: now,
        };
        if self.kinds.len() < MAX_KINDS {
            self.kinds.push(kind);
            return Some(self.kinds.len() - 1);
        }
        let is_unused = |kind: &Kind| kind.runs == 0 && now >= kind.used_at + UNUSED_TIME;
        let index = self.kinds.iter().position(is_unused)?;
        self.pairs.retain(|(first, second), _| *first != index && *second != index);
        self.open_jobs.retain(|_, job| job.kind != index);
        for other in &mut self.kinds {
            other.block.iter_mut().for_each(|sample| sample.present[index] = false);
        }
        // The times go on, so that marks of active runs remain valid.
        let Kind { any_time, several_time, .. } = self.kinds[index];
        self.kinds[index] = Kind { any_time, several_time, ..kind };
        Some(index)
    }

    /// Time so far in which each kind was active beside a run of this kind.
    fn times_beside(&self, own: usize) -> [Duration; MAX_KINDS] {
        let mut times = [Duration::ZERO; MAX_KINDS];
        for (index, kind) in self.kinds.iter().enumerate() {
            times[index] = if index == own { kind.several_time } else { kind.any_time };
        }
        times
    }

    /// The mark of a run that has started now; `None` if its kind is not compared. Follows
    /// [`KindSamples::update`] at the same time.
    pub fn mark(&self, now: Instant, queue: &QueueId, estimate: Duration) -> Option<PresenceMark> {
        let kind = self.find(queue)?;
        let (window, active) = (estimate.mul_f64(OBSERVED_SHARE), self.times_beside(kind));
        Some(PresenceMark { kind, at: now, window, observed: None, active })
    }

    /// Ends the observation of a run if it was long enough. Follows [`KindSamples::update`] at
    /// the same time.
    pub fn observe(&self, now: Instant, mark: &mut PresenceMark) {
        if mark.observed.is_none() && now >= mark.at + mark.window {
            self.end_observation(now, mark);
        }
    }

    fn end_observation(&self, now: Instant, mark: &mut PresenceMark) {
        if mark.observed.is_some() {
            return;
        }
        mark.observed = Some(now.saturating_duration_since(mark.at));
        for (active, until) in mark.active.iter_mut().zip(self.times_beside(mark.kind)) {
            *active = until.saturating_sub(*active);
        }
    }

    /// Adds a run that has done its task, with the mark of its start.
    pub fn add_completed(
        &mut self,
        now: Instant,
        job: &JobId,
        mut mark: PresenceMark,
        run_time: RunTime,
    ) {
        self.advance(now);
        let Some(log) = run_time.log_ratio().filter(|_| mark.kind < self.kinds.len()) else {
            return;
        };
        self.end_observation(now, &mut mark);
        let unused = OpenJob {
            kind: mark.kind,
            first_end_at: now,
            log_sum: 0.0,
            runs: 0,
            observed: Duration::ZERO,
            active: [Duration::ZERO; MAX_KINDS],
        };
        let open = self.open_jobs.entry(job.clone()).or_insert(unused);
        open.log_sum += log;
        open.runs += 1;
        open.observed += mark.observed.unwrap_or_default();
        for (sum, active) in open.active.iter_mut().zip(mark.active) {
            *sum += active;
        }
    }

    fn count_jobs<'a>(
        &mut self,
        now: Instant,
        active: impl Iterator<Item = (&'a JobId, &'a QueueId)> + Clone,
    ) {
        for (job, open) in std::mem::take(&mut self.open_jobs) {
            let is_active = active.clone().any(|(other, _)| *other == job);
            if is_active && now < open.first_end_at + MAX_JOB_TIME {
                self.open_jobs.insert(job, open);
                continue;
            }
            let kind = &mut self.kinds[open.kind];
            if kind.block.is_empty() {
                kind.block_since = now;
            }
            let present = open
                .active
                .map(|time| !time.is_zero() && time >= open.observed.mul_f64(PRESENT_SHARE));
            kind.block.push(Sample { log: open.log_sum / f64::from(open.runs), present });
        }
    }

    /// Adds the block of a kind to the sums, and starts the next one.
    fn end_block(&mut self, now: Instant, first: usize) {
        let mut block = std::mem::take(&mut self.kinds[first].block);
        block.sort_unstable_by(|one, other| one.log.total_cmp(&other.log));
        let Some(median) = block.get(block.len() / 2).map(|sample| sample.log) else { return };
        let reach = MAX_FACTOR.ln();
        for sample in &mut block {
            sample.log = sample.log.clamp(median - reach, median + reach);
        }
        for second in 0..self.kinds.len() {
            let (beside, alone): (Vec<Sample>, Vec<Sample>) =
                block.iter().partition(|sample| sample.present[second]);
            if beside.is_empty() || alone.is_empty() {
                continue;
            }
            let logs = |samples: &[Sample]| -> Vec<f64> {
                samples.iter().map(|sample| sample.log).collect()
            };
            let sums = self.pairs.entry((first, second)).or_insert_with(|| PairSums::new(now));
            sums.add_block(now, &logs(&beside), &logs(&alone));
        }
    }

    /// The sums of all pairs as of now.
    pub(crate) fn sums(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&QueueId, &QueueId, PairSums)> {
        self.pairs.iter().map(move |((first, second), sums)| {
            (&self.kinds[*first].queue, &self.kinds[*second].queue, sums.decayed(now))
        })
    }

    /// What an agent reports of all pairs now.
    pub fn reports(&self, now: Instant) -> Vec<model::PairReport> {
        self.sums(now).filter_map(|(first, second, sums)| sums.report(first, second)).collect()
    }
}
