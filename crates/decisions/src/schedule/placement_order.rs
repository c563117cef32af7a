//! Decides in which order the waiting steps are placed.
//!
//! Handles the load pattern *more long tasks than fast servers*. A job whose caller
//! waits is worth nothing unless all its tasks end in time, so the rest of a started
//! job comes first. Then come tasks that only fast servers suit, since the others
//! have more to choose from: newest first, because a job that has waited is the least
//! likely to complete, and in an overload the oldest first would complete none.

use std::cmp::Reverse;
use std::time::Instant;

use super::placement_round::PlacementRound;
use super::ready_queue::GroupKey;
use super::scheduler::Scheduler;

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
        let keys = self.ready.order(now).into_iter();
        let mut order: Vec<(GroupRank, GroupKey)> =
            keys.map(|key| (self.rank(now, key, round), key)).collect();
        order.sort_by_key(|(rank, _)| *rank);
        order.into_iter().map(|(_, key)| key).collect()
    }

    fn rank(&mut self, now: Instant, key: GroupKey, round: &mut PlacementRound) -> GroupRank {
        let Some(group) = self.ready.group(key) else { return GroupRank::Ordinary };
        let step = group.step;
        let live = self.live.get(&group.job).filter(|live| live.waiter.is_some());
        let Some(live) = live else { return GroupRank::Ordinary };
        if live.started {
            return GroupRank::AtStake;
        }
        let job = live.job.clone();
        match self.step_urgency(now, &job, step, round) {
            Some((_, urgency)) if urgency.needs_fast() => {
                self.fast_wanted_at = Some(now);
                GroupRank::NeedsFast(Reverse(key.1))
            }
            _ => GroupRank::Ordinary,
        }
    }
}
