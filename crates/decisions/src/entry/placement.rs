//! Owns the choice of a worker for one task: the policy that is meant, and the
//! baselines it is measured against, behind one enum.
//!
//! Invariant: a task is placed only at a worker that was offered.

use model::RoutingPolicy;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// What a wait weighs against run time: slots do not come free evenly, and
/// what this entry knows of others' tasks is old.
const WAIT_WEIGHT: f64 = 4.0;

/// A worker that could run the task, as this entry sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Slots of the service there.
    pub slots: u32,
    /// Tasks there, of all entries, by the latest word and what was sent since.
    pub load: u32,
    /// Tasks there that this entry sent.
    pub own: u32,
    /// Run time relative to the mean; above 1 is slower.
    pub speed: f64,
    /// Tasks that may wait at the agent.
    pub queue_room: u32,
    /// Tasks that may wait at the agent under the policy that waits at the
    /// entry.
    pub prefetch: u32,
    /// This entry's share of the slots.
    pub credits: u32,
}

impl Candidate {
    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.load < self.slots
    }

    fn has_prefetch_room(&self) -> bool {
        self.load < self.slots + self.prefetch
    }

    fn has_room(&self) -> bool {
        self.load < self.slots + self.queue_room
    }

    /// Expected time to completion for a task of `base_us`, when waiting tasks
    /// take `mean_us` each, all on a worker of speed 1. A free slot may be
    /// taken by another entry meanwhile, the likelier the fuller the worker.
    fn completion_us(&self, base_us: f64, mean_us: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let share = f64::from(self.load + 1) / slots;
        let turns = if share <= 1.0 { share.powf(slots) } else { f64::from(self.load + 1) - slots };
        (WAIT_WEIGHT * turns / slots * mean_us + base_us) * self.speed
    }
}

/// Where a task goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// To this candidate now.
    At(usize),
    /// It waits at the entry for a slot of this candidate.
    HoldFor(usize),
    /// No candidate has room.
    Nowhere,
}

/// Picks workers by one policy.
#[derive(Debug, Clone)]
pub struct Chooser {
    policy: RoutingPolicy,
    generator: SmallRng,
    turn: usize,
}

impl Chooser {
    /// A chooser whose random choices come from `seed`.
    pub fn new(policy: RoutingPolicy, seed: u64) -> Chooser {
        Chooser { policy, generator: SmallRng::seed_from_u64(seed), turn: 0 }
    }

    /// Changes the policy.
    pub fn set_policy(&mut self, policy: RoutingPolicy) {
        self.policy = policy;
    }

    /// The policy in force.
    pub fn policy(&self) -> RoutingPolicy {
        self.policy
    }

    /// Chooses for a task of `base_us` where the mean task takes `mean_us`.
    pub fn choose(&mut self, candidates: &[Candidate], base_us: f64, mean_us: f64) -> Placement {
        match self.policy {
            RoutingPolicy::ExpectedCompletion => self.by_completion(candidates, base_us, mean_us),
            RoutingPolicy::Random => self.random(candidates),
            RoutingPolicy::RoundRobin => self.round_robin(candidates),
            RoutingPolicy::LeastOutstanding => least_outstanding(candidates),
            RoutingPolicy::TwoChoices => self.two_choices(candidates),
            RoutingPolicy::SlotCredits => slot_credits(candidates),
        }
    }

    /// Least expected completion; when that is at a worker with neither a free
    /// slot nor room to wait there, the task waits at the entry, where it can
    /// still go elsewhere. The look
    /// begins anywhere, so that entries do not all take the same of equals.
    fn by_completion(&mut self, candidates: &[Candidate], base_us: f64, mean_us: f64) -> Placement {
        let count = candidates.len();
        if count == 0 {
            return Placement::Nowhere;
        }
        let offset = self.generator.random_range(0..count);
        let completion_us = |position: usize| candidates[position].completion_us(base_us, mean_us);
        let mut best = (offset, completion_us(offset));
        for position in (offset + 1..count).chain(0..offset) {
            let time_us = completion_us(position);
            if time_us < best.1 {
                best = (position, time_us);
            }
        }
        match candidates[best.0].has_prefetch_room() {
            true => Placement::At(best.0),
            false => Placement::HoldFor(best.0),
        }
    }

    fn random(&mut self, candidates: &[Candidate]) -> Placement {
        let open = open_positions(candidates);
        if open.is_empty() {
            return Placement::Nowhere;
        }
        Placement::At(open[self.generator.random_range(0..open.len())])
    }

    fn round_robin(&mut self, candidates: &[Candidate]) -> Placement {
        for step in 0..candidates.len() {
            let position = (self.turn + step) % candidates.len();
            if candidates[position].has_room() {
                self.turn = position + 1;
                return Placement::At(position);
            }
        }
        Placement::Nowhere
    }

    /// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", 2001.
    fn two_choices(&mut self, candidates: &[Candidate]) -> Placement {
        let open = open_positions(candidates);
        if open.is_empty() {
            return Placement::Nowhere;
        }
        let first = open[self.generator.random_range(0..open.len())];
        let second = open[self.generator.random_range(0..open.len())];
        let lighter = if candidates[second].own < candidates[first].own { second } else { first };
        Placement::At(lighter)
    }
}

fn open_positions(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).filter(|position| candidates[*position].has_room()).collect()
}

fn least_outstanding(candidates: &[Candidate]) -> Placement {
    let open = candidates.iter().enumerate().filter(|(_, candidate)| candidate.has_room());
    match open.min_by_key(|(_, candidate)| candidate.own) {
        Some((position, _)) => Placement::At(position),
        None => Placement::Nowhere,
    }
}

fn slot_credits(candidates: &[Candidate]) -> Placement {
    let spare = |candidate: &Candidate| candidate.credits.saturating_sub(candidate.own);
    let best = candidates.iter().enumerate().max_by_key(|(_, candidate)| spare(candidate));
    match best {
        Some((position, candidate)) if spare(candidate) > 0 => Placement::At(position),
        _ => Placement::Nowhere,
    }
}
