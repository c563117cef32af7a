//! How long the runs on an agent's backend server may stay active: the lease that a call
//! gives them, which is one for all, and when it is renewed ahead of the next renewal.
//!
//! Invariants:
//! - no call lets a run outlast its own scheduler's grant by more than [`STOP_MARGIN`],
//!   whatever the grants of other schedulers allow;
//! - nor does any call let an end that control has not acknowledged outlast control's grant by
//!   more: control may start its task elsewhere, and an end counts that is acknowledged under
//!   the lease in which the run has ended;
//! - a run that is barred, or whose end is acknowledged or of a best-effort job, limits the
//!   lease of the others no more, nor does an end since which the lease has expired.

use std::time::{Duration, Instant};

use model::SchedulerKey;

use super::run_table::RunTable;
use super::server_life::UnackedEnd;

/// How long a run may outlast its scheduler's grant: the time to stop it, with the call
/// and its reply. If the stop is not confirmed by then, the lease of all runs expires.
const STOP_MARGIN: Duration = Duration::from_millis(250);

/// Share of a full lease below which a lease counts as short.
const SHORT_LEASE_SHARE: f64 = 0.25;
/// Minimum gain for which a short lease is renewed ahead of time, as a share of a full one.
const MIN_GAIN_SHARE: f64 = 0.1;

impl RunTable {
    /// How long the runs on the backend server may stay active from now on: no longer
    /// than the longest remaining grant. A call renews the lease of all runs there, so it
    /// is zero while the backend server is silent, while it is not known what it runs, and
    /// while there are runs that nobody has claimed, whose scheduler may long have lost
    /// contact with this agent, and once it has left. Nor may any run, or unacknowledged
    /// end, outlast its own scheduler's grant by more than the time to stop it.
    pub(super) fn allowed_lease(&self, now: Instant) -> Duration {
        let Some(life) = &self.life else { return Duration::ZERO };
        let is_known = life.listed && self.can_list_runs(now) && !life.has_unclaimed_runs();
        if life.is_silent(now) || life.has_left || !is_known {
            return Duration::ZERO;
        }
        let grants = self.schedulers.values().map(|session| session.remaining_grant(now));
        let longest = grants.max().unwrap_or_default().min(self.limits.lease);
        let active = life.runs.values().filter(|run| run.phase.may_be_active());
        let runs = active.map(|run| self.granted_until(run));
        let ends = life.binding_ends().map(|end| self.end_granted_until(end));
        let shortest = runs.chain(ends).map(|until| lease_left(now, until)).min();
        shortest.map_or(longest, |shortest| longest.min(shortest))
    }

    /// Time until which control waits for an unacknowledged end, as far as this agent knows.
    /// One that nobody has claimed may have been found by an agent that has just started.
    fn end_granted_until(&self, end: &UnackedEnd) -> Option<Instant> {
        let control = self.schedulers.get(&SchedulerKey::Control);
        let granted = control.and_then(|session| session.grant_until);
        match end.owner {
            Some(_) => granted,
            None => granted.max(Some(end.listed_at + self.limits.claim_wait)),
        }
    }

    /// How long a renewal may wait for an end: as large a share of the lease that it gives
    /// as the usual wait is of a full one, so that the next renewal is in time.
    pub(super) fn renewal_wait(&self, now: Instant) -> Duration {
        let allowed = self.allowed_lease(now);
        let share = allowed.div_duration_f64(self.limits.lease);
        if allowed.is_zero() {
            self.limits.renewal_wait
        } else {
            self.limits.renewal_wait.mul_f64(share)
        }
    }

    /// Plans to renew the lease of active runs once it is short, if it may be longer by
    /// now: a grant was extended, a run was claimed, or one that limited it was stopped.
    pub(super) fn plan_renewal(&mut self, now: Instant) {
        let allowed_until = now + self.allowed_lease(now);
        let lease = self.limits.lease;
        let Some(life) = &mut self.life else { return };
        let lease_until = life.lease_until.unwrap_or(now).max(now);
        let gain = allowed_until.saturating_duration_since(lease_until);
        let is_wanted = life.can_renew_runs() && gain >= lease.mul_f64(MIN_GAIN_SHARE);
        let short_at = lease_until.checked_sub(lease.mul_f64(SHORT_LEASE_SHARE)).unwrap_or(now);
        life.renew_early_at = is_wanted.then(|| short_at.max(now));
    }
}

/// Longest lease that what is granted until this time may have.
fn lease_left(now: Instant, granted_until: Option<Instant>) -> Duration {
    let ends_at = granted_until.map(|until| until + STOP_MARGIN);
    ends_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
}
