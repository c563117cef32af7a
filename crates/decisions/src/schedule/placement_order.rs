//! Decides in which order the waiting steps are placed.
//!
//! Handles the load pattern *more long tasks than fast servers*. A job whose caller
//! waits is worth nothing unless all its tasks end in time, so the rest of a started
//! job comes first. Then come tasks that only fast servers suit, since the others
//! have more to choose from: newest first, because a job that has waited is the least
//! likely to complete, and in an overload the oldest first would complete few.
//!
//! With the setting `precedence`, the waiting steps of a service whose capacity is short
//! are ordered by the shares and priorities of their queues ([`QueueShares`]) before that,
//! except those at stake.
//!
//! [`QueueShares`]: super::queue_shares::QueueShares

use std::cmp::Reverse;
use std::time::Instant;

use model::{JobStep, QueueId, QueueRule, QueuedJob, ServiceId, TaskName};

use super::placement_round::PlacementRound;
use super::queue_shares::{ShareRank, WaitingGroup, WorkClass};
use super::ready_queue::{GroupKey, ReadyQueue};
use super::scheduler::Scheduler;
use super::task_placement::core_millis;

/// Number of groups, the newest, that may be placed early because they need fast
/// servers; bounds the work of a round.
const MAX_RANKED_GROUPS: usize = 32;

/// Precedence of a waiting group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GroupRank {
    /// The rest of a started job whose caller waits.
    AtStake,
    /// Of a job whose caller waits; accepts only servers that are faster than most.
    /// The sequence number is higher for a newer group.
    NeedsFast(Reverse<u64>),
    /// Any other.
    Ordinary,
}

/// A waiting group in placement order.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderedGroup {
    pub(super) key: GroupKey,
    /// Its place among the queues; `None` while its service has free capacity, without
    /// the setting, and for a group at stake.
    pub(super) rank: Option<ShareRank>,
    /// Whether it is known to accept only servers that are faster than most.
    needs_fast: bool,
}

impl OrderedGroup {
    /// Sequence number of the group.
    pub(super) fn number(&self) -> u64 {
        self.key.1
    }

    /// Whether the groups that follow leave it what is reserved of fast servers.
    pub(super) fn reserves_fast(&self) -> bool {
        self.needs_fast && self.rank.is_some()
    }
}

impl Scheduler {
    /// The waiting groups in placement order; within a rank, least slack first.
    pub(super) fn placement_order(
        &mut self,
        now: Instant,
        round: &mut PlacementRound,
    ) -> Vec<OrderedGroup> {
        let newest_from = self.ready.newest_from(MAX_RANKED_GROUPS);
        let mut order: Vec<(GroupRank, GroupKey)> = Vec::with_capacity(self.ready.len());
        for key in self.ready.order(now) {
            order.push((self.rank(now, key, newest_from, round), key));
        }
        order.sort_by_key(|(rank, _)| *rank);
        let ranks = self.share_ranks(now, &order);
        let ordered = order.into_iter().enumerate().map(|(position, (group_rank, key))| {
            let rank = ranks.get(position).copied().flatten();
            let needs_fast = matches!(group_rank, GroupRank::NeedsFast(_));
            OrderedGroup { key, rank, needs_fast }
        });
        let mut ordered: Vec<OrderedGroup> = ordered.collect();
        // Groups without a rank are first: those at stake, and those of services with free
        // capacity, which a round has to reach.
        ordered.sort_by_key(|group| group.rank);
        ordered
    }

    /// Places of the groups among the queues, in their order; empty without contention.
    fn share_ranks(
        &mut self,
        now: Instant,
        order: &[(GroupRank, GroupKey)],
    ) -> Vec<Option<ShareRank>> {
        let Some(shares) = &mut self.shares else { return Vec::new() };
        let ready = &self.ready;
        if !shares.set_contention(&ready.contended_services()) {
            return Vec::new();
        }
        let groups: Vec<Option<WaitingGroup<'_>>> = order
            .iter()
            .map(|(rank, key)| {
                let group = ready.group(*key).filter(|_| *rank != GroupRank::AtStake)?;
                Some(WaitingGroup { class: &group.class, work: ReadyQueue::waiting_work(group) })
            })
            .collect();
        let waiting: Vec<WaitingGroup<'_>> = groups.iter().copied().flatten().collect();
        let mut ranks = shares.ranks(now, &waiting).into_iter();
        groups.iter().map(|group| group.and_then(|_| ranks.next().flatten())).collect()
    }

    /// Counts the work of a job that becomes live and returns its class.
    pub(super) fn admit_work(
        &mut self,
        now: Instant,
        job: &QueuedJob,
        rule: Option<&QueueRule>,
    ) -> WorkClass {
        let work = |step: &JobStep| core_millis(step).saturating_mul(u64::from(step.count));
        match (&mut self.shares, rule) {
            (Some(shares), Some(rule)) => {
                let work = job.steps.iter().map(work).fold(0, u64::saturating_add);
                shares.add_admitted(now, &job.queue, rule, work)
            }
            _ => WorkClass { queue: job.queue.clone(), is_large: false },
        }
    }

    /// Counts a placed task of a step towards the share of its queue.
    pub(super) fn use_share(
        &mut self,
        now: Instant,
        job: &QueuedJob,
        step: &JobStep,
        rank: Option<ShareRank>,
    ) {
        let Some(shares) = &mut self.shares else { return };
        if let Some(live) = self.live.get(&job.id) {
            shares.add_placed(now, &live.class, core_millis(step), rank);
        }
    }

    /// Takes a task whose start was refused off the share of its queue.
    pub(super) fn return_share(&mut self, now: Instant, task: &TaskName) {
        let Some(shares) = &mut self.shares else { return };
        let Some(live) = self.live.get(&task.job) else { return };
        if let Some(step) = live.job.steps.get(task.step as usize) {
            shares.remove_placed(now, &live.class, core_millis(step));
        }
    }

    /// Work that waits for capacity of a service and is placed before a new job of a
    /// queue, in core-milliseconds.
    pub(super) fn work_before_new(&self, service: &ServiceId, queue: &QueueId) -> u128 {
        match &self.shares {
            Some(shares) => shares.work_before_new(queue, self.ready.left_by_queue(service)),
            None => self.ready.left_work(service),
        }
    }

    fn rank(
        &mut self,
        now: Instant,
        key: GroupKey,
        newest_from: u64,
        round: &mut PlacementRound,
    ) -> GroupRank {
        let (_, number) = key;
        if self.ready.group(key).is_some_and(|group| group.at_stake) {
            return GroupRank::AtStake;
        }
        if number < newest_from || !self.needs_fast(now, key, round) {
            return GroupRank::Ordinary;
        }
        self.fast_wanted_at = Some(now);
        GroupRank::NeedsFast(Reverse(number))
    }

    /// Whether a group is of a job whose caller waits and accepts only servers that
    /// are faster than most.
    fn needs_fast(&mut self, now: Instant, key: GroupKey, round: &mut PlacementRound) -> bool {
        let Some(group) = self.ready.group(key) else { return false };
        let step = group.step;
        let live = self.live.get(&group.job).filter(|live| live.waiter.is_some());
        let Some(job) = live.map(|live| live.job.clone()) else { return false };
        let urgency = self.step_urgency(now, &job, step, round);
        urgency.is_some_and(|(_, urgency)| urgency.needs_fast())
    }
}
