//! Pools what agents report of pairs of kinds of tasks, and decides which kinds slow each
//! other down.
//!
//! Invariants:
//! - a pair is learned from samples with and without the second kind only;
//! - all sums decay, and a learned pair of which no agent reports anything is forgotten;
//! - the number of pairs is bounded.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{Incarnation, LearnedPair, LifeId, NodeId, PairReport, QueueId};

use crate::pair_sums::PairSums;

/// Factor on run times that a pair exceeds to be learned, and below which it is forgotten.
const LEARNED_FACTOR: f64 = 1.2;
const FORGOTTEN_FACTOR: f64 = 1.1;
/// Number of standard errors by which the difference exceeds these.
const LEARNED_ERRORS: f64 = 3.0;
const FORGOTTEN_ERRORS: f64 = 1.0;
/// Number of samples of each sort from which on a pair is learned, and below which it is
/// forgotten.
const LEARNED_SAMPLES: f64 = 32.0;
const FORGOTTEN_SAMPLES: f64 = 8.0;
/// Share of the largest difference of the first kind that a pair has to have to be learned,
/// and below which it is forgotten: kinds that come and go with an interfering one seem to
/// interfere too.
const LEARNED_SHARE: f64 = 0.5;
const FORGOTTEN_SHARE: f64 = 0.4;
/// Time without a report after which a pair is forgotten.
const FORGOTTEN_TIME: Duration = Duration::from_secs(60);
/// Time between two decisions.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of pairs of one agent, and of all.
const MAX_AGENT_PAIRS: usize = 64;
const MAX_PAIRS: usize = 256;
/// Number of samples of both sorts below which sums are dropped.
const MIN_SAMPLES: f64 = 1.0;
/// Largest factor that placement takes into account.
const MAX_FACTOR: f64 = 4.0;

/// A pair of kinds: the first one is slowed down by the second.
type PairKey = (QueueId, QueueId);

/// Sums of a pair, and when an agent reported them last.
#[derive(Debug, Clone, Copy)]
struct ReportedPair {
    sums: PairSums,
    at: Instant,
}

impl ReportedPair {
    fn add(&mut self, now: Instant, other: ReportedPair) {
        self.sums.add(now, other.sums);
        self.at = self.at.max(other.at);
    }
}

/// Where sums were collected: they begin at zero with each process of an agent and each life
/// of its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PairOrigin {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Life of its backend server.
    pub life: LifeId,
}

/// The latest sums of one agent.
#[derive(Debug, Clone)]
struct AgentPairs {
    origin: PairOrigin,
    pairs: IndexMap<PairKey, ReportedPair>,
}

/// A change of what is known of a pair.
#[derive(Debug, Clone, PartialEq)]
pub enum PairChange {
    /// The pair interferes.
    Learned(LearnedPair),
    /// It was learned before, and counts no more.
    Forgotten(LearnedPair),
}

/// What a scheduler knows of interference between kinds of tasks.
#[derive(Debug, Clone)]
pub struct KindInterference {
    /// The latest reports, by agent.
    agents: IndexMap<NodeId, AgentPairs>,
    /// Sums of agents from before they, or their backend servers, have begun anew.
    earlier: IndexMap<PairKey, ReportedPair>,
    learned: IndexMap<PairKey, LearnedPair>,
    /// For each kind of a learned pair and the other kind of it: what both add to the run
    /// times of each other, as a share.
    penalties: IndexMap<QueueId, IndexMap<QueueId, f64>>,
    /// Increases with each change of the kinds in learned pairs.
    version: u64,
    checked_at: Instant,
}

impl KindInterference {
    /// Creates the state of a scheduler that knows nothing.
    pub fn new(now: Instant) -> KindInterference {
        KindInterference {
            agents: IndexMap::new(),
            earlier: IndexMap::new(),
            learned: IndexMap::new(),
            penalties: IndexMap::new(),
            version: 0,
            checked_at: now,
        }
    }

    /// Takes an agent's report of its pairs. Sums of an earlier origin are kept, and decay.
    pub fn on_report(
        &mut self,
        now: Instant,
        agent: &NodeId,
        origin: PairOrigin,
        pairs: &[PairReport],
    ) {
        if self.agents.get(agent).is_some_and(|known| known.origin != origin) {
            self.keep_earlier(now, agent);
        }
        let unknown = || AgentPairs { origin, pairs: IndexMap::new() };
        let known = &mut self.agents.entry(agent.clone()).or_insert_with(unknown).pairs;
        for report in pairs.iter().take(MAX_AGENT_PAIRS) {
            let key = (report.first.clone(), report.second.clone());
            if known.len() < MAX_AGENT_PAIRS || known.contains_key(&key) {
                let sums = PairSums::of_report(now, report);
                known.insert(key, ReportedPair { sums, at: now });
            }
        }
    }

    fn keep_earlier(&mut self, now: Instant, agent: &NodeId) {
        let ended = self.agents.swap_remove(agent);
        for (key, reported) in ended.into_iter().flat_map(|ended| ended.pairs) {
            if self.earlier.len() < MAX_PAIRS || self.earlier.contains_key(&key) {
                let sums = PairSums::new(now);
                let earlier = ReportedPair { sums, at: reported.at };
                self.earlier.entry(key).or_insert(earlier).add(now, reported);
            }
        }
    }

    /// Decides anew on all pairs, at most once a second, and returns the changes.
    pub fn check(&mut self, now: Instant) -> Vec<PairChange> {
        if now < self.checked_at + CHECK_INTERVAL {
            return Vec::new();
        }
        self.checked_at = now;
        if self.agents.is_empty() && self.earlier.is_empty() && self.learned.is_empty() {
            return Vec::new();
        }
        let pooled = self.pool(now);
        let changes = self.learn(now, &pooled);
        if !changes.is_empty() {
            self.version += 1;
            self.set_penalties();
        }
        changes
    }

    /// Sums over all agents; drops those that have decayed.
    fn pool(&mut self, now: Instant) -> IndexMap<PairKey, ReportedPair> {
        let mut pooled: IndexMap<PairKey, ReportedPair> = IndexMap::new();
        let reported = self.agents.values_mut().map(|agent| &mut agent.pairs);
        for pairs in reported.chain([&mut self.earlier]) {
            pairs.retain(|key, reported| {
                let sums = reported.sums.decayed(now);
                let reported = ReportedPair { sums, at: reported.at };
                if let Some(sum) = pooled.get_mut(key) {
                    sum.add(now, reported);
                } else if pooled.len() < MAX_PAIRS {
                    pooled.insert(key.clone(), reported);
                }
                sums.samples() >= MIN_SAMPLES
            });
        }
        self.agents.retain(|_, agent| !agent.pairs.is_empty());
        pooled
    }

    fn learn(&mut self, now: Instant, pooled: &IndexMap<PairKey, ReportedPair>) -> Vec<PairChange> {
        let mut largest: IndexMap<&QueueId, f64> = IndexMap::new();
        for ((first, _), ReportedPair { sums, .. }) in pooled {
            if sums.rarer() >= LEARNED_SAMPLES && is_above(sums, LEARNED_FACTOR, LEARNED_ERRORS) {
                let excess = largest.entry(first).or_insert(0.0);
                *excess = excess.max(sums.excess());
            }
        }
        let mut changes = Vec::new();
        self.learned.retain(|key, pair| {
            let Some(ReportedPair { sums, at }) = pooled.get(key) else {
                changes.push(PairChange::Forgotten(pair.clone()));
                return false;
            };
            let largest = largest.get(&key.0).copied().unwrap_or(0.0);
            let age = now.saturating_duration_since(*at);
            *pair = learned_pair(key, sums, age);
            let is_kept = age < FORGOTTEN_TIME
                && sums.rarer() >= FORGOTTEN_SAMPLES
                && is_above(sums, FORGOTTEN_FACTOR, FORGOTTEN_ERRORS)
                && sums.excess() >= FORGOTTEN_SHARE * largest;
            if !is_kept {
                changes.push(PairChange::Forgotten(pair.clone()));
            }
            is_kept
        });
        for (key, ReportedPair { sums, at }) in pooled {
            let age = now.saturating_duration_since(*at);
            let largest = largest.get(&key.0).copied().unwrap_or(f64::INFINITY);
            if !self.learned.contains_key(key)
                && age < FORGOTTEN_TIME
                && sums.rarer() >= LEARNED_SAMPLES
                && is_above(sums, LEARNED_FACTOR, LEARNED_ERRORS)
                && sums.excess() >= LEARNED_SHARE * largest
            {
                let pair = learned_pair(key, sums, age);
                changes.push(PairChange::Learned(pair.clone()));
                self.learned.insert(key.clone(), pair);
            }
        }
        changes
    }

    fn set_penalties(&mut self) {
        self.penalties.clear();
        for ((first, second), pair) in &self.learned {
            let share = pair.factor.clamp(1.0, MAX_FACTOR) - 1.0;
            for (kind, other) in [(first, second), (second, first)] {
                let penalties = self.penalties.entry(kind.clone()).or_default();
                *penalties.entry(other.clone()).or_insert(0.0) += share;
            }
        }
    }

    /// What a task of a kind adds to run times beside each other kind, its own included, as a
    /// share; `None` if the kind is in no learned pair.
    pub(super) fn penalties(&self, kind: &QueueId) -> Option<&IndexMap<QueueId, f64>> {
        self.penalties.get(kind)
    }

    /// Whether tasks of a kind slow each other down.
    pub(super) fn is_own_rival(&self, kind: &QueueId) -> bool {
        self.penalties(kind).is_some_and(|penalties| penalties.contains_key(kind))
    }

    /// The learned pairs.
    pub fn learned(&self) -> impl Iterator<Item = &LearnedPair> {
        self.learned.values()
    }

    /// Version of the list of kinds in learned pairs; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Kinds in learned pairs, whose presence agents report.
    pub fn watched_kinds(&self) -> Vec<QueueId> {
        let kinds: IndexSet<&QueueId> = self.penalties.keys().collect();
        kinds.into_iter().cloned().collect()
    }
}

/// Whether the difference less a number of standard errors is above that of a factor.
fn is_above(sums: &PairSums, factor: f64, errors: f64) -> bool {
    sums.excess() - errors * sums.standard_error() > factor.ln()
}

fn learned_pair(key: &PairKey, sums: &PairSums, age: Duration) -> LearnedPair {
    LearnedPair {
        first: key.0.clone(),
        second: key.1.clone(),
        factor: sums.excess().exp(),
        samples: sums.samples().round() as u64,
        age,
    }
}
