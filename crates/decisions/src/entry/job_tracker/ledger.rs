//! Applies the replies of control's ledger to submissions: claims, submissions
//! that another entry runs, takeover and recording.

use std::time::{Duration, Instant};

use model::{
    CallerAnswer, ClaimEpoch, ClaimRequest, CommandResult, ErrorKind, Failure, JobAnswer, JobKey,
    LedgerReply, Ran, ReleaseOrder, Takeover, caller_answer,
};

use super::intake::{conflict, refuse};
use super::job::JobPhase;
use super::{JobTracker, TrackerStep, unknown_job};

/// Interval of claim requests while another entry runs the submission.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before an unanswered command is resent.
const RESEND_DELAY: Duration = Duration::from_millis(100);

impl JobTracker {
    pub(super) fn claim_step(&self, key: &JobKey) -> TrackerStep {
        let fingerprint = self.jobs.get(key).map_or(0, |job| job.fingerprint);
        TrackerStep::Claim(ClaimRequest {
            key: key.clone(),
            fingerprint,
            owner: self.owner.clone(),
        })
    }

    /// Requests the claim again, or abandons it after the deadline.
    pub(super) fn retry_claim(&mut self, now: Instant, key: &JobKey) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        if now >= job.deadline {
            let detail = "the ledger did not answer in time; this request started nothing";
            return self.abandon_claim(key, Failure::new(ErrorKind::LedgerUnavailable, detail));
        }
        vec![self.claim_step(key)]
    }

    /// Abandons a claim. Nothing was released, so no task runs here.
    fn abandon_claim(&mut self, key: &JobKey, failure: Failure) -> Vec<TrackerStep> {
        let mut steps = vec![TrackerStep::Withdraw { key: key.clone() }];
        steps.extend(self.drop_refused(key, failure));
        steps
    }

    /// Handles a reply of control to a claim, a query or a final answer.
    pub fn on_ledger_reply(
        &mut self,
        now: Instant,
        key: &JobKey,
        reply: LedgerReply,
    ) -> Vec<TrackerStep> {
        let mut steps = self.answer_lookups(key, &reply);
        let Some(job) = self.jobs.get(key) else { return steps };
        steps.extend(match &job.phase {
            JobPhase::CheckingLedger { failure } => {
                let failure = failure.clone();
                self.on_check_reply(now, key, failure, reply)
            }
            JobPhase::Claiming | JobPhase::OwnedElsewhere => self.on_claim_reply(now, key, reply),
            JobPhase::Recording { answer } => {
                let answer = answer.clone();
                self.on_record_reply(now, key, answer, reply)
            }
            JobPhase::Admitting | JobPhase::Running | JobPhase::Ended { .. } => Vec::new(),
        });
        steps
    }

    /// Answers the calls that look up this submission.
    fn answer_lookups(&mut self, key: &JobKey, reply: &LedgerReply) -> Vec<TrackerStep> {
        let Some(calls) = self.lookups.swap_remove(key) else { return Vec::new() };
        let answer = match reply {
            LedgerReply::Applied { result: CommandResult::Recorded { answer } } => {
                caller_answer(answer.clone(), false)
            }
            LedgerReply::Applied { result: CommandResult::OwnedElsewhere { .. } } => {
                CallerAnswer::InProgress { ended: 0, tasks: 0 }
            }
            LedgerReply::Applied { result: CommandResult::Expired } => {
                CallerAnswer::Failed { failure: expired(key) }
            }
            LedgerReply::Applied { .. } => unknown_job(key),
            LedgerReply::NotAccepted | LedgerReply::ReplyLost => {
                CallerAnswer::Failed { failure: ledger_unavailable() }
            }
        };
        calls.into_iter().map(|call| TrackerStep::Answer { call, answer: answer.clone() }).collect()
    }

    /// Handles the ledger's reply about a submission that was refused here.
    fn on_check_reply(
        &mut self,
        now: Instant,
        key: &JobKey,
        failure: Failure,
        reply: LedgerReply,
    ) -> Vec<TrackerStep> {
        match reply {
            LedgerReply::Applied { result: CommandResult::Recorded { answer } } => {
                self.end(now, key, answer)
            }
            LedgerReply::Applied { result: CommandResult::OwnedElsewhere { owner } } => {
                let detail = format!("an earlier submission of this id is in progress at {owner}");
                self.drop_refused(key, Failure::new(ErrorKind::OutcomeUnknown, detail))
            }
            LedgerReply::Applied { result: CommandResult::ContentConflict } => {
                self.drop_refused(key, conflict(key))
            }
            LedgerReply::Applied { result: CommandResult::Expired } => {
                self.drop_refused(key, expired(key))
            }
            LedgerReply::Applied { .. } => self.drop_refused(key, failure),
            LedgerReply::NotAccepted | LedgerReply::ReplyLost => {
                self.drop_refused(key, ledger_unavailable())
            }
        }
    }

    pub(super) fn on_check_timeout(&mut self, key: &JobKey) -> Vec<TrackerStep> {
        self.drop_refused(key, ledger_unavailable())
    }

    fn on_claim_reply(
        &mut self,
        now: Instant,
        key: &JobKey,
        reply: LedgerReply,
    ) -> Vec<TrackerStep> {
        match reply {
            LedgerReply::Applied { result } => self.on_claim_result(now, key, result),
            LedgerReply::NotAccepted => self.abandon_claim(key, ledger_unavailable()),
            LedgerReply::ReplyLost => {
                self.set_timer(now + RESEND_DELAY, key);
                Vec::new()
            }
        }
    }

    fn on_claim_result(
        &mut self,
        now: Instant,
        key: &JobKey,
        result: CommandResult,
    ) -> Vec<TrackerStep> {
        match result {
            CommandResult::Claimed { epoch, takeover } => {
                self.on_claimed(now, key, epoch, takeover)
            }
            CommandResult::OwnedElsewhere { owner } => {
                let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
                job.log(now, format!("owned by {owner}; waiting for its answer"));
                job.phase = JobPhase::OwnedElsewhere;
                self.set_timer(now + OWNER_POLL_INTERVAL, key);
                Vec::new()
            }
            CommandResult::Recorded { answer } => {
                let mut steps = vec![TrackerStep::Withdraw { key: key.clone() }];
                steps.extend(self.end(now, key, answer));
                steps
            }
            CommandResult::ContentConflict => self.abandon_claim(key, conflict(key)),
            CommandResult::Expired => self.abandon_claim(key, expired(key)),
            _ => self.abandon_claim(key, ledger_unavailable()),
        }
    }

    fn on_claimed(
        &mut self,
        now: Instant,
        key: &JobKey,
        epoch: ClaimEpoch,
        takeover: Takeover,
    ) -> Vec<TrackerStep> {
        let owner = self.owner.clone();
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        job.epoch = epoch;
        job.phase = JobPhase::Running;
        job.log(now, format!("claimed, epoch {epoch}, {takeover:?}"));
        let accepted = std::mem::take(&mut job.accept_waiters);
        let answer = CallerAnswer::Accepted;
        let mut steps: Vec<TrackerStep> = accepted
            .into_iter()
            .map(|call| TrackerStep::Answer { call, answer: answer.clone() })
            .collect();
        if job.open_tasks == 0 {
            steps.extend(self.finish_unreleased(now, key, takeover));
            return steps;
        }
        let order = ReleaseOrder { epoch, owner, takeover };
        steps.push(TrackerStep::Release { key: key.clone(), order });
        steps
    }

    /// Finishes a submission whose tasks ended before its claim was granted.
    /// After a takeover, the outcome of the earlier owner's tasks is unknown.
    fn finish_unreleased(
        &mut self,
        now: Instant,
        key: &JobKey,
        takeover: Takeover,
    ) -> Vec<TrackerStep> {
        match takeover {
            Takeover::Fresh => self.finish(now, key),
            Takeover::Collect { .. } => {
                let detail = "ended before it was known what an earlier owner had started";
                let failure = Failure::new(ErrorKind::OutcomeUnknown, detail);
                self.record(now, key, JobAnswer::Failed { failure })
            }
        }
    }

    fn on_record_reply(
        &mut self,
        now: Instant,
        key: &JobKey,
        answer: JobAnswer,
        reply: LedgerReply,
    ) -> Vec<TrackerStep> {
        match reply {
            LedgerReply::Applied { result: CommandResult::Done } => self.end(now, key, answer),
            LedgerReply::Applied { result: CommandResult::Recorded { answer } } => {
                self.end(now, key, answer)
            }
            LedgerReply::Applied { .. } => {
                let detail = "another entry has taken the submission over";
                self.abandon(now, key, Failure::new(ErrorKind::OutcomeUnknown, detail))
            }
            LedgerReply::NotAccepted | LedgerReply::ReplyLost => {
                self.set_timer(now + RESEND_DELAY, key);
                Vec::new()
            }
        }
    }

    /// Resends the record. Callers are answered at their deadline even without
    /// it, but the answer is still recorded.
    pub(super) fn retry_record(&mut self, now: Instant, key: &JobKey) -> Vec<TrackerStep> {
        let owner = self.owner.clone();
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        let JobPhase::Recording { answer } = &job.phase else { return Vec::new() };
        let record = TrackerStep::Record {
            key: key.clone(),
            epoch: job.epoch,
            owner,
            answer: answer.clone(),
        };
        let mut steps = vec![record];
        if now >= job.deadline {
            let detail = "the answer could not be recorded in time; ask again with the same id";
            let failure = Failure::new(ErrorKind::OutcomeUnknown, detail);
            steps.extend(job.take_waiters().into_iter().map(|call| refuse(call, failure.clone())));
        }
        steps
    }

    /// Ends and drops a submission that this entry can no longer finish; the
    /// ledger has the authoritative state.
    pub(super) fn abandon(
        &mut self,
        now: Instant,
        key: &JobKey,
        failure: Failure,
    ) -> Vec<TrackerStep> {
        debug_assert_ne!(
            failure.ran(),
            Ran::No,
            "an abandoned submission must not be reported as not run"
        );
        let steps = self.end(now, key, JobAnswer::Failed { failure });
        self.jobs.swap_remove(key);
        steps
    }
}

fn expired(key: &JobKey) -> Failure {
    let detail = format!("submission {key} is older than the retention window");
    Failure::new(ErrorKind::SubmissionExpired, detail)
}

fn ledger_unavailable() -> Failure {
    let detail =
        "the ledger can't be reached; this request started nothing: send it again with the same id";
    Failure::new(ErrorKind::LedgerUnavailable, detail)
}
