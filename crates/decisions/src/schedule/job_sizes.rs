//! Learns which jobs of a queue are large: those of its upper tenth by work.
//!
//! Invariant: remembers a bounded number of jobs.

/// Number of the latest jobs from which the bound is learned.
const REMEMBERED_JOBS: usize = 128;
/// Number of jobs below which no job counts as large: a tenth of fewer is no sample.
const MIN_JOBS: usize = 20;
/// Jobs between two computations of the bound.
const UPDATE_INTERVAL: usize = 8;

/// Work of the latest jobs of a queue, in core-milliseconds.
#[derive(Debug, Clone, Default)]
pub(super) struct JobSizes {
    works: Vec<u64>,
    /// Position of the oldest one, once there are enough.
    next: usize,
    /// Jobs since the bound was computed.
    since_update: usize,
    /// Work from which a job is large; `None` until enough jobs are known.
    bound: Option<u64>,
}

impl JobSizes {
    /// Whether a job of this work is of the upper tenth. Equal jobs are not.
    pub(super) fn is_large(&self, work: u64) -> bool {
        self.bound.is_some_and(|bound| work > bound)
    }

    /// Adds the work of a job.
    pub(super) fn add(&mut self, work: u64) {
        if self.works.len() < REMEMBERED_JOBS {
            self.works.push(work);
        } else {
            self.works[self.next] = work;
            self.next = (self.next + 1) % REMEMBERED_JOBS;
        }
        self.since_update += 1;
        let is_due = self.bound.is_none() || self.since_update >= UPDATE_INTERVAL;
        if is_due && self.works.len() >= MIN_JOBS {
            self.since_update = 0;
            let mut works = self.works.clone();
            let position = works.len() - works.len() / 10 - 1;
            self.bound = Some(*works.select_nth_unstable(position).1);
        }
    }
}
