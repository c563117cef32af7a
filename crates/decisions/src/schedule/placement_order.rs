//! Decides in which order the waiting steps are placed.
//!
//! Handles the load pattern *more long tasks than fast servers*. A job whose caller
//! waits is worth nothing unless all its tasks end in time, so the rest of a started
//! job comes first. Then come tasks that only fast servers suit, since the others
//! have more to choose from: newest first, because a job that has waited is the least
//! likely to complete, and in an overload the oldest first would complete few.

use std::cmp::Reverse;
use std::time::Instant;

use super::placement_round::PlacementRound;
use super::ready_queue::GroupKey;
use super::scheduler::Scheduler;

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

impl Scheduler {
    /// Keys of the waiting groups in placement order; within a rank, least slack
    /// first.
    pub(super) fn placement_order(
        &mut self,
        now: Instant,
        round: &mut PlacementRound,
    ) -> Vec<GroupKey> {
        let newest_from = self.ready.newest_from(MAX_RANKED_GROUPS);
        let mut order: Vec<(GroupRank, GroupKey)> = Vec::with_capacity(self.ready.len());
        for key in self.ready.order(now) {
            order.push((self.rank(now, key, newest_from, round), key));
        }
        order.sort_by_key(|(rank, _)| *rank);
        order.into_iter().map(|(_, key)| key).collect()
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
