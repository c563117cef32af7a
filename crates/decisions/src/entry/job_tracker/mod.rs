//! Tracks every submission at an entry from its arrival to its recorded
//! answer.
//!
//! Invariants:
//! - a submission is released only under a claim of its own, and claimed only
//!   once admitted;
//! - every call is answered exactly once, with the whole answer or a failure;
//! - a submission that must be recorded is answered only after its record is
//!   durable;
//! - "not run" is said of a client-chosen id only after the ledger confirmed
//!   that no earlier submission of it ran.

mod answer;
mod ends;
mod intake;
mod job;
mod ledger;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    AdmitRequest, CallId, CallerAnswer, CallerWish, ClaimOrder, ConfigInForce, ErrorKind, Failure,
    Fingerprint, JobAnswer, JobKey, OwnerRef, ReleaseOrder, ServiceId, TaskKey, TaskNote, TeamId,
};

use job::{Job, JobPhase};

/// Limits of job tracking.
#[derive(Debug, Clone, Copy)]
pub struct TrackerLimits {
    /// Tasks in one job.
    pub task_limit: usize,
    /// How long an ended submission is remembered here; the ledger remembers
    /// it longer.
    pub keep_ended: Duration,
}

/// What the entry does next.
#[derive(Debug, Clone, PartialEq)]
pub enum JobStep {
    /// Asks dispatch to let tasks in.
    Admit {
        /// The tasks.
        request: AdmitRequest,
        /// Given when no claim is needed.
        release: Option<ReleaseOrder>,
    },
    /// Tells dispatch that the submission is claimed.
    Release {
        /// The submission.
        key: JobKey,
        /// Under which claim.
        order: ReleaseOrder,
    },
    /// Takes back what has not started and stops what runs.
    Withdraw {
        /// The submission.
        key: JobKey,
    },
    /// Asks control for a claim.
    Claim(ClaimOrder),
    /// Asks control what it knows of a submission.
    Peek {
        /// The submission.
        key: JobKey,
        /// Fingerprint of its content.
        fingerprint: Option<Fingerprint>,
    },
    /// Asks control to record the final answer.
    Record {
        /// The submission.
        key: JobKey,
        /// The claim's epoch.
        epoch: model::ClaimEpoch,
        /// Who ran it.
        owner: OwnerRef,
        /// The answer.
        answer: JobAnswer,
    },
    /// Answers a call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Counts an answer for the monthly figures.
    Figure(FigureEvent),
}

/// One submission's contribution to the monthly figures.
#[derive(Debug, Clone, PartialEq)]
pub struct FigureEvent {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// The failure, if it failed.
    pub failure: Option<ErrorKind>,
    /// Tasks that ran.
    pub tasks: u64,
    /// Response time over the ideal, in percent, when it completed.
    pub slowdown_percent: Option<u64>,
}

/// Job tracking at one entry.
#[derive(Debug, Clone)]
pub struct JobTracker {
    limits: TrackerLimits,
    owner: OwnerRef,
    config: Option<Arc<ConfigInForce>>,
    jobs: IndexMap<JobKey, Job>,
    /// Lookups of submissions that are not tracked here.
    lookups: IndexMap<JobKey, Vec<CallId>>,
    timers: BTreeSet<(Instant, JobKey)>,
    draining: bool,
    next_request: u64,
}

impl JobTracker {
    /// Tracks nothing yet; `owner` is this entry's own incarnation.
    pub fn new(limits: TrackerLimits, owner: OwnerRef) -> JobTracker {
        JobTracker {
            limits,
            owner,
            config: None,
            jobs: IndexMap::new(),
            lookups: IndexMap::new(),
            timers: BTreeSet::new(),
            draining: false,
            next_request: 0,
        }
    }

    /// A configuration came into force.
    pub fn on_config(&mut self, config: Arc<ConfigInForce>) {
        self.config = Some(config);
    }

    /// The process drains: new work is refused, what is in progress goes on.
    pub fn on_drain(&mut self) {
        self.draining = true;
    }

    /// Submissions that have not been answered.
    pub fn in_progress(&self) -> usize {
        self.jobs.values().filter(|job| job.is_open()).count()
    }

    /// A caller wishes something.
    pub fn on_wish(&mut self, now: Instant, call: CallId, wish: CallerWish) -> Vec<JobStep> {
        match wish {
            CallerWish::Request(intake) => self.on_request(now, call, intake),
            CallerWish::Job { order, wait } => self.on_job(now, call, order, wait),
            CallerWish::Lookup { key } => self.on_lookup(call, &key),
            CallerWish::Explain { key } => vec![self.explain(call, &key)],
            CallerWish::Cancel { key } => self.on_cancel(now, call, &key),
        }
    }

    /// A step on a task's way, for `explain`.
    pub fn on_note(&mut self, now: Instant, key: &TaskKey, note: &TaskNote) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.note(now, format!("task {} {}", key.task, answer::describe_note(note)));
        }
    }

    fn explain(&self, call: CallId, key: &JobKey) -> JobStep {
        let answer = match self.jobs.get(key) {
            Some(job) => CallerAnswer::Explained { lines: job.explain() },
            None => unknown_job(key),
        };
        JobStep::Answer { call, answer }
    }

    fn on_lookup(&mut self, call: CallId, key: &JobKey) -> Vec<JobStep> {
        let Some(job) = self.jobs.get(key) else {
            self.lookups.entry(key.clone()).or_default().push(call);
            return vec![JobStep::Peek { key: key.clone(), fingerprint: None }];
        };
        vec![JobStep::Answer { call, answer: job.state() }]
    }

    /// A cancellation waits for the end, so that its answer tells what was
    /// proved; when the answer is already there, the cancellation loses.
    fn on_cancel(&mut self, now: Instant, call: CallId, key: &JobKey) -> Vec<JobStep> {
        let Some(job) = self.jobs.get_mut(key) else {
            return vec![JobStep::Answer { call, answer: unknown_job(key) }];
        };
        if let JobPhase::Ended { answer } = &job.phase {
            let answer = model::caller_answer(answer.clone(), job.single);
            return vec![JobStep::Answer { call, answer }];
        }
        job.note(now, "cancelled by the caller".to_owned());
        job.waiters.push(call);
        let first = !std::mem::replace(&mut job.cancelled, true);
        if first { vec![JobStep::Withdraw { key: key.clone() }] } else { Vec::new() }
    }

    /// When [`JobTracker::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Deals with timers that are due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<JobStep> {
        let mut steps = Vec::new();
        while let Some((at, key)) = self.timers.first().cloned() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, key.clone()));
            steps.extend(self.on_timer(now, &key));
        }
        steps
    }

    fn on_timer(&mut self, now: Instant, key: &JobKey) -> Vec<JobStep> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        match &job.phase {
            JobPhase::Ended { .. } => {
                self.jobs.swap_remove(key);
                Vec::new()
            }
            JobPhase::Admitting | JobPhase::Running => Vec::new(),
            JobPhase::Peeking { .. } => self.on_peek_late(key),
            JobPhase::Claiming | JobPhase::Elsewhere => self.claim_again(now, key),
            JobPhase::Recording { .. } => self.record_again(now, key),
        }
    }

    fn set_timer(&mut self, at: Instant, key: &JobKey) {
        self.timers.insert((at, key.clone()));
    }

    /// This entry's incarnation was fenced: its claims may be taken over. What
    /// was in progress can't be finished under the old incarnation.
    pub fn on_fenced(&mut self, now: Instant, owner: OwnerRef) -> Vec<JobStep> {
        self.owner = owner;
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_claimed())
            .map(|(key, _)| key.clone())
            .collect();
        let mut steps = Vec::new();
        for key in keys {
            steps.push(JobStep::Withdraw { key: key.clone() });
            let detail = "this entry was fenced while the work was in progress";
            steps.extend(self.abandon(now, &key, Failure::new(ErrorKind::OutcomeUnknown, detail)));
        }
        steps
    }
}

fn unknown_job(key: &JobKey) -> CallerAnswer {
    let detail = format!("no submission {key} is known at this entry");
    CallerAnswer::Failed { failure: Failure::new(ErrorKind::UnknownJob, detail) }
}
