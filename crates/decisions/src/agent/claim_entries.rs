//! Owns what an agent knows of the entries that claim jobs: which of them may still have
//! active runs of a job.
//!
//! Invariant: the runs of a process that the agent has lost contact with count as active until
//! grant and lease are over, and those of a process that has ended until they can't be active
//! any more, also if the agent never knew it.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{Incarnation, SchedulerKey};

use super::claim_table::Claimant;
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

/// An entry as an agent knows it.
#[derive(Debug, Clone)]
struct ClaimEntry {
    incarnation: Incarnation,
    /// Time from which no run of the process is active; set while it has no connection.
    lost_until: Option<Instant>,
    /// Time from which no run of the entry's earlier processes is active.
    earlier_until: Option<Instant>,
}

/// The entries that have claimed jobs at an agent.
#[derive(Debug, Clone)]
pub(super) struct ClaimEntries {
    entries: IndexMap<SchedulerKey, ClaimEntry>,
    started_at: Instant,
    earlier_runs: EarlierRuns,
}

/// The runs under claims from before an agent's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlierRuns {
    /// No entry has connected yet.
    Unbounded,
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
        grant: Duration,
        up_time: Duration,
    ) -> bool {
        let timeout = run_timeout(grant);
        if self.earlier_runs == EarlierRuns::Unbounded {
            let until = (self.started_at + timeout).max(now) + CONNECT_TIME;
            self.earlier_runs = EarlierRuns::Until(until);
        }
        let known = self.entries.get_mut(&claimant.scheduler);
        if let Some(entry) = known.filter(|entry| entry.incarnation == claimant.incarnation) {
            entry.lost_until = None;
            return false;
        }
        // The process before this one ended before this one began.
        let earlier_left = timeout.saturating_sub(up_time);
        let entry = ClaimEntry {
            incarnation: claimant.incarnation,
            lost_until: None,
            earlier_until: (!earlier_left.is_zero()).then(|| now + earlier_left),
        };
        self.entries.insert(claimant.scheduler.clone(), entry);
        true
    }

    /// Handles the loss of an entry's connection.
    pub(super) fn on_closed(&mut self, scheduler: &SchedulerKey, runs_until: Instant) {
        if let Some(entry) = self.entries.get_mut(scheduler) {
            entry.lost_until = Some(runs_until);
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
            EarlierRuns::Unbounded | EarlierRuns::Until(_) => StartPhase::RunsUnknown,
            EarlierRuns::Over => StartPhase::RunsKnown,
        }
    }

    /// The entries that have a connection.
    pub(super) fn connected(&self) -> impl Iterator<Item = &SchedulerKey> {
        let entries = self.entries.iter();
        entries.filter(|(_, entry)| entry.lost_until.is_none()).map(|(scheduler, _)| scheduler)
    }

    /// Whether no entry but the holder of a claim can have active runs of its job, given
    /// which ones have `confirmed` that they have none.
    pub(super) fn are_released(
        &self,
        now: Instant,
        holder: &SchedulerKey,
        confirmed: &IndexSet<SchedulerKey>,
    ) -> bool {
        let is_released = |(scheduler, entry): (&SchedulerKey, &ClaimEntry)| {
            let is_confirmed = scheduler == holder
                || confirmed.contains(scheduler)
                || entry.lost_until.is_some_and(|until| until <= now);
            is_confirmed && entry.earlier_until.is_none()
        };
        self.phase() == StartPhase::RunsKnown && self.entries.iter().all(is_released)
    }

    /// Time at which a run that may be active is next over.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let entries = self.entries.values();
        let over = entries.flat_map(|entry| [entry.lost_until, entry.earlier_until]);
        let earlier = match self.earlier_runs {
            EarlierRuns::Until(until) => Some(until),
            EarlierRuns::Unbounded | EarlierRuns::Over => None,
        };
        over.flatten().chain(earlier).min()
    }
}
