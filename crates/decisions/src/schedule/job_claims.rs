//! Claims best-effort jobs at agents, so that no two entries run one job at a time.
//!
//! A caller whose connection breaks sends its job again, to any entry and without delay,
//! while the first entry may not even know that its caller is gone. So an entry starts a
//! job's tasks only once it holds the claim to the job, which the agent that comes first
//! in an order by the job's id keeps. All entries compute the same order.
//!
//! Invariants:
//! - no task of a job is placed before its claim is granted, nor once the connection to
//!   the agent that keeps it has been lost for [`HOLDER_WAIT`], nor after the entry stood
//!   still for [`RECONNECT_WAIT`], until an agent grants it again;
//! - a holder lists its claim at the next agent before others ask there;
//! - a claim is released only when no run of the job can be active;
//! - a job whose claim is recalled is ended: its caller has sent it again;
//! - an agent to which this entry has confirmed that it doesn't run a job may keep the claim
//!   of another entry although others come first, so that it is asked first if the job comes
//!   here again.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    ClaimOrders, ClaimUpdate, EventLine, JobId, JobPhase, JobReply, NodeId, TaskName, later,
};

use super::given_up_agents::GivenUpAgents;
use super::scheduler::{ScheduleStep, Scheduler, SchedulerKind};
use crate::claim_order::claim_rank;

/// How long a connected agent may take to answer a claim before another one is asked too.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which an entry that has inputs to handle checks whether agents are silent.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long a claim waits for an agent whose connection was lost to connect again.
pub(super) const RECONNECT_WAIT: Duration = Duration::from_millis(300);
/// How long the holder of a claim waits for it, before it tells the next agent of the claim:
/// well before other entries ask that one.
const HOLDER_WAIT: Duration = Duration::from_millis(150);
/// Maximum number of agents that are asked in place of ones that have just started.
const MAX_DECLINES: usize = 3;
/// Time after the connection of an agent, while no other one was connected, in which the
/// others connect.
const CONNECT_TIME: Duration = Duration::from_millis(200);
/// How long an entry remembers which agent it has confirmed a claim to: longer than callers
/// of best-effort jobs wait for them.
const CONFIRM_MEMORY: Duration = Duration::from_secs(10);

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimPhase {
    /// No agent has granted it yet.
    Pending,
    /// Another entry holds it; the agent grants it later.
    Contended,
    /// The job may run.
    Granted,
    /// The job runs, but the agent that has granted the claim may have lost it.
    Unconfirmed,
}

impl ClaimPhase {
    /// Whether no agent has granted the claim yet.
    fn is_ungranted(self) -> bool {
        matches!(self, ClaimPhase::Pending | ClaimPhase::Contended)
    }

    /// How long an agent whose connection was lost may take to connect again.
    fn reconnect_wait(self) -> Duration {
        if self.is_ungranted() { RECONNECT_WAIT } else { HOLDER_WAIT }
    }
}

/// Claim of this entry to one job.
#[derive(Debug, Clone)]
struct JobClaim {
    phase: ClaimPhase,
    /// When the job has ended here; the claim is released once its last run is over.
    closed_at: Option<Instant>,
    /// Whether another entry waits for the release.
    is_recalled: bool,
    /// Agent to which it was confirmed that no run of the job was active.
    confirmed_to: Option<NodeId>,
    since: Instant,
    /// Agents that were asked; the last one keeps the claim, or was asked last.
    asked: Vec<NodeId>,
    asked_at: Instant,
    /// Whether the agent that was asked last can't grant the claim yet.
    is_declined: bool,
    /// Number of agents that could not, since the claim was last granted.
    declines: usize,
    /// Earliest time at which one of them can; set with the first that could not.
    grants_at: Option<Instant>,
    /// Whether it was last asked for in place of an agent that comes first.
    is_passed_on: bool,
    /// Tasks whose runs may still be active although the job has ended.
    stopping: Vec<TaskName>,
}

impl JobClaim {
    /// Makes an agent that was asked the one that keeps the claim.
    fn set_keeper(&mut self, agent: &NodeId) {
        self.is_declined = false;
        self.declines = 0;
        self.grants_at = None;
        self.asked.retain(|asked| asked != agent);
        self.asked.push(agent.clone());
    }

    /// Takes an agent that is given up out of those that were asked for the first grant.
    /// Returns the keeper instead if the job runs and the agent was asked for it.
    fn drop_agent(&mut self, agent: &NodeId) -> Option<NodeId> {
        if !self.asked.contains(agent) {
            return None;
        }
        if !self.phase.is_ungranted() {
            return self.asked.last().cloned();
        }
        if self.asked.last() == Some(agent) {
            self.phase = ClaimPhase::Pending;
            self.is_declined = true;
        }
        self.asked.retain(|asked| asked != agent);
        None
    }

    /// Whether an agent that was asked, and that others would ask too, comes before this one
    /// in the order of the job.
    fn is_preceded(&self, job: &JobId, agent: &NodeId, is_gone: impl Fn(&NodeId) -> bool) -> bool {
        let rank = claim_rank(job, agent);
        self.asked.iter().any(|asked| claim_rank(job, asked) > rank && !is_gone(asked))
    }
}

/// How a job that is submitted may proceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimStart {
    /// Its tasks may be placed.
    Granted,
    /// It waits for the grant.
    Wait,
}

/// What to do about a claim without a grant.
enum ClaimStep {
    /// Ask this agent.
    Ask(NodeId),
    /// Check again at this time.
    WaitUntil(Instant),
    /// Wait for an agent to connect.
    Wait,
}

/// The claims of an entry.
#[derive(Debug, Clone, Default)]
pub(super) struct JobClaims {
    claims: IndexMap<JobId, JobClaim>,
    /// Jobs confirmed to have no active run here, to which agent and when; oldest first.
    confirmed: IndexMap<JobId, (NodeId, Instant)>,
    /// Agents that are not asked.
    pub(super) given_up: GivenUpAgents,
    /// Number of claims that are closing.
    closing: usize,
    /// Time of the next check for claims without a grant.
    next_check: Option<Instant>,
    /// Time since which an agent is connected.
    connected_at: Option<Instant>,
    /// Time at which an agent last connected.
    agent_connected_at: Option<Instant>,
    /// Time at which this entry last acted on its inputs.
    checked_at: Option<Instant>,
    /// Time at which it went on after it had stood still.
    resumed_at: Option<Instant>,
    /// Whether no input waits: agents that have not answered in time are silent.
    pub(super) is_idle: bool,
}

impl JobClaims {
    /// Whether a job waits for the first grant of its claim.
    pub(super) fn is_pending(&self, job: &JobId) -> bool {
        let claim = self.claims.get(job);
        claim.is_some_and(|claim| claim.phase.is_ungranted())
    }

    /// Whether the tasks of a job may be placed.
    pub(super) fn allows_placement(&self, job: &JobId) -> bool {
        self.claims.get(job).is_none_or(|claim| claim.phase == ClaimPhase::Granted)
    }

    /// Time of the next check for claims without a grant.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.next_check
    }

    /// Remembers which agent grants the claim to a job to another entry.
    fn note_confirm(&mut self, now: Instant, agent: &NodeId, job: &JobId) {
        let is_old = |(_, at): &(NodeId, Instant)| *at + CONFIRM_MEMORY <= now;
        while self.confirmed.first().is_some_and(|(_, recall)| is_old(recall)) {
            self.confirmed.shift_remove_index(0);
        }
        self.confirmed.shift_remove(job);
        self.confirmed.insert(job.clone(), (agent.clone(), now));
    }

    /// Whether a claim under which a job runs is kept by this agent.
    pub(super) fn is_keeper(&self, agent: &NodeId) -> bool {
        let mut claims = self.claims.values();
        claims.any(|claim| !claim.phase.is_ungranted() && claim.asked.last() == Some(agent))
    }

    /// Takes an agent that is given up out of the claims without a grant. Returns the running
    /// jobs for which it was asked, with the agents that keep their claims.
    pub(super) fn drop_agent(&mut self, agent: &NodeId) -> Vec<(JobId, NodeId)> {
        let claims = self.claims.iter_mut();
        let kept = claims
            .filter_map(|(job, claim)| claim.drop_agent(agent).map(|keeper| (job.clone(), keeper)));
        kept.collect()
    }

    /// Time until which other agents may connect that have lost their connections with this
    /// entry's others, if it has not come.
    pub(super) fn next_connect_end(&self, now: Instant) -> Option<Instant> {
        let connected_at = self.connected_at.max(self.resumed_at)?;
        Some(connected_at + CONNECT_TIME).filter(|until| now < *until)
    }

    /// Notes that an agent may be asked from now on.
    pub(super) fn on_agent_connected(&mut self, now: Instant) {
        self.agent_connected_at = Some(now);
        self.require_check(now);
    }

    pub(super) fn require_check(&mut self, at: Instant) {
        self.next_check = self.next_check.into_iter().chain([at]).min();
    }
}

impl Scheduler {
    /// Whether the tasks of a job must not be placed yet.
    pub(super) fn is_held(&self, job: &JobId) -> bool {
        self.held_jobs.contains(job) || self.claims.is_pending(job)
    }

    /// Whether another entry waits for this one to release its claim to a job.
    pub(super) fn is_claim_recalled(&self, job: &JobId) -> bool {
        self.claims.claims.get(job).is_some_and(|claim| claim.is_recalled)
    }

    /// Claims a job that was submitted to an entry.
    pub(super) fn claim_job(&mut self, now: Instant, job: &JobId) -> ClaimStart {
        if self.kind != SchedulerKind::Entry {
            return ClaimStart::Granted;
        }
        match self.claims.claims.get_mut(job) {
            Some(claim) => {
                self.claims.closing -= usize::from(claim.closed_at.take().is_some());
                if claim.phase.is_ungranted() { ClaimStart::Wait } else { ClaimStart::Granted }
            }
            None => {
                let claim = JobClaim {
                    phase: ClaimPhase::Pending,
                    closed_at: None,
                    is_recalled: false,
                    confirmed_to: self.claims.confirmed.get(job).map(|(agent, _)| agent.clone()),
                    since: now,
                    asked: Vec::new(),
                    asked_at: now,
                    is_declined: false,
                    declines: 0,
                    grants_at: None,
                    is_passed_on: false,
                    stopping: Vec::new(),
                };
                self.claims.claims.insert(job.clone(), claim);
                self.claims.require_check(now);
                ClaimStart::Wait
            }
        }
    }

    /// Asks agents to grant the claims for which that is due.
    pub(super) fn check_claims(&mut self, now: Instant) {
        if self.claims.next_check.is_none_or(|at| at > now) {
            return;
        }
        self.claims.next_check = None;
        self.doubt_claims(now);
        let claims = self.claims.claims.iter();
        let pending = claims.filter(|(_, claim)| {
            matches!(claim.phase, ClaimPhase::Pending | ClaimPhase::Unconfirmed)
        });
        let pending: Vec<JobId> = pending.map(|(job, _)| job.clone()).collect();
        for job in pending {
            match self.next_claim_step(now, &job) {
                ClaimStep::Ask(agent) => self.ask_for_claim(now, &job, agent),
                ClaimStep::WaitUntil(at) => self.claims.require_check(at),
                ClaimStep::Wait => {}
            }
        }
        self.give_up_agents(now);
    }

    /// Doubts all claims after a time in which this entry stood still: it may not have
    /// learned yet which connections were lost, and the claims may have passed to others.
    /// The agents that keep them are asked first, as after a connection.
    pub(super) fn doubt_after_pause(&mut self, now: Instant) {
        let checked_at = self.claims.checked_at.replace(now).unwrap_or(now);
        if now < checked_at + RECONNECT_WAIT {
            return;
        }
        let mut doubted = 0;
        let claims = self.claims.claims.iter_mut();
        for (job, claim) in claims.filter(|(_, claim)| claim.phase == ClaimPhase::Granted) {
            doubted += 1;
            self.claims.resumed_at = Some(now);
            self.claims.next_check = Some(now);
            claim.phase = ClaimPhase::Unconfirmed;
            claim.asked_at = now;
            let Some(keeper) = claim.asked.last() else { continue };
            if let Some(state) = self.agents.get_mut(keeper) {
                state.claim_outbox.held.push(job.clone());
                self.due_agents.insert(keeper.clone());
            }
        }
        if doubted > 0 {
            let paused = now.saturating_duration_since(checked_at);
            let line = EventLine::new("claims_doubted").with("claims", doubted);
            self.steps.push(ScheduleStep::Log(line.with("paused_ms", paused.as_millis())));
        }
    }

    /// Doubts the claims that agents keep which did not connect again in time.
    fn doubt_claims(&mut self, now: Instant) {
        let agents = &self.agents;
        let mut next_check = None;
        for claim in self.claims.claims.values_mut() {
            let doubted = match claim.phase {
                ClaimPhase::Granted => ClaimPhase::Unconfirmed,
                ClaimPhase::Contended => ClaimPhase::Pending,
                ClaimPhase::Pending | ClaimPhase::Unconfirmed => continue,
            };
            let keeper = claim.asked.last().and_then(|agent| agents.get(agent));
            let wait = claim.phase.reconnect_wait();
            let lost_at = keeper.map_or(Some(now - wait), |state| state.link_lost_at);
            let lost_until = lost_at.map(|at| at + wait);
            match lost_until {
                Some(at) if at <= now => claim.phase = doubted,
                Some(at) => next_check = next_check.into_iter().chain([at]).min(),
                None => {}
            }
        }
        if let Some(at) = next_check {
            self.claims.require_check(at);
        }
    }

    /// Requires a check of the claims that an agent keeps, once it has had time to connect
    /// again.
    pub(super) fn on_claim_keeper_lost(&mut self, now: Instant) {
        if self.kind == SchedulerKind::Entry {
            self.claims.require_check(now + HOLDER_WAIT);
        }
    }

    fn next_claim_step(&self, now: Instant, job: &JobId) -> ClaimStep {
        let Some(claim) = self.claims.claims.get(job) else { return ClaimStep::Wait };
        let Some(mut connected_at) = self.claims.connected_at else { return ClaimStep::Wait };
        if claim.phase == ClaimPhase::Unconfirmed {
            // After a pause of this entry the other agents connect again too.
            connected_at = self.claims.resumed_at.map_or(connected_at, |at| at.max(connected_at));
        }
        if now < connected_at + CONNECT_TIME {
            return ClaimStep::WaitUntil(connected_at + CONNECT_TIME);
        }
        let wait = claim.phase.reconnect_wait();
        if let Some(agent) = claim.asked.last()
            && let Some(until) = self.claim_wait(now, agent, claim)
            && now < until
        {
            return ClaimStep::WaitUntil(until);
        }
        if claim.declines >= MAX_DECLINES {
            return ClaimStep::Wait;
        }
        if let Some(agent) = &claim.confirmed_to
            && !claim.asked.contains(agent)
            && self.agents.get(agent).is_some_and(|state| state.link_lost_at.is_none())
        {
            return ClaimStep::Ask(agent.clone());
        }
        self.choose_claim_keeper(now, job, &claim.asked, wait)
    }

    /// Time until which an agent that was asked may take to answer; `None` if it is gone, or
    /// can't grant the claim yet.
    fn claim_wait(&self, now: Instant, agent: &NodeId, claim: &JobClaim) -> Option<Instant> {
        let state = self.agents.get(agent)?;
        match state.link_lost_at {
            None if claim.is_declined => None,
            // Its answer may be among the inputs that wait.
            None if !self.claims.is_idle => {
                Some((claim.asked_at + CLAIM_TIMEOUT).max(now + LAG_CHECK_INTERVAL))
            }
            None => Some(claim.asked_at + CLAIM_TIMEOUT),
            Some(lost_at) => Some(lost_at + claim.phase.reconnect_wait()),
        }
    }

    /// Chooses the first agent in the order of the job that was not asked yet. One that
    /// lost its connection no longer ago than `wait` keeps its place.
    fn choose_claim_keeper(
        &self,
        now: Instant,
        job: &JobId,
        asked: &[NodeId],
        wait: Duration,
    ) -> ClaimStep {
        let reachable = self.agents.iter().filter(|(agent, state)| {
            let is_back_soon = state.link_lost_at.is_none_or(|at| now < at + wait);
            is_back_soon && !asked.contains(*agent) && !self.claims.given_up.contains(agent)
        });
        let Some((agent, state)) = reachable.max_by_key(|(agent, _)| claim_rank(job, agent)) else {
            return ClaimStep::Wait;
        };
        match state.link_lost_at {
            None => ClaimStep::Ask(agent.clone()),
            Some(lost_at) => ClaimStep::WaitUntil(lost_at + wait),
        }
    }

    /// Whether others may ask an agent that comes before this one in the order of a job. If all
    /// are told that it is given up, the agent that is asked decides that itself.
    fn are_others_first(&self, job: &JobId, agent: &NodeId) -> bool {
        let rank = claim_rank(job, agent);
        let given_up = &self.claims.given_up;
        let decides = self.agents.get(agent).is_some_and(|state| state.give_ups.is_follower());
        let mut known = self.agents.keys().chain(given_up.names());
        known.any(|other| claim_rank(job, other) > rank && !(decides && given_up.is_gone(other)))
    }

    fn ask_for_claim(&mut self, now: Instant, job: &JobId, agent: NodeId) {
        let are_others_first = self.are_others_first(job, &agent);
        let Some(claim) = self.claims.claims.get_mut(job) else { return };
        claim.asked.push(agent.clone());
        claim.asked_at = now;
        claim.is_declined = false;
        let is_running = claim.phase == ClaimPhase::Unconfirmed;
        let is_passed_on = are_others_first || claim.confirmed_to.is_some();
        claim.is_passed_on = is_passed_on;
        self.claims.require_check(now + CLAIM_TIMEOUT);
        if let Some(state) = self.agents.get_mut(&agent) {
            let orders = &mut state.claim_outbox;
            let list = match (is_running, is_passed_on) {
                (true, _) => &mut orders.held,
                (false, true) => &mut orders.passed_on,
                (false, false) => &mut orders.claimed,
            };
            list.push(job.clone());
            self.due_agents.insert(agent);
        }
    }

    /// Lists the claims that an agent keeps, in the first message of its session. It
    /// grants them again.
    pub(super) fn list_claims(&mut self, now: Instant, agent: &NodeId) {
        if self.kind != SchedulerKind::Entry {
            return;
        }
        self.on_agent_returned(agent);
        let mut others = self.agents.iter().filter(|(other, _)| *other != agent);
        if others.all(|(_, state)| state.link.is_none()) {
            self.claims.connected_at = Some(now);
        }
        self.claims.on_agent_connected(now);
        let (mut claimed, mut held) = (Vec::new(), Vec::new());
        let agents = &self.agents;
        // While all agents connect again, one that is not back yet may still keep the claim.
        let connected_at = self.claims.connected_at.max(self.claims.resumed_at);
        let are_back = connected_at.is_none_or(|at| at + CONNECT_TIME <= now);
        let given_up = &self.claims.given_up;
        let is_gone = |asked: &NodeId| {
            let lost_at = agents.get(asked).map(|state| state.link_lost_at);
            let is_lost =
                lost_at.is_none_or(|lost_at| lost_at.is_some_and(|at| at + HOLDER_WAIT <= now));
            given_up.is_gone(asked) || (are_back && is_lost)
        };
        let claims = self.claims.claims.iter_mut();
        for (job, claim) in claims {
            if !claim.asked.contains(agent) {
                if claim.phase.is_ungranted() || claim.is_preceded(job, agent, is_gone) {
                    continue;
                }
                // Other entries ask this agent first.
                claim.asked.insert(0, agent.clone());
            }
            if claim.phase == ClaimPhase::Granted && claim.asked.last() == Some(agent) {
                claim.phase = ClaimPhase::Unconfirmed;
                claim.asked_at = now;
            }
            let list = if claim.phase.is_ungranted() { &mut claimed } else { &mut held };
            list.push(job.clone());
        }
        self.due_agents.insert(agent.clone());
        let (given_up, revision) = self.list_given_up(agent);
        if let Some(state) = self.agents.get_mut(agent) {
            let up_time = now.saturating_duration_since(self.leader_since);
            state.claim_outbox = ClaimOrders {
                is_first: true,
                up_ms: Some(up_time.as_millis() as u64),
                claimed,
                held,
                given_up,
                revision: Some(revision),
                ..ClaimOrders::default()
            };
        }
        self.end_agent_returns(now);
    }

    /// Handles a claim update of an agent.
    pub(super) fn on_claim_update(&mut self, now: Instant, agent: &NodeId, update: &ClaimUpdate) {
        match update {
            ClaimUpdate::Granted { job } => self.on_claim_granted(now, agent, job),
            ClaimUpdate::Held { job } => self.on_claim_held(agent, job),
            ClaimUpdate::Declined { job, grants_in_ms } => {
                // Agents of an earlier version don't tell: they may grant it at any time.
                let grants_in = Duration::from_millis(grants_in_ms.unwrap_or_default());
                self.on_claim_declined(now, agent, job, later(now, grants_in));
            }
            ClaimUpdate::Recalled { job } => self.on_claim_recalled(now, agent, job),
            ClaimUpdate::Confirm { job } => self.on_confirm_request(now, agent, job),
            ClaimUpdate::GiveUp { agent } => self.on_give_up_request(now, agent),
            ClaimUpdate::FollowsGiveUps { revision } => {
                self.on_give_ups_followed(now, agent, *revision)
            }
        }
    }

    fn on_claim_granted(&mut self, now: Instant, agent: &NodeId, job: &JobId) {
        let Some(claim) = self.claims.claims.get_mut(job) else {
            return self.release_claim_at(agent, job, false);
        };
        match claim.phase {
            ClaimPhase::Granted => return,
            ClaimPhase::Contended if claim.asked.last() != Some(agent) => return,
            ClaimPhase::Unconfirmed => {
                claim.phase = ClaimPhase::Granted;
                claim.set_keeper(agent);
                self.placement_due = true;
                return;
            }
            ClaimPhase::Pending | ClaimPhase::Contended => {
                claim.phase = ClaimPhase::Granted;
                claim.set_keeper(agent);
            }
        }
        let (since, is_passed_on) = (claim.since, claim.is_passed_on);
        let has_connected = self.claims.agent_connected_at.is_some_and(|at| at >= since);
        if has_connected || self.claims.given_up.has_returning() {
            self.list_granted(agent, job);
        }
        let waited = now.saturating_duration_since(since);
        match is_passed_on {
            true => self.counts.passed_on_grants.add(waited),
            false => self.counts.first_grants.add(waited),
        }
        if waited >= CLAIM_TIMEOUT {
            let line = EventLine::new("claim_granted").with("job", job).with("agent", agent);
            let line = line.with("waited_ms", waited.as_millis());
            let line = line.with("passed_on", is_passed_on);
            self.steps.push(ScheduleStep::Log(line));
        }
        self.release_steps(job);
        self.note_expiry(job);
    }

    /// Lists a claim at the agents that other entries ask before its keeper: one that connected
    /// while the claim was pending was not told of it.
    pub(super) fn list_granted(&mut self, keeper: &NodeId, job: &JobId) {
        let rank = claim_rank(job, keeper);
        let Some(claim) = self.claims.claims.get_mut(job) else { return };
        for (agent, state) in &mut self.agents {
            let comes_before = state.link.is_some() && claim_rank(job, agent) > rank;
            if comes_before && !claim.asked.contains(agent) {
                claim.asked.insert(0, agent.clone());
                state.claim_outbox.held.push(job.clone());
                self.due_agents.insert(agent.clone());
            }
        }
    }

    /// Waits for the grant of the agent at which another entry holds the claim.
    fn on_claim_held(&mut self, agent: &NodeId, job: &JobId) {
        let Some(claim) = self.claims.claims.get_mut(job) else {
            return self.release_claim_at(agent, job, false);
        };
        if claim.phase == ClaimPhase::Pending {
            claim.phase = ClaimPhase::Contended;
            claim.set_keeper(agent);
        }
    }

    /// Asks the next agent, since this one has just started.
    fn on_claim_declined(&mut self, now: Instant, agent: &NodeId, job: &JobId, grants_at: Instant) {
        let Some(claim) = self.claims.claims.get_mut(job) else {
            return self.release_claim_at(agent, job, false);
        };
        if claim.phase.is_ungranted() && claim.asked.last() == Some(agent) {
            claim.phase = ClaimPhase::Pending;
            claim.is_declined = true;
            claim.declines += 1;
            claim.grants_at = claim.grants_at.into_iter().chain([grants_at]).min();
            self.claims.require_check(now);
            self.note_declined(now, job);
        }
    }

    /// Earliest time at which the claim to a job can be granted, if all agents that may be
    /// asked for it have declined it.
    pub(super) fn grant_time(&self, now: Instant, job: &JobId) -> Option<Instant> {
        let claim = self.claims.claims.get(job)?;
        let is_declined = claim.phase == ClaimPhase::Pending && claim.is_declined;
        let is_last = || matches!(self.next_claim_step(now, job), ClaimStep::Wait);
        claim.grants_at.filter(|_| is_declined && is_last())
    }

    /// Ends a job that its caller has sent to another entry. The claim is released once
    /// no run of the job is active.
    fn on_claim_recalled(&mut self, now: Instant, agent: &NodeId, job: &JobId) {
        self.claims.note_confirm(now, agent, job);
        let Some(claim) = self.claims.claims.get_mut(job) else {
            return self.release_claim_at(agent, job, true);
        };
        claim.is_recalled = true;
        let line = EventLine::new("claim_recalled").with("job", job).with("agent", agent);
        self.steps.push(ScheduleStep::Log(line));
        self.answer_waiter(job, JobReply::Unclear);
        let change = self.volatile_store.close(job, JobPhase::Cancelled, 0);
        self.on_change(now, change);
    }

    /// Confirms that no run of a job is active here, at once or when its runs have been
    /// stopped. Under a claim that no agent has granted yet there are none.
    fn on_confirm_request(&mut self, now: Instant, agent: &NodeId, job: &JobId) {
        self.counts.confirm_requests += 1;
        self.claims.note_confirm(now, agent, job);
        let Some(claim) = self.claims.claims.get_mut(job) else {
            return self.release_claim_at(agent, job, true);
        };
        let is_asked = claim.asked.contains(agent);
        match claim.phase {
            ClaimPhase::Pending | ClaimPhase::Contended if is_asked => {}
            ClaimPhase::Pending if claim.closed_at.is_none() => self.divert_claim(now, agent, job),
            _ => {
                if !is_asked {
                    claim.asked.insert(0, agent.clone());
                }
                self.on_claim_recalled(now, agent, job);
            }
        }
    }

    /// Leaves it to an agent that was not asked for a claim yet, and grants it to another
    /// entry, which of both is next. No run was started under the claim.
    fn divert_claim(&mut self, now: Instant, agent: &NodeId, job: &JobId) {
        let Some(claim) = self.claims.claims.get_mut(job) else { return };
        claim.phase = ClaimPhase::Contended;
        claim.asked.push(agent.clone());
        claim.asked_at = now;
        claim.is_passed_on = true;
        if let Some(state) = self.agents.get_mut(agent) {
            state.claim_outbox.passed_on.push(job.clone());
            self.due_agents.insert(agent.clone());
        }
    }

    /// Notes that a job has ended here; `stopping` are the tasks whose runs may still be
    /// active.
    pub(super) fn close_claim(&mut self, now: Instant, job: &JobId, stopping: Vec<TaskName>) {
        let Some(claim) = self.claims.claims.get_mut(job) else { return };
        self.claims.closing += usize::from(claim.closed_at.replace(now).is_none());
        claim.stopping = stopping;
    }

    /// Releases the claims to ended jobs of which no run is active any more.
    pub(super) fn release_claims(&mut self) {
        if self.claims.closing == 0 {
            return;
        }
        let placements = &self.placements;
        let is_active = |task: &TaskName| placements.get(task).is_some_and(|placed| !placed.ended);
        let released = self.claims.claims.extract_if(.., |_, claim| {
            claim.closed_at.is_some() && !claim.stopping.iter().any(is_active)
        });
        let released: Vec<(JobId, JobClaim)> = released.collect();
        self.claims.closing -= released.len();
        for (job, claim) in released {
            for agent in &claim.asked {
                self.release_claim_at(agent, &job, claim.is_recalled);
            }
        }
    }

    /// Releases a claim at one agent, at once if another entry waits for it, else with
    /// the next message. Without a connection the next session's list tells it.
    fn release_claim_at(&mut self, agent: &NodeId, job: &JobId, at_once: bool) {
        let Some(state) = self.agents.get_mut(agent) else { return };
        if state.link_lost_at.is_some() {
            return;
        }
        let keeper = self.claims.confirmed.get(job);
        if keeper.is_some_and(|(keeper, _)| keeper == agent) {
            state.claim_outbox.confirmed.push(job.clone());
        }
        state.claim_outbox.released.push(job.clone());
        if at_once {
            self.due_agents.insert(agent.clone());
        }
    }
}
