//! Owns the claims of entries to best-effort jobs, of those jobs whose claims this agent
//! keeps. Entries choose the agent by the job's id.
//!
//! Invariants:
//! - a claim has one holder, which alone runs the job;
//! - it passes to another entry only once the holder has released it, or once the runs
//!   of a holder that has ended can't be active any more;
//! - the latest claimant is next: its caller sent the job again, so the holder's caller
//!   no longer waits;
//! - where another entry may hold the claim without this agent's knowledge, each entry is
//!   asked to release it, and it is granted once all have, or their runs are over. That is
//!   so for a claim that another agent may have kept, and for all claims at an agent that
//!   has not yet outlived the runs from before its start;
//! - an entry that has given up all agents which come first for a job has listed here what it
//!   runs, so it need not be asked;
//! - an entry that has released a claim on such a request has the agent that sent it decide
//!   on its next claim to that job.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{ClaimOrders, ClaimUpdate, Incarnation, JobId, NodeId, SchedulerKey};
use strum::Display;

use super::claim_entries::{ClaimEntries, EntryContact, GrantBasis, PassedOver, StartPhase};
use super::scheduler_session::UpdateUrgency;
use crate::claim_order::claim_rank;

/// Why an entry has the claim to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum GrantCause {
    /// It asked this agent first, and no other entry had the claim.
    Claimed,
    /// All entries have given up the agents that come first.
    Succeeded,
    /// All other entries have released the claim, or their runs are over.
    Confirmed,
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

/// The process that gets a claim next.
#[derive(Debug, Clone, PartialEq, Eq)]
struct NextClaimant {
    claimant: Claimant,
    passed_over: PassedOver,
}

/// How far the holder of a claim has got.
#[derive(Debug, Clone, PartialEq, Eq)]
enum GrantState {
    /// It may run the job.
    Granted(GrantCause),
    /// Other entries may hold it, but for those that are settled by this.
    Confirming(GrantBasis),
}

/// The claim to one job.
#[derive(Debug, Clone)]
struct KeptClaim {
    holder: Claimant,
    state: GrantState,
    /// Whether the claim is kept here in place of another agent, which other entries may ask
    /// first: an entry that has just started is told of it.
    is_substitute: bool,
    /// Time from which no run of the holder is active; set while it has no connection.
    free_at: Option<Instant>,
    /// Who gets the claim next.
    next: Option<NextClaimant>,
}

/// A claim update for a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClaimNotice {
    pub(super) scheduler: SchedulerKey,
    pub(super) update: ClaimUpdate,
    /// Why its holder has the claim; `None` while it has not been granted.
    pub(super) cause: Option<GrantCause>,
    pub(super) urgency: UpdateUrgency,
}

/// The claims that an agent keeps, by job.
#[derive(Debug, Clone)]
pub(super) struct ClaimTable {
    /// Name of this agent.
    agent: NodeId,
    claims: IndexMap<JobId, KeptClaim>,
    entries: ClaimEntries,
}

impl KeptClaim {
    fn granted(holder: Claimant, cause: GrantCause) -> KeptClaim {
        let state = GrantState::Granted(cause);
        KeptClaim { holder, state, is_substitute: false, free_at: None, next: None }
    }

    fn is_granted(&self) -> bool {
        matches!(self.state, GrantState::Granted(_))
    }

    fn is_next(&self, claimant: &Claimant) -> bool {
        self.next.as_ref().is_some_and(|next| next.claimant == *claimant)
    }

    fn cause(&self) -> Option<GrantCause> {
        match self.state {
            GrantState::Granted(cause) => Some(cause),
            GrantState::Confirming(_) => None,
        }
    }

    fn notice(&self, claimant: &Claimant, update: ClaimUpdate) -> ClaimNotice {
        let (scheduler, urgency) = (claimant.scheduler.clone(), UpdateUrgency::AtOnce);
        ClaimNotice { scheduler, update, cause: self.cause(), urgency }
    }

    /// The updates that are due to the holder, and to the next claimant. Who has to wait
    /// here may ask another agent meanwhile if this one has just `started`.
    fn notices(&self, job: &JobId, started: StartPhase) -> Vec<ClaimNotice> {
        let job = job.clone();
        let wait = match started {
            StartPhase::RunsUnknown if !self.is_granted() => {
                ClaimUpdate::Declined { job: job.clone(), grants_in_ms: None }
            }
            _ => ClaimUpdate::Held { job: job.clone() },
        };
        match &self.next {
            None if self.is_granted() => {
                vec![self.notice(&self.holder, ClaimUpdate::Granted { job })]
            }
            None => vec![self.notice(&self.holder, wait)],
            Some(next) if self.free_at.is_some() => vec![self.notice(&next.claimant, wait)],
            Some(next) => {
                let recalled = self.notice(&self.holder, ClaimUpdate::Recalled { job });
                vec![recalled, self.notice(&next.claimant, wait)]
            }
        }
    }
}

impl ClaimTable {
    /// Creates claims at an agent that starts now.
    pub(super) fn new(now: Instant, agent: NodeId) -> ClaimTable {
        ClaimTable { agent, claims: IndexMap::new(), entries: ClaimEntries::new(now) }
    }

    /// Handles a new connection to an entry.
    pub(super) fn on_opened(&mut self, scheduler: &SchedulerKey) {
        self.entries.on_opened(scheduler);
    }

    /// Handles any message of an entry.
    pub(super) fn on_contact(&mut self, scheduler: &SchedulerKey, contact: EntryContact) {
        self.entries.on_contact(scheduler, contact);
    }

    /// Handles an entry's message about claims. Returns the updates that follow.
    pub(super) fn on_orders(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        contact: EntryContact,
        orders: ClaimOrders,
    ) -> Vec<ClaimNotice> {
        let claimant = Claimant { scheduler: scheduler.clone(), incarnation: orders.incarnation };
        let up_time = Duration::from_millis(orders.up_ms.unwrap_or_default());
        let is_restarted = self.entries.on_orders(now, &claimant, contact, up_time);
        let mut notices = Vec::new();
        if orders.is_first {
            notices.extend(self.release_unlisted(now, &claimant, &orders.held));
        }
        let readmitted = self.entries.on_given_up(scheduler, &orders);
        for job in orders.held {
            let is_new = !orders.is_first && !self.claims.contains_key(&job);
            notices.extend(self.restore(job.clone(), &claimant));
            if let Some(claim) = self.claims.get_mut(&job).filter(|_| is_new) {
                claim.is_substitute = true;
                let basis = GrantBasis::unknown();
                notices.extend(ask_to_confirm(&self.entries, now, &job, claim, &basis));
            }
        }
        for job in orders.confirmed {
            notices.extend(self.confirm(now, &job, &claimant));
        }
        for job in orders.released {
            notices.extend(self.release(now, &job, &claimant));
        }
        for job in orders.claimed {
            let passed_over = match self.entries.phase() {
                StartPhase::RunsKnown => self.entries.passed_over(&job, &self.agent, scheduler),
                StartPhase::RunsUnknown => PassedOver::Unknown,
            };
            notices.extend(self.claim(now, job, &claimant, passed_over));
        }
        for job in orders.passed_on {
            notices.extend(self.claim(now, job, &claimant, PassedOver::Unknown));
        }
        if orders.is_first {
            notices.extend(self.ask_connected(now, &claimant, is_restarted));
        }
        notices.extend(self.ask_readmitting(&claimant, &readmitted));
        if let Some(revision) = orders.revision {
            let update = ClaimUpdate::FollowsGiveUps { revision };
            notices.push(untargeted(scheduler, update, UpdateUrgency::Eventually));
        }
        self.add_grant_time(now, &mut notices);
        notices
    }

    /// Tells those whose claims are declined how long no claim is granted here.
    fn add_grant_time(&self, now: Instant, notices: &mut [ClaimNotice]) {
        let left = self.entries.unknown_for(now).map(|left| left.as_millis() as u64);
        for notice in notices {
            if let ClaimUpdate::Declined { grants_in_ms, .. } = &mut notice.update {
                *grants_in_ms = left;
            }
        }
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

    /// Asks an entry that has connected to confirm what is being granted to others. A
    /// process that has just started is also told of the claims which others hold here
    /// although other agents come first.
    fn ask_connected(
        &mut self,
        now: Instant,
        entry: &Claimant,
        is_restarted: bool,
    ) -> Vec<ClaimNotice> {
        let mut notices = Vec::new();
        for (job, claim) in &mut self.claims {
            let is_holder = claim.holder.scheduler == entry.scheduler;
            if is_holder || claim.is_next(entry) {
                continue;
            }
            let is_due = match &mut claim.state {
                GrantState::Confirming(basis) if is_restarted => {
                    basis.confirmed.swap_remove(&entry.scheduler);
                    true
                }
                GrantState::Confirming(basis) => {
                    self.entries.must_confirm(now, &entry.scheduler, basis)
                }
                GrantState::Granted(_) => is_restarted && claim.is_substitute,
            };
            if is_due && self.entries.phase() == StartPhase::RunsKnown {
                notices.push(claim.notice(entry, ClaimUpdate::Confirm { job: job.clone() }));
            }
        }
        notices
    }

    /// Tells an entry that is going to ask agents again of the claims that others have been
    /// granted here in their place.
    fn ask_readmitting(&self, entry: &Claimant, readmitted: &[NodeId]) -> Vec<ClaimNotice> {
        let mut notices = Vec::new();
        if readmitted.is_empty() || self.entries.phase() == StartPhase::RunsUnknown {
            return notices;
        }
        for (job, claim) in &self.claims {
            let is_own = claim.holder.scheduler == entry.scheduler || claim.is_next(entry);
            let rank = claim_rank(job, &self.agent);
            let mut before = readmitted.iter().filter(|agent| claim_rank(job, agent) > rank);
            if !is_own && claim.is_substitute && before.next().is_some() {
                notices.push(claim.notice(entry, ClaimUpdate::Confirm { job: job.clone() }));
            }
        }
        notices
    }

    /// Restores a claim. Another entry that was granted the claim meanwhile goes first. One
    /// that is new here was granted by another agent: the other entries are to ask here.
    fn restore(&mut self, job: JobId, holder: &Claimant) -> Vec<ClaimNotice> {
        let restored = || KeptClaim::granted(holder.clone(), GrantCause::Listed);
        let claim = self.claims.entry(job.clone()).or_insert_with(restored);
        if let GrantState::Confirming(basis) = &claim.state
            && claim.holder != *holder
        {
            let passed_over = basis.passed_over.clone();
            let earlier = std::mem::replace(claim, restored());
            claim.is_substitute = earlier.is_substitute;
            let claimant = NextClaimant { claimant: earlier.holder, passed_over };
            claim.next = earlier.next.or(Some(claimant));
        }
        if claim.holder != *holder {
            return vec![claim.notice(holder, ClaimUpdate::Recalled { job })];
        }
        claim.free_at = None;
        if !claim.is_granted() {
            claim.state = GrantState::Granted(GrantCause::Listed);
        }
        claim.notices(&job, StartPhase::RunsKnown)
    }

    /// Handles a claim, for which these agents were passed over.
    fn claim(
        &mut self,
        now: Instant,
        job: JobId,
        claimant: &Claimant,
        passed_over: PassedOver,
    ) -> Vec<ClaimNotice> {
        let Some(claim) = self.claims.get_mut(&job) else {
            return self.claim_new(now, job, claimant, passed_over);
        };
        let mut replaced = None;
        if claim.holder == *claimant {
            claim.free_at = None;
        } else {
            let next = NextClaimant { claimant: claimant.clone(), passed_over };
            let earlier = claim.next.replace(next).map(|earlier| earlier.claimant);
            replaced = earlier.filter(|earlier| earlier != claimant);
        }
        let recalled = ClaimUpdate::Recalled { job: job.clone() };
        let recalled = replaced.map(|replaced| claim.notice(&replaced, recalled));
        recalled.into_iter().chain(claim.notices(&job, self.entries.phase())).collect()
    }

    /// Grants a claim that is not known here, or begins to ask the other entries that may hold
    /// it.
    fn claim_new(
        &mut self,
        now: Instant,
        job: JobId,
        claimant: &Claimant,
        passed_over: PassedOver,
    ) -> Vec<ClaimNotice> {
        let requests = self.entries.take_requests(&claimant.scheduler, &passed_over);
        let is_substitute = passed_over != PassedOver::GivenUp(Vec::new());
        let basis = GrantBasis::over(passed_over);
        let claim = KeptClaim {
            state: GrantState::Confirming(basis.clone()),
            is_substitute,
            ..KeptClaim::granted(claimant.clone(), GrantCause::Confirmed)
        };
        let phase = self.entries.phase();
        let questions = match phase {
            StartPhase::RunsUnknown => Vec::new(),
            StartPhase::RunsKnown => ask_to_confirm(&self.entries, now, &job, &claim, &basis),
        };
        let waits = claim.notices(&job, phase);
        self.claims.insert(job.clone(), claim);
        let granted = self.grant_confirmed(now, &job);
        let mut notices = if granted.is_empty() { waits } else { granted };
        notices.extend(questions);
        notices.extend(requests.into_iter().map(|(scheduler, agent)| {
            untargeted(&scheduler, ClaimUpdate::GiveUp { agent }, UpdateUrgency::WithOthers)
        }));
        notices
    }

    /// Grants a claim if no other entry can have active runs of the job.
    fn grant_confirmed(&mut self, now: Instant, job: &JobId) -> Vec<ClaimNotice> {
        let Some(claim) = self.claims.get_mut(job) else { return Vec::new() };
        let GrantState::Confirming(basis) = &claim.state else { return Vec::new() };
        if !self.entries.are_released(now, &claim.holder.scheduler, basis) {
            return Vec::new();
        }
        claim.state = GrantState::Granted(match (&basis.passed_over, claim.is_substitute) {
            (PassedOver::GivenUp(_), false) => GrantCause::Claimed,
            (PassedOver::GivenUp(_), true) if basis.confirmed.is_empty() => GrantCause::Succeeded,
            _ => GrantCause::Confirmed,
        });
        claim.notices(job, StartPhase::RunsKnown)
    }

    fn release(&mut self, now: Instant, job: &JobId, claimant: &Claimant) -> Vec<ClaimNotice> {
        let Some(claim) = self.claims.get_mut(job) else { return Vec::new() };
        claim.next.take_if(|next| next.claimant == *claimant);
        match claim.holder == *claimant {
            true => self.pass_on(now, job, GrantCause::Released),
            false => Vec::new(),
        }
    }

    /// Handles an entry's answer that it has no active run of a job.
    fn confirm(&mut self, now: Instant, job: &JobId, entry: &Claimant) -> Vec<ClaimNotice> {
        let Some(claim) = self.claims.get_mut(job) else { return Vec::new() };
        if let GrantState::Confirming(basis) = &mut claim.state {
            basis.confirmed.insert(entry.scheduler.clone());
        }
        self.grant_confirmed(now, job)
    }

    /// Passes a claim to the next claimant, or forgets it.
    fn pass_on(&mut self, now: Instant, job: &JobId, cause: GrantCause) -> Vec<ClaimNotice> {
        let Some(claim) = self.claims.get_mut(job) else { return Vec::new() };
        let Some(next) = claim.next.take() else {
            self.claims.swap_remove(job);
            return Vec::new();
        };
        let former = std::mem::replace(&mut claim.holder, next.claimant);
        claim.free_at = None;
        if claim.is_granted() && next.passed_over == PassedOver::GivenUp(Vec::new()) {
            claim.state = GrantState::Granted(cause);
            return claim.notices(job, StartPhase::RunsKnown);
        }
        // Others may ask the agents that this claimant has passed over.
        let mut basis = match &claim.state {
            GrantState::Granted(_) => GrantBasis::handed_over(),
            GrantState::Confirming(basis) => basis.clone(),
        };
        basis.passed_over = next.passed_over;
        if self.entries.is_latest(&former) {
            basis.confirmed.insert(former.scheduler);
        }
        claim.is_substitute = true;
        claim.state = GrantState::Confirming(basis.clone());
        let questions = ask_to_confirm(&self.entries, now, job, claim, &basis);
        let granted = self.grant_confirmed(now, job);
        if granted.is_empty() { questions } else { granted }
    }

    /// Handles the loss of an entry's connection: its runs are over at `free_at`, unless
    /// it comes back.
    pub(super) fn on_closed(&mut self, scheduler: &SchedulerKey, free_at: Instant) {
        self.entries.on_closed(scheduler, free_at);
        for claim in self.claims.values_mut() {
            claim.next.take_if(|next| next.claimant.scheduler == *scheduler);
            if claim.holder.scheduler == *scheduler {
                claim.free_at = Some(free_at);
            }
        }
    }

    /// Passes on the claims whose holder's runs are over, and grants those that no other
    /// entry can hold any more.
    pub(super) fn on_tick(&mut self, now: Instant) -> Vec<ClaimNotice> {
        let mut notices = Vec::new();
        if self.entries.on_tick(now) == Some(StartPhase::RunsKnown) {
            for (job, claim) in &self.claims {
                if let GrantState::Confirming(basis) = &claim.state {
                    notices.extend(ask_to_confirm(&self.entries, now, job, claim, basis));
                }
            }
        }
        let claims = self.claims.iter();
        let due = claims.filter(|(_, claim)| match claim.free_at {
            Some(free_at) => free_at <= now,
            None => !claim.is_granted(),
        });
        let due: Vec<JobId> = due.map(|(job, _)| job.clone()).collect();
        for job in due {
            let is_free = self.claims.get(&job).is_some_and(|claim| claim.free_at.is_some());
            notices.extend(match is_free {
                true => self.pass_on(now, &job, GrantCause::HolderLost),
                false => self.grant_confirmed(now, &job),
            });
        }
        notices
    }

    /// Time at which [`ClaimTable::on_tick`] is next due.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let is_confirming = self.claims.values().any(|claim| !claim.is_granted());
        let runs_over = is_confirming.then(|| self.entries.next_deadline()).flatten();
        let free = self.claims.values().filter_map(|claim| claim.free_at);
        free.chain(runs_over).min()
    }
}

/// Asks the connected entries that may run a job to confirm that they don't.
fn ask_to_confirm(
    entries: &ClaimEntries,
    now: Instant,
    job: &JobId,
    claim: &KeptClaim,
    basis: &GrantBasis,
) -> Vec<ClaimNotice> {
    let asked = entries.unsettled(now, &claim.holder.scheduler, basis);
    let request = |other: &SchedulerKey| {
        let update = ClaimUpdate::Confirm { job: job.clone() };
        untargeted(other, update, UpdateUrgency::WithOthers)
    };
    asked.map(request).collect()
}

/// An update that is not about the scheduler's own claim.
fn untargeted(
    scheduler: &SchedulerKey,
    update: ClaimUpdate,
    urgency: UpdateUrgency,
) -> ClaimNotice {
    ClaimNotice { scheduler: scheduler.clone(), update, cause: None, urgency }
}
