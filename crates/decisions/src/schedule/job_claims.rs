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
//! - a job whose claim is recalled is ended: its caller has sent it again.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    ClaimOrders, ClaimUpdate, EventLine, JobId, JobPhase, JobReply, NodeId, TaskName, fingerprint,
};

use super::agent_state::AgentState;
use super::live_job::Placement;
use super::scheduler::{ScheduleStep, Scheduler, SchedulerKind};

/// How long a connected agent may take to answer a claim before another one is asked too.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a claim waits for an agent whose connection was lost to connect again.
const RECONNECT_WAIT: Duration = Duration::from_millis(300);
/// How long the holder of a claim waits for it, before it tells the next agent of the claim:
/// well before other entries ask that one.
const HOLDER_WAIT: Duration = Duration::from_millis(150);
/// How long the agent that keeps the claim to a job may be silent after the job was ended
/// here while its runs are being stopped, before the next agent keeps the claim, and that
/// one before the agent after it. Shorter than [`CLAIM_TIMEOUT`]: the entry to which the
/// caller has sent the job passes over silent agents in the same order.
const STOP_SILENCE: Duration = Duration::from_millis(30);
/// Maximum number of agents that are told of the claim to an ended job: an entry that lags
/// sees agents as silent that are not.
const MAX_STOP_KEEPERS: usize = 3;
/// Time after the connection of an agent, while no other one was connected, in which the
/// others connect.
const CONNECT_TIME: Duration = Duration::from_millis(200);

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
    /// Whether another agent was asked to keep the claim since then.
    is_passed_on: bool,
    /// Whether another entry waits for the release.
    is_recalled: bool,
    since: Instant,
    /// Agents that were asked; the last one keeps the claim, or was asked last.
    asked: Vec<NodeId>,
    asked_at: Instant,
    /// Tasks whose runs may still be active although the job has ended.
    stopping: Vec<TaskName>,
}

impl JobClaim {
    /// How long a connected agent may take to answer before another one is asked too.
    fn answer_timeout(&self) -> Duration {
        match self.closed_at {
            None => CLAIM_TIMEOUT,
            Some(_) => STOP_SILENCE,
        }
    }

    /// When the next agent is to keep the claim to an ended job too: agents with runs that are
    /// being stopped may stand still, and the one that keeps the claim. What that one said
    /// after the end may have been sent before it, so that with runs of its own it is believed
    /// only about an agent that was asked since then.
    fn silent_at(
        &self,
        agents: &IndexMap<NodeId, AgentState>,
        placements: &IndexMap<TaskName, Placement>,
    ) -> Option<Instant> {
        let closed_at = self.closed_at?;
        let keeper = self.asked.last()?;
        let is_silent =
            |agent: &NodeId| agents.get(agent).is_some_and(|state| state.last_contact <= closed_at);
        let left = self.stopping.iter().filter_map(|task| placements.get(task));
        let is_due = left.filter(|placed| !placed.ended).any(|placed| {
            let is_keeper = placed.agent == *keeper && !self.is_passed_on;
            is_keeper || (is_silent(keeper) && is_silent(&placed.agent))
        });
        is_due.then_some(closed_at + STOP_SILENCE)
    }

    /// Makes an agent that was asked the one that keeps the claim.
    fn set_keeper(&mut self, agent: &NodeId) {
        self.asked.retain(|asked| asked != agent);
        self.asked.push(agent.clone());
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

    fn require_check(&mut self, at: Instant) {
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
                    is_passed_on: false,
                    is_recalled: false,
                    since: now,
                    asked: Vec::new(),
                    asked_at: now,
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

    /// Doubts the claims that agents keep which did not connect again in time, or which are
    /// silent while silent agents have runs of an ended job.
    fn doubt_claims(&mut self, now: Instant) {
        let agents = &self.agents;
        let placements = &self.placements;
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
            match lost_until.into_iter().chain(claim.silent_at(agents, placements)).min() {
                Some(at) if at <= now => {
                    claim.phase = doubted;
                    claim.is_passed_on = claim.closed_at.is_some();
                }
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
            && let Some(until) = self.claim_wait(agent, claim)
            && now < until
        {
            return ClaimStep::WaitUntil(until);
        }
        if claim.closed_at.is_some() && claim.asked.len() >= MAX_STOP_KEEPERS {
            return ClaimStep::Wait;
        }
        self.choose_claim_keeper(now, job, &claim.asked, wait)
    }

    /// Time until which an agent that was asked may take to answer; `None` if it is gone.
    fn claim_wait(&self, agent: &NodeId, claim: &JobClaim) -> Option<Instant> {
        let state = self.agents.get(agent)?;
        match state.link_lost_at {
            None => Some(claim.asked_at + claim.answer_timeout()),
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
            is_back_soon && !asked.contains(*agent)
        });
        let Some((agent, state)) = reachable.max_by_key(|(agent, _)| claim_rank(job, agent)) else {
            return ClaimStep::Wait;
        };
        match state.link_lost_at {
            None => ClaimStep::Ask(agent.clone()),
            Some(lost_at) => ClaimStep::WaitUntil(lost_at + wait),
        }
    }

    fn ask_for_claim(&mut self, now: Instant, job: &JobId, agent: NodeId) {
        let Some(claim) = self.claims.claims.get_mut(job) else { return };
        claim.asked.push(agent.clone());
        claim.asked_at = now;
        let is_running = claim.phase == ClaimPhase::Unconfirmed;
        let timeout = claim.answer_timeout();
        self.claims.require_check(now + timeout);
        let rank = claim_rank(job, &agent);
        let is_passed_on = self.agents.keys().any(|other| claim_rank(job, other) > rank);
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
        let mut others = self.agents.iter().filter(|(other, _)| *other != agent);
        if others.all(|(_, state)| state.link.is_none()) {
            self.claims.connected_at = Some(now);
        }
        self.claims.agent_connected_at = Some(now);
        self.claims.require_check(now);
        let (mut claimed, mut held) = (Vec::new(), Vec::new());
        let agents = &self.agents;
        // While all agents connect again, one that is not back yet may still keep the claim.
        let connected_at = self.claims.connected_at.max(self.claims.resumed_at);
        let are_back = connected_at.is_none_or(|at| at + CONNECT_TIME <= now);
        let is_gone = |asked: &NodeId| {
            let lost_at = agents.get(asked).map(|state| state.link_lost_at);
            are_back
                && lost_at.is_none_or(|lost_at| lost_at.is_some_and(|at| at + HOLDER_WAIT <= now))
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
        if !claimed.is_empty() || !held.is_empty() {
            self.due_agents.insert(agent.clone());
        }
        if let Some(state) = self.agents.get_mut(agent) {
            let orders = &mut state.claim_outbox;
            *orders = ClaimOrders { is_first: true, claimed, held, ..ClaimOrders::default() };
        }
    }

    /// Handles a claim update of an agent.
    pub(super) fn on_claim_update(&mut self, now: Instant, agent: &NodeId, update: &ClaimUpdate) {
        match update {
            ClaimUpdate::Granted { job } => self.on_claim_granted(now, agent, job),
            ClaimUpdate::Held { job } => self.on_claim_held(agent, job),
            ClaimUpdate::Recalled { job } => self.on_claim_recalled(now, agent, job),
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
        let since = claim.since;
        if self.claims.agent_connected_at.is_some_and(|at| at >= since) {
            self.list_granted(agent, job);
        }
        let waited = now.saturating_duration_since(since);
        if waited >= CLAIM_TIMEOUT {
            let line = EventLine::new("claim_granted").with("job", job).with("agent", agent);
            let line = line.with("waited_ms", waited.as_millis());
            self.steps.push(ScheduleStep::Log(line));
        }
        self.release_steps(job);
        self.note_expiry(job);
    }

    /// Lists a claim at the agents that other entries ask before its keeper: one that connected
    /// while the claim was pending was not told of it.
    fn list_granted(&mut self, keeper: &NodeId, job: &JobId) {
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

    /// Ends a job that its caller has sent to another entry. The claim is released once
    /// no run of the job is active.
    fn on_claim_recalled(&mut self, now: Instant, agent: &NodeId, job: &JobId) {
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

    /// Notes that a job has ended here; `stopping` are the tasks whose runs may still be
    /// active.
    pub(super) fn close_claim(&mut self, now: Instant, job: &JobId, stopping: Vec<TaskName>) {
        let Some(claim) = self.claims.claims.get_mut(job) else { return };
        self.claims.closing += usize::from(claim.closed_at.replace(now).is_none());
        claim.is_passed_on = false;
        claim.stopping = stopping;
        if !claim.stopping.is_empty() {
            self.claims.require_check(now + STOP_SILENCE);
        }
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
        state.claim_outbox.released.push(job.clone());
        if at_once {
            self.due_agents.insert(agent.clone());
        }
    }
}

/// Rank of an agent in the order of a job. Similar names differ most in the low bits of
/// their hash, so these are spread over all bits.
fn claim_rank(job: &JobId, agent: &NodeId) -> u64 {
    let hash = fingerprint([job.as_bytes(), agent.as_bytes()]);
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
