//! Selects a worker for a task by the routing policy: the default one (least
//! expected completion time) or one of the baselines that it is compared with.
//!
//! Invariant: a task is placed only at one of the candidates.

use model::RoutingPolicy;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Weight of waiting time against run time. It is above 1 because slots do not
/// become free at even intervals and this entry's view of other entries' tasks
/// is out of date.
const WAIT_WEIGHT: f64 = 4.0;

/// A worker that can run the task, as seen by this entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Slots of the service at the worker.
    pub slots: u32,
    /// Estimated tasks at the worker, of all entries: the latest report and
    /// what was sent since.
    pub load: u32,
    /// Tasks at the worker that this entry sent.
    pub own: u32,
    /// Run time relative to the mean; above 1 is slower.
    pub slowness: f64,
    /// Tasks that may wait at the agent under policies that do not queue at the
    /// entry.
    pub queue_limit: u32,
    /// Tasks that may wait at the agent under the policy that queues at the
    /// entry.
    pub prefetch: u32,
    /// Slots allotted to this entry under the slot credits policy.
    pub credits: u32,
}

impl Candidate {
    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.load < self.slots
    }

    fn has_prefetch_space(&self) -> bool {
        self.load < self.slots + self.prefetch
    }

    fn has_queue_space(&self) -> bool {
        self.load < self.slots + self.queue_limit
    }

    /// Expected time to completion, in microseconds, of a task that takes
    /// `base_us` when each waiting task takes `mean_us`, both on a worker of
    /// slowness 1. Another entry may take a free slot first, which is the more
    /// likely the higher the utilization.
    fn completion_us(&self, base_us: f64, mean_us: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let utilization = f64::from(self.load + 1) / slots;
        let tasks_ahead = if utilization <= 1.0 {
            utilization.powf(slots)
        } else {
            f64::from(self.load + 1) - slots
        };
        (WAIT_WEIGHT * tasks_ahead / slots * mean_us + base_us) * self.slowness
    }
}

/// Placement of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this candidate now.
    At(usize),
    /// Keep it queued at the entry until this candidate has capacity.
    WaitFor(usize),
    /// Keep it queued: no candidate is suitable now.
    Unplaced,
}

/// Selects workers by one routing policy.
#[derive(Debug, Clone)]
pub struct WorkerChooser {
    policy: RoutingPolicy,
    rng: SmallRng,
    next_position: usize,
}

impl WorkerChooser {
    /// Creates a chooser whose random choices derive from `seed`.
    pub fn new(policy: RoutingPolicy, seed: u64) -> WorkerChooser {
        WorkerChooser { policy, rng: SmallRng::seed_from_u64(seed), next_position: 0 }
    }

    /// Sets the routing policy.
    pub fn set_policy(&mut self, policy: RoutingPolicy) {
        self.policy = policy;
    }

    /// Routing policy in force.
    pub fn policy(&self) -> RoutingPolicy {
        self.policy
    }

    /// Selects a candidate for a task of `base_us` when the mean task takes
    /// `mean_us`, both in microseconds on a worker of slowness 1.
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

    /// Least expected completion time. If the best worker has neither a free
    /// slot nor prefetch capacity, the task waits at the entry, where it can
    /// still be placed elsewhere. The scan starts at a random candidate so that
    /// entries do not all choose the same one of several equals.
    fn by_completion(&mut self, candidates: &[Candidate], base_us: f64, mean_us: f64) -> Placement {
        let count = candidates.len();
        if count == 0 {
            return Placement::Unplaced;
        }
        let offset = self.rng.random_range(0..count);
        let completion_us = |position: usize| candidates[position].completion_us(base_us, mean_us);
        let mut best = (offset, completion_us(offset));
        for position in (offset + 1..count).chain(0..offset) {
            let time_us = completion_us(position);
            if time_us < best.1 {
                best = (position, time_us);
            }
        }
        match candidates[best.0].has_prefetch_space() {
            true => Placement::At(best.0),
            false => Placement::WaitFor(best.0),
        }
    }

    fn random(&mut self, candidates: &[Candidate]) -> Placement {
        let eligible = eligible_positions(candidates);
        if eligible.is_empty() {
            return Placement::Unplaced;
        }
        Placement::At(eligible[self.rng.random_range(0..eligible.len())])
    }

    fn round_robin(&mut self, candidates: &[Candidate]) -> Placement {
        for step in 0..candidates.len() {
            let position = (self.next_position + step) % candidates.len();
            if candidates[position].has_queue_space() {
                self.next_position = position + 1;
                return Placement::At(position);
            }
        }
        Placement::Unplaced
    }

    /// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", 2001.
    fn two_choices(&mut self, candidates: &[Candidate]) -> Placement {
        let eligible = eligible_positions(candidates);
        if eligible.is_empty() {
            return Placement::Unplaced;
        }
        let first = eligible[self.rng.random_range(0..eligible.len())];
        let second = eligible[self.rng.random_range(0..eligible.len())];
        let lighter = if candidates[second].own < candidates[first].own { second } else { first };
        Placement::At(lighter)
    }
}

fn eligible_positions(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).filter(|position| candidates[*position].has_queue_space()).collect()
}

fn least_outstanding(candidates: &[Candidate]) -> Placement {
    let eligible =
        candidates.iter().enumerate().filter(|(_, candidate)| candidate.has_queue_space());
    match eligible.min_by_key(|(_, candidate)| candidate.own) {
        Some((position, _)) => Placement::At(position),
        None => Placement::Unplaced,
    }
}

fn slot_credits(candidates: &[Candidate]) -> Placement {
    let spare = |candidate: &Candidate| candidate.credits.saturating_sub(candidate.own);
    let best = candidates.iter().enumerate().max_by_key(|(_, candidate)| spare(candidate));
    match best {
        Some((position, candidate)) if spare(candidate) > 0 => Placement::At(position),
        _ => Placement::Unplaced,
    }
}
