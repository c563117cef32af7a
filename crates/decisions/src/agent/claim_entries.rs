//! Owns what an agent knows of the entries that claim jobs: which of them may still have
//! active runs of a job.
//!
//! Invariant: the runs of a process that the agent has lost contact with count as active until
//! grant and lease are over, and those of a process that has ended until they can't be active
//! any more, also if the agent never knew it. Only of agents that an entry has given up it is
//! known that no run under their grants is unknown here.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{ClaimOrders, Incarnation, JobId, NodeId, SchedulerKey};

use super::claim_table::Claimant;
use crate::claim_order::claim_rank;
use crate::run_bounds::run_timeout;

/// Time after the start of an agent in which entries connect and list their claims.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// What an agent knows of the runs from before its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartPhase {
    /// Runs may be active under claims that it doesn't know.
    RunsUnknown,
    /// No such run is active.
    RunsKnown,
}

/// The agents that come before this one for a job, and that its claimant doesn't ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PassedOver {
    /// It is not known which of them other entries ask.
    Unknown,
    /// The claimant has given up all of them.
    GivenUp(Vec<NodeId>),
}

impl PassedOver {
    /// Whether an entry that has given up these agents can have no run that is unknown here.
    fn is_within(&self, given_up: &IndexSet<NodeId>) -> bool {
        match self {
            PassedOver::Unknown => false,
            PassedOver::GivenUp(agents) => agents.iter().all(|agent| given_up.contains(agent)),
        }
    }
}

/// On what a claim is granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GrantBasis {
    pub(super) passed_over: PassedOver,
    /// Entries that have released the claim, or confirmed that they have no active run.
    pub(super) confirmed: IndexSet<SchedulerKey>,
    /// Whether it was passed on by an entry that had it here, so that this agent has known the
    /// claim before it could know of all others.
    pub(super) is_handed_over: bool,
}

impl GrantBasis {
    /// Nothing is known of the other entries.
    pub(super) fn unknown() -> GrantBasis {
        GrantBasis::over(PassedOver::Unknown)
    }

    /// An entry that had the claim has passed it on.
    pub(super) fn handed_over() -> GrantBasis {
        GrantBasis { is_handed_over: true, ..GrantBasis::unknown() }
    }

    pub(super) fn over(passed_over: PassedOver) -> GrantBasis {
        GrantBasis { passed_over, confirmed: IndexSet::new(), is_handed_over: false }
    }
}

/// How long the grant of an entry's message lasts, and what it has told of agents that it has
/// given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryContact {
    /// How long its runs stay active without another grant.
    pub(super) grant: Duration,
    /// Time until which it asks no agent that it has given up without this one's
    /// acknowledgement.
    pub(super) known_until: Instant,
    /// How long after the end of an entry's process other agents may count on what it has told
    /// them.
    pub(super) known_for: Duration,
}

/// The agents that an entry has given up, as it has told this one.
#[derive(Debug, Clone)]
struct GivenUpList {
    agents: IndexSet<NodeId>,
    /// Time until which it asks none of them without this agent's acknowledgement.
    known_until: Instant,
    /// Whether a new session is opening: the entry may take this list for void.
    is_opening: bool,
    /// Whether the entry tells of agents that it gives up.
    is_told: bool,
    /// Agents that it was requested to give up.
    requested: IndexSet<NodeId>,
}

impl GivenUpList {
    fn new(known_until: Instant) -> GivenUpList {
        GivenUpList {
            agents: IndexSet::new(),
            known_until,
            is_opening: false,
            is_told: false,
            requested: IndexSet::new(),
        }
    }

    /// Whether the entry can have no run under a grant of an agent that was passed over, unless
    /// it has listed the claim here.
    fn covers(&self, now: Instant, passed_over: &PassedOver) -> bool {
        let is_known = !self.is_opening && now < self.known_until;
        let is_empty = *passed_over == PassedOver::GivenUp(Vec::new());
        is_empty || (is_known && passed_over.is_within(&self.agents))
    }
}

/// An entry as an agent knows it.
#[derive(Debug, Clone)]
struct ClaimEntry {
    incarnation: Incarnation,
    /// Time from which no run of the process is active; set while it has no connection.
    lost_until: Option<Instant>,
    /// Time from which no run of the entry's earlier processes is active.
    earlier_until: Option<Instant>,
    given_up: GivenUpList,
    /// Agents that its earlier process had given up when it ended.
    earlier_given_up: IndexSet<NodeId>,
}

impl ClaimEntry {
    /// Whether it has said that it has no run of a job but under a claim that is kept here.
    fn is_settled(&self, now: Instant, scheduler: &SchedulerKey, basis: &GrantBasis) -> bool {
        basis.confirmed.contains(scheduler) || self.given_up.covers(now, &basis.passed_over)
    }

    /// Whether the runs of its earlier processes are over, or known here.
    fn are_earlier_over(&self, basis: &GrantBasis) -> bool {
        self.earlier_until.is_none() || basis.passed_over.is_within(&self.earlier_given_up)
    }
}

/// The entries that have claimed jobs at an agent.
#[derive(Debug, Clone)]
pub(super) struct ClaimEntries {
    entries: IndexMap<SchedulerKey, ClaimEntry>,
    started_at: Instant,
    earlier_runs: EarlierRuns,
}

/// The runs under claims from before an agent's start, or while no entry reached it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlierRuns {
    /// No entry has connected yet.
    Unbounded,
    /// All entries were lost, and none has connected again.
    Isolated,
    /// None is active from this time on.
    Until(Instant),
    /// None is active.
    Over,
}

impl ClaimEntries {
    /// Knows no entry yet; the agent has started now.
    pub(super) fn new(now: Instant) -> ClaimEntries {
        let earlier_runs = EarlierRuns::Unbounded;
        ClaimEntries { entries: IndexMap::new(), started_at: now, earlier_runs }
    }

    /// Handles a message of an entry whose process has run for `up_time`; returns whether
    /// this process is new to the agent.
    pub(super) fn on_orders(
        &mut self,
        now: Instant,
        claimant: &Claimant,
        contact: EntryContact,
        up_time: Duration,
    ) -> bool {
        let timeout = run_timeout(contact.grant);
        match self.earlier_runs {
            EarlierRuns::Unbounded => {
                let until = (self.started_at + timeout).max(now) + CONNECT_TIME;
                self.earlier_runs = EarlierRuns::Until(until);
            }
            EarlierRuns::Isolated => {
                self.earlier_runs = EarlierRuns::Until(now + contact.known_for);
            }
            EarlierRuns::Until(_) | EarlierRuns::Over => {}
        }
        let known = self.entries.get_mut(&claimant.scheduler);
        if let Some(entry) = known.filter(|entry| entry.incarnation == claimant.incarnation) {
            entry.lost_until = None;
            return false;
        }
        let ended_at = now.checked_sub(up_time).unwrap_or(self.started_at);
        let earlier = self.entries.swap_remove(&claimant.scheduler).map(|entry| entry.given_up);
        let earlier = earlier.filter(|list| ended_at < list.known_until);
        // The process before this one ended before this one began.
        let earlier_left = timeout.saturating_sub(up_time);
        let entry = ClaimEntry {
            incarnation: claimant.incarnation,
            lost_until: None,
            earlier_until: (!earlier_left.is_zero()).then(|| now + earlier_left),
            given_up: GivenUpList::new(contact.known_until),
            earlier_given_up: earlier.map(|list| list.agents).unwrap_or_default(),
        };
        self.entries.insert(claimant.scheduler.clone(), entry);
        true
    }

    /// Handles a message of an entry.
    pub(super) fn on_contact(&mut self, scheduler: &SchedulerKey, contact: EntryContact) {
        if let Some(entry) = self.entries.get_mut(scheduler) {
            entry.given_up.known_until = entry.given_up.known_until.max(contact.known_until);
        }
    }

    /// Handles a new connection to an entry.
    pub(super) fn on_opened(&mut self, scheduler: &SchedulerKey) {
        if let Some(entry) = self.entries.get_mut(scheduler) {
            entry.given_up.is_opening = true;
        }
    }

    /// Handles the agents that an entry has given up, or asks again; returns the latter.
    pub(super) fn on_given_up(
        &mut self,
        scheduler: &SchedulerKey,
        orders: &ClaimOrders,
    ) -> Vec<NodeId> {
        let Some(entry) = self.entries.get_mut(scheduler) else { return Vec::new() };
        let list = &mut entry.given_up;
        let mut readmitted = orders.readmitted.clone();
        if orders.is_first {
            let earlier = std::mem::take(&mut list.agents);
            readmitted.extend(earlier.into_iter().filter(|agent| !orders.given_up.contains(agent)));
            list.is_opening = false;
            list.is_told = orders.revision.is_some();
            list.requested.clear();
        }
        list.agents.retain(|agent| !readmitted.contains(agent));
        list.agents.extend(orders.given_up.iter().cloned());
        readmitted
    }

    /// The agents that come before `agent` for a job, and that its claimant has given up.
    pub(super) fn passed_over(
        &self,
        job: &JobId,
        agent: &NodeId,
        claimant: &SchedulerKey,
    ) -> PassedOver {
        let rank = claim_rank(job, agent);
        let given_up = self.entries.get(claimant).into_iter();
        let given_up = given_up.flat_map(|entry| &entry.given_up.agents);
        let before = given_up.filter(|other| claim_rank(job, other) > rank);
        PassedOver::GivenUp(before.cloned().collect())
    }

    /// The connected entries that have to be requested to give up an agent which was passed
    /// over, with that agent; each is returned once.
    pub(super) fn take_requests(
        &mut self,
        holder: &SchedulerKey,
        passed_over: &PassedOver,
    ) -> Vec<(SchedulerKey, NodeId)> {
        let PassedOver::GivenUp(agents) = passed_over else { return Vec::new() };
        let mut requests = Vec::new();
        for (scheduler, entry) in &mut self.entries {
            let list = &mut entry.given_up;
            if scheduler == holder || entry.lost_until.is_some() || !list.is_told {
                continue;
            }
            for agent in agents {
                if !list.agents.contains(agent) && list.requested.insert(agent.clone()) {
                    requests.push((scheduler.clone(), agent.clone()));
                }
            }
        }
        requests
    }

    /// Handles the loss of an entry's connection. While there is no other one, entries may have
    /// given up this agent, and agreed on another one in its place.
    pub(super) fn on_closed(&mut self, scheduler: &SchedulerKey, until: Instant) {
        let Some(entry) = self.entries.get_mut(scheduler) else { return };
        entry.lost_until = Some(until);
        if self.connected().next().is_none() && self.earlier_runs != EarlierRuns::Unbounded {
            self.earlier_runs = EarlierRuns::Isolated;
        }
    }

    /// Forgets what is over; returns the phase if it has changed.
    pub(super) fn on_tick(&mut self, now: Instant) -> Option<StartPhase> {
        let is_left = |until: &Instant| *until > now;
        let phase = self.phase();
        if let EarlierRuns::Until(until) = self.earlier_runs
            && until <= now
        {
            self.earlier_runs = EarlierRuns::Over;
        }
        for entry in self.entries.values_mut() {
            entry.earlier_until = entry.earlier_until.filter(is_left);
        }
        self.entries.retain(|_, entry| {
            let is_over = entry.lost_until.is_some_and(|until| until <= now);
            !is_over || entry.earlier_until.is_some()
        });
        Some(self.phase()).filter(|changed| *changed != phase)
    }

    /// What is known of the runs from before the agent's start.
    pub(super) fn phase(&self) -> StartPhase {
        match self.earlier_runs {
            EarlierRuns::Unbounded | EarlierRuns::Isolated | EarlierRuns::Until(_) => {
                StartPhase::RunsUnknown
            }
            EarlierRuns::Over => StartPhase::RunsKnown,
        }
    }

    /// Time for which runs from before the agent's start, or while no entry reached it, may be
    /// active; `None` if that is not known.
    pub(super) fn unknown_for(&self, now: Instant) -> Option<Duration> {
        match self.earlier_runs {
            EarlierRuns::Until(until) => Some(until.saturating_duration_since(now)),
            EarlierRuns::Over => Some(Duration::ZERO),
            EarlierRuns::Unbounded | EarlierRuns::Isolated => None,
        }
    }

    /// The entries that have a connection.
    fn connected(&self) -> impl Iterator<Item = (&SchedulerKey, &ClaimEntry)> {
        self.entries.iter().filter(|(_, entry)| entry.lost_until.is_none())
    }

    /// Whether an entry has to confirm that it has no active run of a job.
    pub(super) fn must_confirm(
        &self,
        now: Instant,
        scheduler: &SchedulerKey,
        basis: &GrantBasis,
    ) -> bool {
        let entry = self.entries.get(scheduler);
        entry.is_some_and(|entry| !entry.is_settled(now, scheduler, basis))
    }

    /// The connected entries that have to confirm that they have no active run of a job.
    pub(super) fn unsettled(
        &self,
        now: Instant,
        holder: &SchedulerKey,
        basis: &GrantBasis,
    ) -> impl Iterator<Item = &SchedulerKey> {
        let others = self.connected().filter(move |(scheduler, _)| *scheduler != holder);
        let unsettled =
            others.filter(move |(scheduler, entry)| !entry.is_settled(now, scheduler, basis));
        unsettled.map(|(scheduler, _)| scheduler)
    }

    /// Whether no entry but the holder of a claim can have active runs of its job.
    pub(super) fn are_released(
        &self,
        now: Instant,
        holder: &SchedulerKey,
        basis: &GrantBasis,
    ) -> bool {
        let is_released = |(scheduler, entry): (&SchedulerKey, &ClaimEntry)| {
            let is_over = entry.lost_until.is_some_and(|until| until <= now);
            let is_settled = entry.is_settled(now, scheduler, basis);
            (scheduler == holder || is_settled || is_over) && entry.are_earlier_over(basis)
        };
        let are_runs_known = basis.is_handed_over || self.phase() == StartPhase::RunsKnown;
        are_runs_known && self.entries.iter().all(is_released)
    }

    /// Whether a process is the latest one of its entry.
    pub(super) fn is_latest(&self, process: &Claimant) -> bool {
        let entry = self.entries.get(&process.scheduler);
        entry.is_none_or(|entry| entry.incarnation == process.incarnation)
    }

    /// Time at which a run that may be active is next over.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let entries = self.entries.values();
        let over = entries.flat_map(|entry| [entry.lost_until, entry.earlier_until]);
        let earlier = match self.earlier_runs {
            EarlierRuns::Until(until) => Some(until),
            EarlierRuns::Unbounded | EarlierRuns::Isolated | EarlierRuns::Over => None,
        };
        over.flatten().chain(earlier).min()
    }
}
