//! Owns the submissions of an entry from their arrival to their recorded
//! answer.
//!
//! Invariants:
//! - a submission is released only under a claim of its own, and claimed only
//!   once admitted;
//! - every call is answered exactly once, with the whole answer or a failure;
//! - a submission that must be recorded is answered only after its record is
//!   durable;
//! - a client-chosen id is reported as "not run" only after the ledger
//!   confirmed that no earlier submission of it ran.

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
    AdmitRequest, CallId, CallerAnswer, CallerRequest, ClaimRequest, ConfigInForce, ErrorKind,
    Failure, Fingerprint, JobAnswer, JobKey, OwnerRef, ReleaseOrder, ServiceId, TaskEvent, TaskKey,
    TeamId,
};

use job::{Job, JobPhase};

/// Limits of job tracking, fixed at the start of the entry.
#[derive(Debug, Clone, Copy)]
pub struct TrackerLimits {
    /// Maximum number of tasks in one job.
    pub task_limit: usize,
    /// How long an ended submission is kept here; the ledger keeps it longer.
    pub keep_ended: Duration,
}

/// Action that the caller of the tracker must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum TrackerStep {
    /// Request the admission of tasks from dispatch.
    Admit {
        /// Tasks and their submission.
        request: AdmitRequest,
        /// Set if the submission needs no claim.
        release: Option<ReleaseOrder>,
    },
    /// Notify dispatch that the submission is claimed.
    Release {
        /// Key of the submission.
        key: JobKey,
        /// Claim that the tasks run under.
        order: ReleaseOrder,
    },
    /// Withdraw the tasks that have not started and stop those that run.
    Withdraw {
        /// Key of the submission.
        key: JobKey,
    },
    /// Request a claim from control.
    Claim(ClaimRequest),
    /// Query control about a submission without claiming it.
    QueryLedger {
        /// Key of the submission.
        key: JobKey,
        /// Fingerprint of its content; `None` in a lookup.
        fingerprint: Option<Fingerprint>,
    },
    /// Request control to record the final answer.
    Record {
        /// Key of the submission.
        key: JobKey,
        /// Epoch of the claim.
        epoch: model::ClaimEpoch,
        /// Entry that holds the claim.
        owner: OwnerRef,
        /// Final answer.
        answer: JobAnswer,
    },
    /// Answer a call.
    Answer {
        /// Id of the call.
        call: CallId,
        /// Final answer.
        answer: CallerAnswer,
    },
    /// Count an answer in the monthly figures.
    Figure(FigureEvent),
}

/// Contribution of one submission to the monthly figures.
#[derive(Debug, Clone, PartialEq)]
pub struct FigureEvent {
    /// Service of the submission.
    pub service: ServiceId,
    /// Team of the submission.
    pub team: TeamId,
    /// Kind of the failure, if the submission failed.
    pub failure: Option<ErrorKind>,
    /// Number of tasks that ran.
    pub tasks: u64,
    /// Response time relative to the run time of the longest task, in percent;
    /// `None` unless the submission completed.
    pub slowdown_percent: Option<u64>,
}

/// Job tracking state of one entry.
#[derive(Debug, Clone)]
pub struct JobTracker {
    limits: TrackerLimits,
    owner: OwnerRef,
    config: Option<Arc<ConfigInForce>>,
    jobs: IndexMap<JobKey, Job>,
    /// Calls that look up submissions not tracked here.
    lookups: IndexMap<JobKey, Vec<CallId>>,
    timers: BTreeSet<(Instant, JobKey)>,
    draining: bool,
    next_request: u64,
}

impl JobTracker {
    /// Creates a tracker without submissions; `owner` is the incarnation of
    /// this entry.
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

    /// Applies a configuration.
    pub fn on_config(&mut self, config: Arc<ConfigInForce>) {
        self.config = Some(config);
    }

    /// Refuses new submissions from now on; those in progress continue.
    pub fn on_drain(&mut self) {
        self.draining = true;
    }

    /// Number of submissions without an answer.
    pub fn in_progress(&self) -> usize {
        self.jobs.values().filter(|job| job.is_open()).count()
    }

    /// Handles a request of a caller.
    pub fn on_request(
        &mut self,
        now: Instant,
        call: CallId,
        request: CallerRequest,
    ) -> Vec<TrackerStep> {
        match request {
            CallerRequest::Request(single) => self.submit_request(now, call, single),
            CallerRequest::Job { order, wait } => self.submit_job(now, call, order, wait),
            CallerRequest::Lookup { key } => self.on_lookup(call, &key),
            CallerRequest::Explain { key } => vec![self.explain(call, &key)],
            CallerRequest::Cancel { key } => self.on_cancel(now, call, &key),
        }
    }

    /// Logs an event of a task for `explain`.
    pub fn on_task_event(&mut self, now: Instant, key: &TaskKey, event: &TaskEvent) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.log(now, format!("task {} {}", key.task, answer::describe_event(event)));
        }
    }

    fn explain(&self, call: CallId, key: &JobKey) -> TrackerStep {
        let answer = match self.jobs.get(key) {
            Some(job) => CallerAnswer::Explained { lines: job.explain() },
            None => unknown_job(key),
        };
        TrackerStep::Answer { call, answer }
    }

    fn on_lookup(&mut self, call: CallId, key: &JobKey) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get(key) else {
            self.lookups.entry(key.clone()).or_default().push(call);
            return vec![TrackerStep::QueryLedger { key: key.clone(), fingerprint: None }];
        };
        vec![TrackerStep::Answer { call, answer: job.state() }]
    }

    /// Withdraws a submission. The call is answered at the end of the
    /// submission, so that the answer states what was proved to have run; if
    /// the submission has ended already, it gets the existing answer.
    fn on_cancel(&mut self, now: Instant, call: CallId, key: &JobKey) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get_mut(key) else {
            return vec![TrackerStep::Answer { call, answer: unknown_job(key) }];
        };
        if let JobPhase::Ended { answer } = &job.phase {
            let answer = model::caller_answer(answer.clone(), job.single);
            return vec![TrackerStep::Answer { call, answer }];
        }
        job.log(now, "cancelled by the caller".to_owned());
        job.waiters.push(call);
        let first = !std::mem::replace(&mut job.cancelled, true);
        if first { vec![TrackerStep::Withdraw { key: key.clone() }] } else { Vec::new() }
    }

    /// When [`JobTracker::on_tick`] must be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles the timers that are due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TrackerStep> {
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

    fn on_timer(&mut self, now: Instant, key: &JobKey) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        match &job.phase {
            JobPhase::Ended { .. } => {
                self.jobs.swap_remove(key);
                Vec::new()
            }
            JobPhase::Admitting | JobPhase::Running => Vec::new(),
            JobPhase::CheckingLedger { .. } => self.on_check_timeout(key),
            JobPhase::Claiming | JobPhase::OwnedElsewhere => self.retry_claim(now, key),
            JobPhase::Recording { .. } => self.retry_record(now, key),
        }
    }

    fn set_timer(&mut self, at: Instant, key: &JobKey) {
        self.timers.insert((at, key.clone()));
    }

    /// Handles the fencing of this entry's incarnation: another entry may take
    /// over its claims, so claimed submissions can't be finished here. `owner`
    /// is the new incarnation.
    pub fn on_fenced(&mut self, now: Instant, owner: OwnerRef) -> Vec<TrackerStep> {
        self.owner = owner;
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_claimed())
            .map(|(key, _)| key.clone())
            .collect();
        let mut steps = Vec::new();
        for key in keys {
            steps.push(TrackerStep::Withdraw { key: key.clone() });
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
