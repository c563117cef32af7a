//! Owns the state of one tracked submission.

use std::time::Instant;

use model::{
    AdmitTask, CallId, CallerAnswer, ClaimEpoch, Failure, Fingerprint, JobAnswer, ServiceId,
    TaskEnd,
};

/// Maximum number of log lines kept for `explain`; later ones are only counted.
const MAX_LOG_LINES: usize = 512;

/// Phase of a submission.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum JobPhase {
    /// Waiting for the admission decision of dispatch.
    Admitting,
    /// Refused here; waiting for the ledger, since "not run" may be reported
    /// only after it confirmed that.
    CheckingLedger { failure: Failure },
    /// Waiting for control to grant the claim.
    Claiming,
    /// Claimed by another entry; the claim is requested again at intervals.
    OwnedElsewhere,
    /// Released: its tasks are in dispatch.
    Running,
    /// Waiting for control to record the answer.
    Recording { answer: JobAnswer },
    /// Answered.
    Ended { answer: JobAnswer },
}

#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) service: ServiceId,
    /// Whether the caller sent a single request rather than a job.
    pub(super) single: bool,
    /// Whether the ledger tracks the submission.
    pub(super) durable: bool,
    pub(super) idempotent: bool,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived_at: Instant,
    pub(super) deadline: Instant,
    pub(super) phase: JobPhase,
    pub(super) epoch: ClaimEpoch,
    pub(super) cancelled: bool,
    /// Whether a task did not complete, so that the rest was withdrawn.
    pub(super) has_failed_task: bool,
    /// Calls waiting for the answer.
    pub(super) waiters: Vec<CallId>,
    /// Calls waiting only for the claim of the submission to be recorded.
    pub(super) accept_waiters: Vec<CallId>,
    /// Tasks until admission is requested; empty afterwards.
    pub(super) tasks: Vec<AdmitTask>,
    /// End of each task; `None` while it is open.
    pub(super) ends: Vec<Option<TaskEnd>>,
    pub(super) open_tasks: usize,
    log_lines: Vec<(Instant, String)>,
    lines_dropped: usize,
}

/// Parameters of a new submission.
pub(super) struct NewJob {
    pub(super) service: ServiceId,
    pub(super) single: bool,
    pub(super) durable: bool,
    pub(super) idempotent: bool,
    pub(super) fingerprint: Fingerprint,
    pub(super) deadline: Instant,
    pub(super) tasks: Vec<AdmitTask>,
}

impl Job {
    pub(super) fn new(now: Instant, new: NewJob) -> Job {
        let open_tasks = new.tasks.len();
        Job {
            service: new.service,
            single: new.single,
            durable: new.durable,
            idempotent: new.idempotent,
            fingerprint: new.fingerprint,
            arrived_at: now,
            deadline: new.deadline,
            phase: JobPhase::Admitting,
            epoch: 0,
            cancelled: false,
            has_failed_task: false,
            waiters: Vec::new(),
            accept_waiters: Vec::new(),
            tasks: new.tasks,
            ends: vec![None; open_tasks],
            open_tasks,
            log_lines: vec![(now, "submitted".to_owned())],
            lines_dropped: 0,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        !matches!(self.phase, JobPhase::Ended { .. })
    }

    /// Whether there may be a claim under this entry's incarnation.
    pub(super) fn is_claimed(&self) -> bool {
        let claimed = matches!(
            self.phase,
            JobPhase::Claiming | JobPhase::Running | JobPhase::Recording { .. }
        );
        self.durable && claimed
    }

    /// Whether ends of tasks are accepted in this phase.
    pub(super) fn accepts_ends(&self) -> bool {
        matches!(self.phase, JobPhase::Claiming | JobPhase::OwnedElsewhere | JobPhase::Running)
    }

    pub(super) fn log(&mut self, now: Instant, line: String) {
        if self.log_lines.len() < MAX_LOG_LINES {
            self.log_lines.push((now, line));
        } else {
            self.lines_dropped += 1;
        }
    }

    /// Lines of the log for `explain`, each with the time since arrival.
    pub(super) fn explain(&self) -> Vec<String> {
        let line = |(at, text): &(Instant, String)| {
            let after = at.saturating_duration_since(self.arrived_at);
            format!("+{:.1} ms {text}", after.as_secs_f64() * 1e3)
        };
        let mut lines: Vec<String> = self.log_lines.iter().map(line).collect();
        if self.lines_dropped > 0 {
            lines.push(format!("{} more steps were not logged", self.lines_dropped));
        }
        lines
    }

    /// Answer to a lookup.
    pub(super) fn state(&self) -> CallerAnswer {
        match &self.phase {
            JobPhase::Ended { answer } => model::caller_answer(answer.clone(), self.single),
            _ => CallerAnswer::InProgress {
                ended: self.ends.len() - self.open_tasks,
                tasks: self.ends.len(),
            },
        }
    }

    /// Removes all waiting calls and returns them.
    pub(super) fn take_waiters(&mut self) -> Vec<CallId> {
        let mut calls = std::mem::take(&mut self.accept_waiters);
        calls.append(&mut self.waiters);
        calls
    }
}
