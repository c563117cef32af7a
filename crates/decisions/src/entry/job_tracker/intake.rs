//! Intake of requests and jobs: validation, attachment to a submission in
//! progress, admission and refusal.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use model::{
    AdmitRequest, AdmitTask, CallId, CallerAnswer, ErrorKind, Failure, Fingerprint, JobAnswer,
    JobKey, JobSubmission, Payload, ReleaseOrder, ServiceConfig, ServiceId, SingleRequest,
    SubmissionId, Takeover, TaskSpec, WorkerSize, fingerprint, is_name,
};

use super::job::{Job, JobPhase, NewJob};
use super::{FigureEvent, JobTracker, TrackerStep};

/// Longest permitted time from arrival to deadline. Agents keep the records of
/// tasks for longer than this.
const MAX_DEADLINE: Duration = Duration::from_secs(300);
/// Time limit for the ledger to report whether a refused submission ran.
const LEDGER_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

impl JobTracker {
    pub(super) fn submit_request(
        &mut self,
        now: Instant,
        call: CallId,
        request: SingleRequest,
    ) -> Vec<TrackerStep> {
        let content = fingerprint([request.service.as_bytes(), request.payload.text().as_bytes()]);
        let service_config = match self.service_config(&request.service) {
            Ok(service_config) => service_config,
            Err(failure) => {
                let key =
                    request.submission.map(|submission| JobKey { team: request.team, submission });
                return self.refuse_untracked(now, call, key, request.service, content, failure);
            }
        };
        let (submission, durable) = match self.submission_of(&request, &service_config) {
            Ok(identity) => identity,
            Err(failure) => return vec![refuse(call, failure)],
        };
        let key = JobKey { team: request.team, submission };
        let new = NewJob {
            service: request.service,
            single: true,
            durable,
            idempotent: service_config.idempotent,
            fingerprint: content,
            deadline: deadline(now, request.deadline, &service_config),
            tasks: vec![single_task(request.payload)],
        };
        self.submit(now, call, key, new, true)
    }

    /// Refuses a submission that can't be tracked. For a client-chosen id, the
    /// ledger is queried first: an earlier submission of the same id may have
    /// run.
    fn refuse_untracked(
        &mut self,
        now: Instant,
        call: CallId,
        key: Option<JobKey>,
        service: ServiceId,
        fingerprint: Fingerprint,
        failure: Failure,
    ) -> Vec<TrackerStep> {
        let Some(key) = key else { return vec![refuse(call, failure)] };
        if let Some(steps) = self.attach(call, &key, fingerprint, true) {
            return steps;
        }
        let new = NewJob {
            service,
            single: false,
            durable: true,
            idempotent: false,
            fingerprint,
            deadline: now + LEDGER_CHECK_TIMEOUT,
            tasks: Vec::new(),
        };
        let mut job = Job::new(now, new);
        job.waiters.push(call);
        self.jobs.insert(key.clone(), job);
        self.on_refused(now, &key, failure)
    }

    /// Returns the submission id of a request, and whether the ledger must
    /// track it. A request of an idempotent service gets a generated id, in a
    /// form that no client can choose.
    fn submission_of(
        &mut self,
        request: &SingleRequest,
        service_config: &ServiceConfig,
    ) -> Result<(SubmissionId, bool), Failure> {
        if service_config.idempotent {
            self.next_request += 1;
            let id = format_compact!("~{}~{}", self.owner.incarnation, self.next_request);
            return Ok((id, false));
        }
        let Some(submission) = request.submission.clone() else {
            let detail = "requests of this service are not idempotent: send an Idempotency-Key";
            return Err(Failure::new(ErrorKind::MissingKey, detail));
        };
        check_submission(&submission)?;
        Ok((submission, true))
    }

    pub(super) fn submit_job(
        &mut self,
        now: Instant,
        call: CallId,
        order: JobSubmission,
        wait: bool,
    ) -> Vec<TrackerStep> {
        if let Err(failure) = check_submission(&order.submission) {
            return vec![refuse(call, failure)];
        }
        let key = order.key();
        let fingerprint = order.fingerprint();
        let checked = self.check_tasks(&order).and_then(|()| self.service_config(&order.service));
        let service_config = match checked {
            Ok(service_config) => service_config,
            Err(failure) => {
                let service = order.service;
                return self.refuse_untracked(now, call, Some(key), service, fingerprint, failure);
            }
        };
        let limit = order.deadline_ms.map(Duration::from_millis);
        let new = NewJob {
            service: order.service,
            single: false,
            durable: true,
            idempotent: false,
            fingerprint,
            deadline: deadline(now, limit, &service_config),
            tasks: order.tasks.into_iter().map(admit_task).collect(),
        };
        self.submit(now, call, key, new, wait)
    }

    fn check_tasks(&self, order: &JobSubmission) -> Result<(), Failure> {
        if order.tasks.is_empty() {
            return Err(Failure::new(ErrorKind::MalformedRequest, "a job needs at least one task"));
        }
        if order.tasks.len() > self.limits.task_limit {
            let detail = format!("{} tasks, at most {}", order.tasks.len(), self.limits.task_limit);
            return Err(Failure::new(ErrorKind::TooManyTasks, detail));
        }
        Ok(())
    }

    fn service_config(&self, service: &CompactString) -> Result<ServiceConfig, Failure> {
        let Some(config) = &self.config else {
            let detail = "no configuration is in force here yet";
            return Err(Failure::new(ErrorKind::NotReady, detail));
        };
        config.text.services.get(service).cloned().ok_or_else(|| {
            let detail = format!("no service named {service} is declared");
            Failure::new(ErrorKind::UnknownService, detail)
        })
    }

    /// Attaches the call to the submission of the same key, or tracks a new one and
    /// requests its admission. Without `wait`, the call is answered as soon as the
    /// submission is claimed.
    fn submit(
        &mut self,
        now: Instant,
        call: CallId,
        key: JobKey,
        new: NewJob,
        wait: bool,
    ) -> Vec<TrackerStep> {
        if let Some(steps) = self.attach(call, &key, new.fingerprint, wait) {
            return steps;
        }
        let draining = self.draining;
        let mut job = Job::new(now, new);
        let waiters = if wait { &mut job.waiters } else { &mut job.accept_waiters };
        waiters.push(call);
        let request = AdmitRequest {
            key: key.clone(),
            service: job.service.clone(),
            tasks: std::mem::take(&mut job.tasks),
            deadline: job.deadline,
            idempotent: job.idempotent,
        };
        let release = (!job.durable).then(|| self.unclaimed_release());
        if !job.durable {
            job.phase = JobPhase::Running;
        }
        self.jobs.insert(key.clone(), job);
        if draining {
            let failure = Failure::new(ErrorKind::ShuttingDown, "this entry is shutting down");
            return self.on_refused(now, &key, failure);
        }
        vec![TrackerStep::Admit { request, release }]
    }

    /// Release of a submission that needs no claim.
    fn unclaimed_release(&self) -> ReleaseOrder {
        ReleaseOrder { epoch: 0, owner: self.owner.clone(), takeover: Takeover::Fresh }
    }

    /// Attaches a call to the submission of the same key, or refuses it if the
    /// content differs. Returns `None` if there is no such submission, or if it
    /// failed in a way that allows a rerun.
    fn attach(
        &mut self,
        call: CallId,
        key: &JobKey,
        fingerprint: Fingerprint,
        wait: bool,
    ) -> Option<Vec<TrackerStep>> {
        let job = self.jobs.get_mut(key)?;
        if job.fingerprint != fingerprint {
            return Some(vec![refuse(call, conflict(key))]);
        }
        match &job.phase {
            JobPhase::Ended { answer: JobAnswer::Failed { failure } } if failure.allows_rerun() => {
                None
            }
            JobPhase::Ended { answer } => {
                let answer = model::caller_answer(answer.clone(), job.single);
                Some(vec![TrackerStep::Answer { call, answer }])
            }
            JobPhase::Running | JobPhase::Recording { .. } if !wait => {
                Some(vec![TrackerStep::Answer { call, answer: CallerAnswer::Accepted }])
            }
            _ => {
                let waiters = if wait { &mut job.waiters } else { &mut job.accept_waiters };
                waiters.push(call);
                Some(Vec::new())
            }
        }
    }

    /// Handles the admission of a submission by dispatch: claims it.
    pub fn on_admitted(&mut self, now: Instant, key: &JobKey) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        job.log(now, "admitted".to_owned());
        job.phase = JobPhase::Claiming;
        vec![self.claim_step(key)]
    }

    /// Handles the refusal of a submission by dispatch. For a client-chosen id,
    /// the ledger is queried first: an earlier submission of the same id may
    /// have run.
    pub fn on_refused(&mut self, now: Instant, key: &JobKey, failure: Failure) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        job.log(now, format!("refused: {}", failure.detail));
        if !job.durable {
            return self.drop_refused(key, failure);
        }
        job.phase = JobPhase::CheckingLedger { failure };
        let fingerprint = Some(job.fingerprint);
        self.set_timer(now + LEDGER_CHECK_TIMEOUT, key);
        vec![TrackerStep::QueryLedger { key: key.clone(), fingerprint }]
    }

    /// Answers and drops a refused submission, of which nothing ran here.
    pub(super) fn drop_refused(&mut self, key: &JobKey, failure: Failure) -> Vec<TrackerStep> {
        let Some(mut job) = self.jobs.swap_remove(key) else { return Vec::new() };
        let event = FigureEvent {
            service: job.service.clone(),
            team: key.team.clone(),
            failure: Some(failure.kind),
            tasks: 0,
            slowdown_percent: None,
        };
        let mut steps = vec![TrackerStep::Figure(event)];
        steps.extend(job.take_waiters().into_iter().map(|call| refuse(call, failure.clone())));
        steps
    }
}

pub(super) fn refuse(call: CallId, failure: Failure) -> TrackerStep {
    TrackerStep::Answer { call, answer: CallerAnswer::Failed { failure } }
}

pub(super) fn conflict(key: &JobKey) -> Failure {
    let detail = format!("submission {key} is in use with other content");
    Failure::new(ErrorKind::SubmissionConflict, detail)
}

fn check_submission(submission: &SubmissionId) -> Result<(), Failure> {
    if is_name(submission) {
        return Ok(());
    }
    let detail = "a submission id has 1 to 64 letters, digits, '-', '_' or '.'";
    Err(Failure::new(ErrorKind::MalformedRequest, detail))
}

fn deadline(now: Instant, wanted: Option<Duration>, service_config: &ServiceConfig) -> Instant {
    now + wanted.unwrap_or_else(|| service_config.deadline()).min(MAX_DEADLINE)
}

fn single_task(payload: Payload) -> AdmitTask {
    let size = WorkerSize { cores: 1, memory_mb: 0, accelerators: 0 };
    AdmitTask { declared: None, size, payload }
}

fn admit_task(spec: TaskSpec) -> AdmitTask {
    let TaskSpec { declared_ms, cores, memory_mb, accelerators, payload } = spec;
    AdmitTask {
        declared: declared_ms.map(|ms| Duration::from_millis(u64::from(ms))),
        size: WorkerSize { cores, memory_mb, accelerators },
        payload,
    }
}
