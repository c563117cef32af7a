//! Decides which queue gets capacity while it is short, by priority and guaranteed
//! shares, from the work that was placed recently.
//!
//! Handles the load pattern *more work than capacity*: urgent queues come first, and
//! neither the other queues nor the largest jobs of a queue starve. A share is measured
//! in core-milliseconds that were placed, and decays, so that a queue without work
//! saves up nothing.
//!
//! Invariant: the tallies of a queue are never negative.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{DEFAULT_GUARANTEED_SHARE, QueueCatalog, QueueId, QueueRule, ServiceId};

use super::job_sizes::JobSizes;

/// Time in which a tally decays to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Interval of the decay, so that it costs nothing in most calls.
const DECAY_INTERVAL: Duration = Duration::from_millis(20);
/// Time without waiting or placed work after which a queue is forgotten that is in no
/// catalog any more; longer than a task waits between two runs.
const REMOVED_QUEUE_MEMORY: Duration = Duration::from_secs(60);

/// The part of a queue's work that has one share.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkClass {
    /// Queue of the job.
    pub queue: QueueId,
    /// Whether the job is of the upper tenth of its queue by work.
    pub is_large: bool,
}

/// A waiting group of tasks, as far as shares depend on it.
#[derive(Debug, Clone, Copy)]
pub struct WaitingGroup<'group> {
    /// Whose work it is.
    pub class: &'group WorkClass,
    /// Work of its waiting tasks, in core-milliseconds.
    pub work: u128,
}

/// What decides on the place of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RankCause {
    /// Its queue is below its guaranteed share.
    Share,
    /// The large jobs of its queue are below their share of it.
    Size,
    /// The priority of its queue.
    Priority,
}

/// Place of a waiting group while capacity is short; the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareRank {
    /// Core-milliseconds by which its queue is below its guaranteed share; 0 for a group
    /// beyond that share.
    deficit: Reverse<u64>,
    /// Priority of its queue; 0 is the highest.
    priority: u32,
    /// `false`, which sorts first, if it is within the share of its queue's large jobs
    /// and that is not used up.
    beyond_size_share: bool,
}

impl ShareRank {
    /// Priority of the group's queue.
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// What decides on the place of the group.
    pub fn cause(&self) -> RankCause {
        match (self.deficit, self.beyond_size_share) {
            (Reverse(1..), _) => RankCause::Share,
            (Reverse(0), false) => RankCause::Size,
            (Reverse(0), true) => RankCause::Priority,
        }
    }
}

/// Tasks of one queue since the counts were last taken, if it was under contention meanwhile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueCounts {
    /// Name of the queue.
    pub queue: QueueId,
    /// Its priority.
    pub priority: u32,
    /// Tasks that were placed, for any cause.
    pub placed: u64,
    /// Of these, tasks placed because the queue was below its guaranteed share.
    pub by_share: u64,
    /// Of these, tasks placed because the queue's large jobs were below theirs.
    pub by_size: u64,
    /// Tasks of large jobs that were placed.
    pub large: u64,
    /// Work that the latest placement round found waiting, in core-milliseconds; 0 once
    /// there is free capacity.
    pub waiting: u128,
    /// Share of its service's recently placed work, in thousandths.
    pub share_milli: u64,
}

/// Recent work of one class, in core-milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct WorkTally {
    admitted: f64,
    placed: f64,
}

impl WorkTally {
    fn scale(&mut self, factor: f64) {
        self.admitted *= factor;
        self.placed *= factor;
    }
}

/// Tasks of a queue that were placed in an interval.
#[derive(Debug, Clone, Copy, Default)]
struct TaskCounts {
    placed: u64,
    by_share: u64,
    by_size: u64,
    large: u64,
}

#[derive(Debug, Clone)]
struct QueueState {
    service: ServiceId,
    priority: u32,
    /// Whether the catalog in force lacks the queue; its accepted jobs are still placed.
    is_removed: bool,
    /// Time at which it last had waiting or placed work.
    last_work_at: Instant,
    sizes: JobSizes,
    large: WorkTally,
    ordinary: WorkTally,
    /// Whether work waits for capacity of its service.
    is_contended: bool,
    /// Whether that was so since the counts were last taken.
    was_contended: bool,
    waiting: u128,
    counts: TaskCounts,
}

impl QueueState {
    fn new(now: Instant, rule: &QueueRule) -> QueueState {
        QueueState {
            service: rule.service.clone(),
            priority: rule.priority,
            is_removed: false,
            last_work_at: now,
            sizes: JobSizes::default(),
            large: WorkTally::default(),
            ordinary: WorkTally::default(),
            is_contended: false,
            was_contended: false,
            waiting: 0,
            counts: TaskCounts::default(),
        }
    }

    fn tally(&mut self, is_large: bool) -> &mut WorkTally {
        if is_large { &mut self.large } else { &mut self.ordinary }
    }

    fn placed(&self) -> f64 {
        self.large.placed + self.ordinary.placed
    }

    /// Core-milliseconds by which large jobs are below their share of the queue's placed
    /// work, which is in proportion to the work that was admitted.
    fn size_deficit(&self) -> f64 {
        let admitted = self.large.admitted + self.ordinary.admitted;
        if admitted <= 0.0 {
            return 0.0;
        }
        self.placed() * self.large.admitted / admitted - self.large.placed
    }
}

/// What is left of a queue's guaranteed shares in one placement round, in
/// core-milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct ShareBudget {
    /// Deficit of the queue before the round.
    deficit: f64,
    queue: f64,
    large: f64,
}

/// Recent work of the queues and what they are guaranteed.
#[derive(Debug, Clone)]
pub struct QueueShares {
    queues: IndexMap<QueueId, QueueState>,
    /// Share of a service's recently placed work that each queue with waiting work is
    /// guaranteed, if there are few enough of them.
    guarantee: f64,
    decayed_at: Instant,
}

impl QueueShares {
    /// Creates the state without queues.
    pub fn new(now: Instant) -> QueueShares {
        let guarantee = DEFAULT_GUARANTEED_SHARE;
        QueueShares { queues: IndexMap::new(), guarantee, decayed_at: now }
    }

    /// Sets the share that each queue with waiting work is guaranteed, from 0 to 1.
    #[must_use]
    pub fn with_guarantee(self, guarantee: f64) -> QueueShares {
        QueueShares { guarantee, ..self }
    }

    /// Takes over the priorities of a catalog. What is known of its queues stays; a queue
    /// that it lacks keeps its last priority until its accepted work is done.
    pub fn on_catalog(&mut self, catalog: &QueueCatalog) {
        for state in self.queues.values_mut() {
            state.is_removed = true;
        }
        for (queue, rule) in &catalog.queues {
            let state = self.queues.entry(queue.clone());
            let state = state.or_insert_with(|| QueueState::new(self.decayed_at, rule));
            state.service = rule.service.clone();
            state.priority = rule.priority;
            state.is_removed = false;
        }
    }

    /// Counts an admitted job of this work, in core-milliseconds, and returns the class
    /// of its tasks. Its queue, with this rule, may be in the catalog no more.
    pub fn add_admitted(
        &mut self,
        now: Instant,
        queue: &QueueId,
        rule: &QueueRule,
        work: u64,
    ) -> WorkClass {
        self.decay(now);
        let state = self
            .queues
            .entry(queue.clone())
            .or_insert_with(|| QueueState { is_removed: true, ..QueueState::new(now, rule) });
        let is_large = state.sizes.is_large(work);
        state.sizes.add(work);
        state.tally(is_large).admitted += work as f64;
        state.last_work_at = now;
        WorkClass { queue: queue.clone(), is_large }
    }

    /// Counts a placed task of this work, in core-milliseconds, and what its group's rank
    /// was; `None` without contention.
    pub fn add_placed(
        &mut self,
        now: Instant,
        class: &WorkClass,
        work: u64,
        rank: Option<ShareRank>,
    ) {
        self.decay(now);
        let Some(state) = self.queues.get_mut(&class.queue) else { return };
        state.tally(class.is_large).placed += work as f64;
        state.last_work_at = now;
        let cause = rank.map(|rank| rank.cause());
        state.counts.placed += 1;
        state.counts.by_share += u64::from(cause == Some(RankCause::Share));
        state.counts.by_size += u64::from(cause == Some(RankCause::Size));
        state.counts.large += u64::from(class.is_large);
    }

    /// Takes back a placed task that did not start.
    pub fn remove_placed(&mut self, now: Instant, class: &WorkClass, work: u64) {
        self.decay(now);
        let Some(state) = self.queues.get_mut(&class.queue) else { return };
        let tally = state.tally(class.is_large);
        tally.placed = (tally.placed - work as f64).max(0.0);
    }

    /// Sets for which services work waits for capacity; `false` if for none.
    pub fn set_contention(&mut self, services: &[&ServiceId]) -> bool {
        for state in self.queues.values_mut() {
            state.is_contended = services.contains(&&state.service);
            state.was_contended |= state.is_contended;
        }
        !services.is_empty()
    }

    /// Ranks the waiting groups, which are given in the order that holds among equal ranks;
    /// `None` for a group whose service has free capacity, or whose queue is unknown.
    pub fn ranks(&mut self, now: Instant, groups: &[WaitingGroup<'_>]) -> Vec<Option<ShareRank>> {
        self.decay(now);
        let positions: Vec<Option<usize>> =
            groups.iter().map(|group| self.contended_position(group)).collect();
        for state in self.queues.values_mut() {
            state.waiting = 0;
        }
        for (group, position) in groups.iter().zip(&positions) {
            if let Some(position) = position {
                let state = &mut self.queues[*position];
                state.waiting = state.waiting.saturating_add(group.work);
                state.last_work_at = now;
            }
        }
        let mut budgets = self.budgets();
        let mut ranks: Vec<Option<ShareRank>> = Vec::with_capacity(groups.len());
        for (group, position) in groups.iter().zip(&positions) {
            ranks.push(position.map(|position| {
                let budget = &mut budgets[position];
                let beyond_size_share = !group.class.is_large || budget.large <= 0.0;
                if !beyond_size_share {
                    budget.large -= group.work as f64;
                }
                let priority = self.queues[position].priority;
                ShareRank { deficit: Reverse(0), priority, beyond_size_share }
            }));
        }
        // Within a queue the groups of its large jobs use its share first.
        for takes_beyond in [false, true] {
            for ((group, position), rank) in groups.iter().zip(&positions).zip(&mut ranks) {
                let (Some(position), Some(rank)) = (position, rank) else { continue };
                let budget = &mut budgets[*position];
                if rank.beyond_size_share == takes_beyond && budget.queue > 0.0 {
                    budget.queue -= group.work as f64;
                    rank.deficit = Reverse(budget.deficit.ceil() as u64);
                }
            }
        }
        ranks
    }

    /// Priority of a queue; the lowest, if it is not known.
    pub fn priority(&self, queue: &QueueId) -> u32 {
        self.queues.get(queue).map_or(u32::MAX, |state| state.priority)
    }

    /// Limits the work ahead of a job to what delays its queue, which has `queue_ahead` of
    /// work before the job, at the share that each of the waiting queues is guaranteed.
    pub fn limit_ahead(&self, ahead: u128, queue_ahead: u128, waiting_queues: usize) -> u128 {
        let share = self.guaranteed_share(waiting_queues);
        // Without a guarantee nothing limits what comes first.
        if share <= 0.0 {
            return ahead;
        }
        ahead.min((queue_ahead as f64 / share) as u128)
    }

    /// Work that is placed before a new job of a queue, in core-milliseconds, of the work
    /// that waits by queue for the same service: that of queues of the same or a higher
    /// priority, and no more than what delays the queue at its guaranteed share.
    pub fn work_before_new<'left>(
        &self,
        queue: &QueueId,
        left: impl Iterator<Item = (&'left QueueId, u128)>,
    ) -> u128 {
        let own = self.queues.get(queue).map(|state| state.priority);
        let (mut ahead, mut own_left, mut waiting_queues) = (0_u128, 0_u128, 0_usize);
        for (other, work) in left.filter(|(_, work)| *work > 0) {
            waiting_queues += 1;
            let priority = self.queues.get(other).map(|state| state.priority);
            if own.is_none() || priority <= own {
                ahead = ahead.saturating_add(work);
            }
            if other == queue {
                own_left = work;
            }
        }
        if own.is_none() {
            return ahead;
        }
        self.limit_ahead(ahead, own_left, waiting_queues)
    }

    /// Returns the counts of the queues that were under contention since the last call.
    pub fn take_counts(&mut self) -> Vec<QueueCounts> {
        let totals = self.placed_by_service();
        let mut taken = Vec::new();
        for (queue, state) in &mut self.queues {
            let counts = std::mem::take(&mut state.counts);
            let was_contended = std::mem::replace(&mut state.was_contended, state.is_contended);
            if !was_contended {
                continue;
            }
            let total = totals.get(&state.service).copied().unwrap_or_default();
            let share = if total > 0.0 { state.placed() / total } else { 0.0 };
            taken.push(QueueCounts {
                queue: queue.clone(),
                priority: state.priority,
                placed: counts.placed,
                by_share: counts.by_share,
                by_size: counts.by_size,
                large: counts.large,
                waiting: if state.is_contended { state.waiting } else { 0 },
                share_milli: (share * 1_000.0).round() as u64,
            });
        }
        taken
    }

    /// Number of queues that are remembered.
    pub fn queue_count(&self) -> usize {
        self.queues.len()
    }

    /// Position of a group's queue, if work waits for capacity of its service.
    fn contended_position(&self, group: &WaitingGroup<'_>) -> Option<usize> {
        let (position, _, state) = self.queues.get_full(&group.class.queue)?;
        state.is_contended.then_some(position)
    }

    fn placed_by_service(&self) -> IndexMap<ServiceId, f64> {
        let mut totals: IndexMap<ServiceId, f64> = IndexMap::new();
        for state in self.queues.values() {
            *totals.entry(state.service.clone()).or_default() += state.placed();
        }
        totals
    }

    /// Share of the capacity that each of this many queues with waiting work is guaranteed.
    fn guaranteed_share(&self, queues: usize) -> f64 {
        self.guarantee.min(1.0 / queues.max(1) as f64)
    }

    /// What each queue, by position, lacks of its shares now.
    fn budgets(&self) -> Vec<ShareBudget> {
        let totals = self.placed_by_service();
        let mut waiting_queues: IndexMap<&ServiceId, usize> = IndexMap::new();
        for state in self.queues.values().filter(|state| state.waiting > 0) {
            *waiting_queues.entry(&state.service).or_default() += 1;
        }
        let budget = |state: &QueueState| {
            if state.waiting == 0 {
                return ShareBudget::default();
            }
            let total = totals.get(&state.service).copied().unwrap_or_default();
            let share =
                self.guaranteed_share(waiting_queues.get(&state.service).copied().unwrap_or(1));
            let demand = state.placed() + state.waiting as f64;
            let deficit = (total * share).min(demand) - state.placed();
            ShareBudget { deficit, queue: deficit, large: state.size_deficit() }
        };
        self.queues.values().map(budget).collect()
    }

    /// Decays the tallies, and forgets removed queues without work.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let factor = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for state in self.queues.values_mut() {
            state.large.scale(factor);
            state.ordinary.scale(factor);
        }
        self.queues.retain(|_, state| {
            !state.is_removed
                || now.saturating_duration_since(state.last_work_at) < REMOVED_QUEUE_MEMORY
        });
    }
}
