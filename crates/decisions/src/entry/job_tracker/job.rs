//! Owns one tracked submission.

use std::time::Instant;

use model::{
    AdmitTask, CallId, CallerAnswer, ClaimEpoch, Failure, Fingerprint, JobAnswer, ServiceId,
    TaskEnd,
};

/// Most steps that are kept for `explain`.
const MOST_NOTES: usize = 512;

/// Where a submission stands.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum JobPhase {
    /// Dispatch is asked.
    Admitting,
    /// Refused here; the ledger is asked before "not run" is said.
    Peeking { failure: Failure },
    /// Control is asked for the claim.
    Claiming,
    /// Another entry owns it; asked again from time to time.
    Elsewhere,
    /// Its tasks are at dispatch.
    Running,
    /// Control is asked to record the answer.
    Recording { answer: JobAnswer },
    /// Over.
    Ended { answer: JobAnswer },
}

#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) service: ServiceId,
    /// Whether the caller sent one request rather than a job.
    pub(super) single: bool,
    /// Whether the ledger must know of it.
    pub(super) durable: bool,
    pub(super) idempotent: bool,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) phase: JobPhase,
    pub(super) epoch: ClaimEpoch,
    pub(super) cancelled: bool,
    /// Whether a task failed, so that the rest was withdrawn.
    pub(super) failing: bool,
    /// Calls that wait for the answer.
    pub(super) waiters: Vec<CallId>,
    /// Calls that wait only until the submission is recorded.
    pub(super) accept_waiters: Vec<CallId>,
    pub(super) tasks: Vec<AdmitTask>,
    pub(super) ends: Vec<Option<TaskEnd>>,
    pub(super) open: usize,
    notes: Vec<(Instant, String)>,
    notes_dropped: usize,
}

/// What a new submission is made of.
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
        let open = new.tasks.len();
        Job {
            service: new.service,
            single: new.single,
            durable: new.durable,
            idempotent: new.idempotent,
            fingerprint: new.fingerprint,
            arrived: now,
            deadline: new.deadline,
            phase: JobPhase::Admitting,
            epoch: 0,
            cancelled: false,
            failing: false,
            waiters: Vec::new(),
            accept_waiters: Vec::new(),
            tasks: new.tasks,
            ends: vec![None; open],
            open,
            notes: vec![(now, "submitted".to_owned())],
            notes_dropped: 0,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        !matches!(self.phase, JobPhase::Ended { .. })
    }

    /// Whether a claim under this entry's incarnation may stand.
    pub(super) fn is_claimed(&self) -> bool {
        let claimed = matches!(
            self.phase,
            JobPhase::Claiming | JobPhase::Running | JobPhase::Recording { .. }
        );
        self.durable && claimed
    }

    /// Whether ends of tasks still count.
    pub(super) fn phase_takes_ends(&self) -> bool {
        matches!(self.phase, JobPhase::Claiming | JobPhase::Elsewhere | JobPhase::Running)
    }

    pub(super) fn note(&mut self, now: Instant, line: String) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push((now, line));
        } else {
            self.notes_dropped += 1;
        }
    }

    pub(super) fn explain(&self) -> Vec<String> {
        let line = |(at, text): &(Instant, String)| {
            let after = at.saturating_duration_since(self.arrived);
            format!("+{:.1} ms {text}", after.as_secs_f64() * 1e3)
        };
        let mut lines: Vec<String> = self.notes.iter().map(line).collect();
        if self.notes_dropped > 0 {
            lines.push(format!("{} more steps were not kept", self.notes_dropped));
        }
        lines
    }

    pub(super) fn state(&self) -> CallerAnswer {
        match &self.phase {
            JobPhase::Ended { answer } => model::caller_answer(answer.clone(), self.single),
            _ => CallerAnswer::InProgress {
                ended: self.ends.len() - self.open,
                tasks: self.ends.len(),
            },
        }
    }

    pub(super) fn take_waiters(&mut self) -> Vec<CallId> {
        let mut calls = std::mem::take(&mut self.accept_waiters);
        calls.append(&mut self.waiters);
        calls
    }
}
