//! An agent's calls to its backend server: handling of their answers, lease
//! renewal by long polls that return the lists of runs and ends, and the expiry
//! of lease and grants. How long a lease is: `run_lease`.

use std::time::{Duration, Instant};

use model::{
    EventLine, FenceNumber, ServerAnswer, ServerCall, ServerRequest, StartRefusal, TaskRun,
};

use super::run_table::{RunStep, RunTable};
use super::server_life::{RunPhase, RunState, ServerLife, is_contact};

/// Step by which the fencing token is raised when the backend server has seen a
/// higher one, because the host's wall clock was set back between two starts of
/// the agent. Tokens start as times in milliseconds, so this is one hour.
const FENCE_JUMP: FenceNumber = 3_600_000;

/// How long renewals are hedged after a call to the backend server got no
/// answer.
const HEDGE_DURATION: Duration = Duration::from_secs(3);

/// Outstanding renewals while hedging: ends that are lost with the answer of one
/// arrive with another.
const HEDGED_RENEWALS: usize = 2;

/// How long hedged renewals wait for an end, as a share of the usual wait.
const HEDGED_WAIT_SHARE: f64 = 0.4;

/// Maximum number of times that the delay after a failed renewal doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl RunTable {
    /// Calls the backend server. Each call extends its lease as far as that is allowed.
    pub(super) fn call(&mut self, now: Instant, request: ServerRequest) {
        let lease = self.allowed_lease(now);
        let Some(life) = &mut self.life else { return };
        let lease_until = life.extend_lease(now, lease);
        let call = ServerCall {
            address: life.address,
            life: life.view.life.clone(),
            instance: life.instance.clone(),
            fence: self.fence,
            lease_until,
            valid_until: lease_until.map(|_| now + lease),
            request,
        };
        self.steps.push(RunStep::Call(call));
    }

    /// Handles the answer to a call, or its failure. `clock` is a reading of the
    /// backend server's clock and the local time it belongs to.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: &ServerCall,
        clock: Option<(Duration, Instant)>,
        answer: ServerAnswer,
    ) -> Vec<RunStep> {
        self.record_input(now);
        let Some(life) = self.life.as_mut().filter(|life| life.view.life == call.life) else {
            return Vec::new();
        };
        life.update_clock(clock);
        life.record_contact(now, &answer, self.limits.lease);
        if !is_contact(&answer) {
            life.hedge_until = Some(now + HEDGE_DURATION);
        }
        match answer {
            ServerAnswer::Refused(StartRefusal::Gone) => {
                self.end_life(now, "another instance answered the call");
                self.follow_candidate(now);
                return self.finish(now);
            }
            ServerAnswer::Refused(StartRefusal::Fence) if call.fence == self.fence => {
                self.fence += FENCE_JUMP;
                let line = EventLine::new("fence_raised").with("fence", self.fence);
                self.steps.push(RunStep::Log(line));
            }
            _ => {}
        }
        match &call.request {
            ServerRequest::Start { run, .. } => self.on_start_answer(now, run, &answer),
            ServerRequest::Stop { run } => self.on_stop_answer(now, run, &answer),
            ServerRequest::RenewLease { sequence, .. } => {
                self.on_renewal_answer(now, *sequence, answer)
            }
        }
        self.finish(now)
    }

    fn on_start_answer(&mut self, now: Instant, run: &TaskRun, answer: &ServerAnswer) {
        let Some(life) = &mut self.life else { return };
        let Some(state) = life.runs.get_mut(run) else { return };
        match answer {
            ServerAnswer::Refused(refusal) if !state.is_resent => {
                life.start_resends.remove(run);
                let refused = life.refuse(run, *refusal);
                self.notify(now, refused.into_iter().collect());
            }
            ServerAnswer::NotSent | ServerAnswer::ConnectionRefused if !state.is_resent => {
                life.start_resends.remove(run);
                let refused = life.refuse(run, StartRefusal::Unhealthy);
                self.notify(now, refused.into_iter().collect());
            }
            // A stop was ordered before this answer arrived.
            _ if state.phase != RunPhase::Starting => {}
            ServerAnswer::NoAnswer
            | ServerAnswer::Refused(_)
            | ServerAnswer::NotSent
            | ServerAnswer::ConnectionRefused => {
                let line = EventLine::new("start_in_doubt")
                    .with("run", run)
                    .with("resent", state.is_resent);
                self.steps.push(RunStep::Log(line));
                life.start_resends.remove(run);
                state.phase = RunPhase::Stopping { retry_at: None };
                self.call(now, ServerRequest::Stop { run: run.clone() });
            }
            _ => {
                state.phase = RunPhase::Running { since_renewal: life.renewals_sent };
                let waited = state.since.saturating_duration_since(state.ordered_at);
                let called = now.saturating_duration_since(state.since);
                if self.limits.resend_starts {
                    life.start_resends.on_started(run, called);
                }
                let line = EventLine::new("run_started")
                    .with("run", run)
                    .with("waited_ms", waited.as_millis())
                    .with("call_ms", called.as_millis())
                    .with("resent", state.is_resent);
                self.steps.push(RunStep::Log(line));
            }
        }
    }

    fn on_stop_answer(&mut self, now: Instant, run: &TaskRun, answer: &ServerAnswer) {
        let Some(life) = &mut self.life else { return };
        let since_renewal = life.renewals_sent;
        let Some(state) = life.runs.get_mut(run) else { return };
        state.phase = match answer {
            ServerAnswer::Done => RunPhase::Barred { since_renewal },
            _ => RunPhase::Stopping { retry_at: Some(now + self.limits.retry_delay) },
        };
        if *answer == ServerAnswer::Done {
            // A run that had not started is barred now; a started one ends soon.
            life.query_lists_at = Some(now);
        }
    }

    /// Takes the lists that a renewal returned, or schedules another attempt. A
    /// renewal that only queried the lists does not count as outstanding.
    fn on_renewal_answer(&mut self, now: Instant, number: u64, answer: ServerAnswer) {
        let limits = self.limits;
        let Some(life) = &mut self.life else { return };
        let before = life.outstanding_renewals.len();
        life.outstanding_renewals.retain(|out| *out != number);
        let was_outstanding = life.outstanding_renewals.len() < before;
        let (running, ended, complete) = match answer {
            ServerAnswer::Lists { running, ended } => (running, ended, true),
            ServerAnswer::PartialLists { running, ended } => (running, ended, false),
            _ => return self.on_renewal_failed(now, was_outstanding),
        };
        let newly_listed = !std::mem::replace(&mut life.listed, true);
        let row_count = ended.len();
        let ended = life.plausible_ends(ended);
        let complete = complete && ended.len() == row_count;
        if life.set_lists_complete(complete) {
            let line = EventLine::new("lists_partial")
                .with("life", &life.view.life)
                .with("usable", running.len() + ended.len());
            self.steps.push(RunStep::Log(line));
        }
        let (updates, shows_all) = life.take_lists(now, number, &running, ended, complete);
        self.has_lists |= shows_all;
        if was_outstanding {
            life.failed_renewals = 0;
            life.renew_at = if updates.is_empty() { now + limits.renewal_interval } else { now };
        }
        self.require_reports(newly_listed);
        self.notify(now, updates);
        self.refute_candidate(number);
    }

    /// Schedules another attempt after a renewal that returned no lists.
    fn on_renewal_failed(&mut self, now: Instant, was_outstanding: bool) {
        let limits = self.limits;
        let Some(life) = &mut self.life else { return };
        if was_outstanding {
            let retry_delay =
                limits.renewal_interval * (1 << life.failed_renewals.min(MAX_BACKOFF_DOUBLINGS));
            life.failed_renewals += 1;
            life.renew_at = now + retry_delay;
        } else {
            life.query_lists_at = Some(now + limits.retry_delay);
        }
    }

    /// Handles the expiry of the lease: without a renewal for longer than the
    /// lease, the backend server has stopped all runs. One without a lease that answers
    /// no calls is lost too.
    pub(super) fn expire_lease(&mut self, now: Instant) {
        let lapsed = |life: &&mut ServerLife| life.lapses_at().is_some_and(|at| at <= now);
        let Some(life) = self.life.as_mut().filter(lapsed) else { return };
        life.listed = false;
        life.lease_expires_at = None;
        let ends = life.binding_ends().count();
        life.void_ends();
        let line = EventLine::new("lease_lapsed")
            .with("life", &life.view.life)
            .with("runs", life.runs.len())
            .with("voided_ends", ends)
            .with("holds_failed", life.failed_renewals);
        self.steps.push(RunStep::Log(line));
        let lapsed = life.take_lapsed();
        self.notify(now, lapsed);
        self.require_reports(true);
        self.follow_candidate(now);
    }

    /// Voids the unacknowledged ends if no lease is in force: neither one of this process nor
    /// of an earlier one.
    pub(super) fn void_ends_without_lease(&mut self, now: Instant) {
        let is_over = self.are_earlier_runs_over(now);
        let without_lease = |life: &&mut ServerLife| life.lease_expires_at.is_none() && is_over;
        if let Some(life) = self.life.as_mut().filter(without_lease) {
            life.void_ends();
        }
    }

    /// Stops runs whose scheduler's grant has expired, and runs that no scheduler
    /// claimed in time; once the backend server has left, all of them.
    pub(super) fn stop_ungranted_runs(&mut self, now: Instant) {
        let Some(life) = &self.life else { return };
        let is_granted =
            |state: &RunState| self.granted_until(state).is_some_and(|until| until > now);
        let expired = life
            .runs
            .iter()
            .filter(|(_, state)| state.phase.is_active() && (life.has_left || !is_granted(state)));
        let expired: Vec<TaskRun> = expired.map(|(run, _)| run.clone()).collect();
        for run in expired {
            let line = EventLine::new("run_ungranted").with("run", &run);
            self.steps.push(RunStep::Log(line));
            self.stop(now, run);
        }
    }

    /// Time until which a run may stay active; `None` without a grant.
    pub(super) fn granted_until(&self, state: &RunState) -> Option<Instant> {
        match &state.owner {
            None => Some(state.since + self.limits.claim_wait),
            Some(owner) => self.schedulers.get(owner)?.grant_until,
        }
    }

    /// Sends unconfirmed stops again whose retry is due.
    pub(super) fn retry_stops(&mut self, now: Instant) {
        let Some(life) = &mut self.life else { return };
        let mut due = Vec::new();
        for (run, state) in &mut life.runs {
            if let RunPhase::Stopping { retry_at: Some(at) } = state.phase
                && at <= now
            {
                state.phase = RunPhase::Stopping { retry_at: None };
                due.push(run.clone());
            }
        }
        for run in due {
            self.call(now, ServerRequest::Stop { run });
        }
    }

    /// Sends a lease renewal if one is due and fewer than the maximum are
    /// outstanding.
    pub(super) fn renew_if_due(&mut self, now: Instant) {
        let full_wait = self.renewal_wait(now);
        let Some(life) = &mut self.life else { return };
        let (max_outstanding, wait) = match life.is_hedging(now) {
            true => (HEDGED_RENEWALS, full_wait.mul_f64(HEDGED_WAIT_SHARE)),
            false => (1, full_wait),
        };
        if life.outstanding_renewals.len() < max_outstanding && life.renew_at <= now {
            let number = life.next_renewal();
            let wait = if life.listed && !life.is_silent(now) { wait } else { Duration::ZERO };
            life.outstanding_renewals.push(number);
            self.renew_lease(now, number, wait);
        }
        self.plan_renewal(now);
        self.query_lists_if_due(now);
    }

    /// Queries the lists with a renewal that returns at once: one that waits for an
    /// end would show late that a run is barred, and one that waits already has given the
    /// lease that was allowed when it was sent.
    fn query_lists_if_due(&mut self, now: Instant) {
        let Some(life) = &mut self.life else { return };
        let query = life.query_lists_at.take_if(|at| *at <= now);
        let renewal = life.renew_early_at.take_if(|at| *at <= now);
        if query.or(renewal).is_some() {
            let number = life.next_renewal();
            self.renew_lease(now, number, Duration::ZERO);
        }
    }

    fn renew_lease(&mut self, now: Instant, sequence: u64, wait: Duration) {
        let acked = self.life.as_ref().map_or(0, ServerLife::last_acked_end);
        self.call(now, ServerRequest::RenewLease { sequence, acked, wait });
    }
}
