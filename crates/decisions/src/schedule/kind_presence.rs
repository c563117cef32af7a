//! The kinds of tasks that run at each agent, and what interference between them adds to the
//! cost of a placement.
//!
//! Handles the load pattern *tasks that slow each other down*: a task goes to a server without
//! kinds that interfere with it while one has room. The term is below the costs of ending late
//! and of reserved capacity, and it is no part of what counts as room, so no task waits for it.

use std::time::Instant;

use indexmap::IndexMap;
use model::{AgentReport, EventLine, LearnedPair, NodeId, QueueId};

use super::kind_interference::{PairChange, PairOrigin};
use super::scheduler::{ScheduleStep, Scheduler};

/// Largest number of other schedulers' kinds that an agent may report.
const MAX_OTHER_KINDS: usize = 64;

/// Kinds of tasks that run at one agent.
#[derive(Debug, Clone, Default)]
pub(super) struct KindPresence {
    /// Number of this scheduler's runs, by kind.
    own: IndexMap<QueueId, u32>,
    /// Kinds of other schedulers' runs, as last reported.
    pub(super) others: Vec<QueueId>,
}

impl KindPresence {
    /// Adds a run of this scheduler.
    pub(super) fn add(&mut self, kind: &QueueId) {
        *self.own.entry(kind.clone()).or_insert(0) += 1;
    }

    /// Removes a run of this scheduler.
    pub(super) fn remove(&mut self, kind: &QueueId) {
        if let Some(runs) = self.own.get_mut(kind) {
            *runs -= 1;
            if *runs == 0 {
                self.own.swap_remove(kind);
            }
        }
    }

    /// Forgets this scheduler's runs.
    pub(super) fn clear_own(&mut self) {
        self.own.clear();
    }

    fn has(&self, kind: &QueueId) -> bool {
        self.own.contains_key(kind) || self.others.contains(kind)
    }
}

impl Scheduler {
    /// What a task of a kind and the kinds at an agent add to the run times of each other, as
    /// a share of these: that of the worst kind there, 0 without interference.
    pub(super) fn interference_at(&self, kind: &QueueId, agent: &NodeId) -> f64 {
        let penalties = self.interference.as_ref().and_then(|known| known.penalties(kind));
        let Some(penalties) = penalties else { return 0.0 };
        let Some(state) = self.agents.get(agent) else { return 0.0 };
        let present = penalties.iter().filter(|(other, _)| state.kinds.has(other));
        present.map(|(_, penalty)| *penalty).fold(0.0, f64::max)
    }

    /// Whether tasks of a kind slow each other down, so that those of a step do not share a
    /// server for the sake of fewer messages.
    pub(super) fn is_own_rival(&self, kind: &QueueId) -> bool {
        self.interference.as_ref().is_some_and(|known| known.is_own_rival(kind))
    }

    /// Takes what an agent reports of kinds of tasks.
    pub(super) fn take_reported_kinds(&mut self, now: Instant, report: &AgentReport) {
        let Some(interference) = &mut self.interference else { return };
        let Some(state) = self.agents.get_mut(&report.agent) else { return };
        if let Some(life) = state.life().filter(|_| !report.pairs.is_empty()) {
            let origin = PairOrigin { incarnation: report.incarnation, life: life.clone() };
            interference.on_report(now, &report.agent, origin, &report.pairs);
            self.counts.pair_reports += 1;
        }
        if let Some(kinds) = &report.other_kinds {
            state.kinds.others = kinds.iter().take(MAX_OTHER_KINDS).cloned().collect();
            self.placement_due = true;
        }
    }

    /// Decides which pairs of kinds interfere, if that is due.
    pub(super) fn check_interference(&mut self, now: Instant) {
        let Some(interference) = &mut self.interference else { return };
        let changes = interference.check(now);
        if changes.is_empty() {
            return;
        }
        self.agent_checks.require(now);
        let lines = changes.iter().map(|change| match change {
            PairChange::Learned(pair) => pair_line("interference", pair).with("state", "learned"),
            PairChange::Forgotten(pair) => {
                pair_line("interference", pair).with("state", "forgotten")
            }
        });
        self.steps.extend(lines.map(ScheduleStep::Log));
    }

    /// Whether interference between tasks is taken into account.
    pub fn uses_interference(&self) -> bool {
        self.interference.is_some()
    }

    /// The pairs of kinds that are known to interfere.
    pub fn learned_pairs(&self) -> Vec<LearnedPair> {
        let learned = self.interference.iter().flat_map(|known| known.learned());
        learned.cloned().collect()
    }

    /// Version of the list of watched kinds; 0 before the first.
    pub(super) fn kinds_version(&self) -> u64 {
        self.interference.as_ref().map_or(0, |known| known.version())
    }
}

/// The line about a learned pair.
pub fn pair_line(event: &'static str, pair: &LearnedPair) -> EventLine {
    EventLine::new(event)
        .with("first", &pair.first)
        .with("second", &pair.second)
        .with("factor", format_args!("{:.2}", pair.factor))
        .with("samples", pair.samples)
        .with("age_ms", pair.age.as_millis())
}
