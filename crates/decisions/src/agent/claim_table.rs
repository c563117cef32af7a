//! Owns the claims of entries to best-effort jobs, of those jobs whose claims this agent
//! keeps. Entries choose the agent by the job's id.
//!
//! Invariants:
//! - a claim has one holder, which alone runs the job;
//! - it passes to another entry only once the holder has released it, or once the runs
//!   of a holder that has ended can't be active any more;
//! - the latest claimant is next: its caller sent the job again, so the holder's caller
//!   no longer waits;
//! - an agent that has just started grants nothing until holders have had time to list
//!   their claims again;
//! - a claim that another agent may have kept is granted only once the runs of entries that
//!   are gone can't be active any more.

use std::time::Instant;

use indexmap::IndexMap;
use model::{ClaimOrders, ClaimUpdate, Incarnation, JobId, SchedulerKey};
use strum::Display;

/// Why an entry has the claim to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum GrantCause {
    /// It asked this agent first, and no other entry had the claim.
    Claimed,
    /// It asked here in place of an agent that is gone or silent.
    PassedOn,
    /// It listed the claim as its own.
    Listed,
    /// The entry that had the claim has released it.
    Released,
    /// The entry that had the claim is gone, and its runs are over.
    HolderLost,
}

/// A process that claims jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Claimant {
    pub(super) scheduler: SchedulerKey,
    pub(super) incarnation: Incarnation,
}

/// The claim to one job.
#[derive(Debug, Clone)]
struct KeptClaim {
    holder: Claimant,
    cause: GrantCause,
    /// Whether the holder may run the job.
    granted: bool,
    /// Time from which it may be granted.
    grant_at: Instant,
    /// Time from which no run of the holder is active; set while it has no connection.
    free_at: Option<Instant>,
    /// Who gets the claim next.
    next: Option<Claimant>,
}

/// A claim update for a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClaimNotice {
    pub(super) scheduler: SchedulerKey,
    pub(super) update: ClaimUpdate,
    /// Why its holder has the claim.
    pub(super) cause: GrantCause,
}

/// The claims that an agent keeps, by job.
#[derive(Debug, Clone)]
pub(super) struct ClaimTable {
    claims: IndexMap<JobId, KeptClaim>,
    /// Time before which nothing is granted.
    grants_from: Instant,
    /// The process of each entry that has sent claims.
    incarnations: IndexMap<SchedulerKey, Incarnation>,
    /// Entries without a connection, and when their runs are over.
    lost_entries: IndexMap<SchedulerKey, Instant>,
}

impl KeptClaim {
    fn new(holder: Claimant, cause: GrantCause, granted: bool, grant_at: Instant) -> KeptClaim {
        KeptClaim { holder, cause, granted, grant_at, free_at: None, next: None }
    }

    /// The updates that are due to the holder, and to the next claimant.
    fn notices(&self, job: &JobId) -> Vec<ClaimNotice> {
        let notice = |claimant: &Claimant, update| ClaimNotice {
            scheduler: claimant.scheduler.clone(),
            update,
            cause: self.cause,
        };
        let holder = |update| notice(&self.holder, update);
        let job = job.clone();
        let Some(next) = &self.next else {
            let granted = self.granted.then(|| holder(ClaimUpdate::Granted { job }));
            return granted.into_iter().collect();
        };
        let held = notice(next, ClaimUpdate::Held { job: job.clone() });
        match self.free_at {
            None => vec![holder(ClaimUpdate::Recalled { job }), held],
            Some(_) => vec![held],
        }
    }
}

impl ClaimTable {
    /// Creates claims of which none is granted before a time.
    pub(super) fn new(grants_from: Instant) -> ClaimTable {
        ClaimTable {
            claims: IndexMap::new(),
            grants_from,
            incarnations: IndexMap::new(),
            lost_entries: IndexMap::new(),
        }
    }

    /// Handles an entry's message; returns the updates that follow.
    pub(super) fn on_orders(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        orders: ClaimOrders,
    ) -> Vec<ClaimNotice> {
        let claimant = Claimant { scheduler: scheduler.clone(), incarnation: orders.incarnation };
        let mut notices = Vec::new();
        let known = self.incarnations.insert(scheduler.clone(), orders.incarnation);
        if known == Some(orders.incarnation) {
            // The same process is back, and lists what it holds.
            self.lost_entries.swap_remove(scheduler);
        }
        if orders.is_first {
            notices.extend(self.release_unlisted(now, &claimant, &orders.held));
        }
        for job in orders.held {
            notices.extend(self.restore(now, job, &claimant));
        }
        for job in orders.released {
            notices.extend(self.release(now, &job, &claimant));
        }
        for job in orders.claimed {
            let (cause, grant_at) = (GrantCause::Claimed, self.grants_from);
            notices.extend(self.claim(now, job, &claimant, cause, grant_at));
        }
        let lost_until = self.lost_entries.values().copied().max();
        let grant_at = lost_until.map_or(self.grants_from, |until| until.max(self.grants_from));
        for job in orders.passed_on {
            notices.extend(self.claim(now, job, &claimant, GrantCause::PassedOn, grant_at));
        }
        notices
    }

    /// Releases the claims that an entry no longer holds after a lost connection. The runs
    /// of an earlier process of it may still be active.
    fn release_unlisted(
        &mut self,
        now: Instant,
        holder: &Claimant,
        held: &[JobId],
    ) -> Vec<ClaimNotice> {
        let known = self.claims.iter().filter(|(_, claim)| claim.holder == *holder);
        let released: Vec<JobId> =
            known.map(|(job, _)| job).filter(|job| !held.contains(job)).cloned().collect();
        released.iter().flat_map(|job| self.release(now, job, holder)).collect()
    }

    /// Restores a claim. Another entry that was granted the claim meanwhile goes first.
    fn restore(&mut self, now: Instant, job: JobId, holder: &Claimant) -> Vec<ClaimNotice> {
        let claim = self.claims.entry(job.clone());
        let claim =
            claim.or_insert_with(|| KeptClaim::new(holder.clone(), GrantCause::Listed, true, now));
        if claim.holder != *holder && !claim.granted {
            let restored = KeptClaim::new(holder.clone(), GrantCause::Listed, true, now);
            let claimant = std::mem::replace(claim, restored);
            claim.next = claimant.next.or(Some(claimant.holder));
        }
        if claim.holder != *holder {
            let (scheduler, cause) = (holder.scheduler.clone(), claim.cause);
            return vec![ClaimNotice { scheduler, update: ClaimUpdate::Recalled { job }, cause }];
        }
        claim.free_at = None;
        claim.granted = true;
        claim.notices(&job)
    }

    fn claim(
        &mut self,
        now: Instant,
        job: JobId,
        claimant: &Claimant,
        cause: GrantCause,
        grant_at: Instant,
    ) -> Vec<ClaimNotice> {
        let granted = now >= grant_at;
        let claim = self.claims.entry(job.clone());
        let claim =
            claim.or_insert_with(|| KeptClaim::new(claimant.clone(), cause, granted, grant_at));
        if claim.holder == *claimant {
            claim.free_at = None;
        } else {
            claim.next = Some(claimant.clone());
        }
        claim.notices(&job)
    }

    fn release(&mut self, now: Instant, job: &JobId, claimant: &Claimant) -> Vec<ClaimNotice> {
        let Some(claim) = self.claims.get_mut(job) else { return Vec::new() };
        claim.next.take_if(|next| next == claimant);
        if claim.holder != *claimant {
            return Vec::new();
        }
        self.pass_on(now, job, GrantCause::Released)
    }

    /// Passes a claim to the next claimant, or forgets it.
    fn pass_on(&mut self, now: Instant, job: &JobId, cause: GrantCause) -> Vec<ClaimNotice> {
        let Some(claim) = self.claims.get_mut(job) else { return Vec::new() };
        let Some(next) = claim.next.take() else {
            self.claims.swap_remove(job);
            return Vec::new();
        };
        *claim = KeptClaim::new(next, cause, now >= claim.grant_at, claim.grant_at);
        claim.notices(job)
    }

    /// Handles the loss of an entry's connection: its runs are over at `free_at`, unless
    /// it comes back.
    pub(super) fn on_closed(&mut self, scheduler: &SchedulerKey, free_at: Instant) {
        if self.incarnations.contains_key(scheduler) {
            self.lost_entries.insert(scheduler.clone(), free_at);
        }
        for claim in self.claims.values_mut() {
            claim.next.take_if(|next| next.scheduler == *scheduler);
            if claim.holder.scheduler == *scheduler {
                claim.free_at = Some(free_at);
            }
        }
    }

    /// Passes on the claims whose holder's runs are over, and grants what was claimed
    /// before the first grants.
    pub(super) fn on_tick(&mut self, now: Instant) -> Vec<ClaimNotice> {
        let mut notices = Vec::new();
        self.lost_entries.retain(|_, over_at| *over_at > now);
        let due = |claim: &KeptClaim| !claim.granted && claim.grant_at <= now;
        for (job, claim) in self.claims.iter_mut().filter(|(_, claim)| due(claim)) {
            claim.granted = true;
            notices.extend(claim.notices(job));
        }
        let free = |claim: &KeptClaim| claim.free_at.is_some_and(|at| at <= now);
        let freed = self.claims.iter().filter(|(_, claim)| free(claim));
        let freed: Vec<JobId> = freed.map(|(job, _)| job.clone()).collect();
        for job in freed {
            notices.extend(self.pass_on(now, &job, GrantCause::HolderLost));
        }
        notices
    }

    /// Time at which [`ClaimTable::on_tick`] is next due.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let claims = self.claims.values();
        claims
            .filter_map(|claim| claim.free_at.or((!claim.granted).then_some(claim.grant_at)))
            .min()
    }
}
